#pragma once

#include "core/error_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// Maximum size of an environment document in bytes. The document and its audit record together
/// must fit into the 1 MiB that the platform allows.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// The stage in which a document is in force. A document is applied to trial and then promoted to
/// production.
enum class Stage { Trial, Production };

/// Returns "trial" or "production".
const char *stageName(Stage stage);

/// Whether an availability zone accepts new work (In) or is out of service (Out).
enum class ZoneState { In, Out };

/// An availability zone as declared in the document.
struct ZoneSpec
{
    ZoneId name;
    std::string region;
    ZoneState state = ZoneState::In;
};

/// A customer with its API keys, its scheduling weight and its limits on each node.
struct OrganisationSpec
{
    OrganisationId name;
    std::vector<std::string> keys;
    double weight = 1; ///< Relative share of capacity among organisations that wait.
    std::uint32_t maxQueued = 200; ///< Maximum number of requests queued on one node.
    std::uint32_t maxRunning = 200; ///< Maximum number of requests running from one node.
};

/// A model and the groups of VMs that serve it.
struct ModelGroupSpec
{
    ModelGroupId name; ///< Value of "model" in a caller's request.
    std::string model; ///< Model that the engines load.
    std::uint32_t span = 1; ///< Number of VMs per group.
    std::uint32_t groupsPerDomain = 0; ///< Maximum in each fabric domain; 0 for no limit.
    std::vector<DomainId> fabricDomains;
    std::uint32_t concurrency = 8; ///< Maximum concurrent requests of a warm group.
    std::uint32_t coldAllowance = 1; ///< Maximum concurrent requests of a cold group.
    std::uint32_t warmAfter = 4; ///< Completions since boot after which a VM counts as warm.
    bool checksFencing = false; ///< Engines reject orders with an outdated fencing token.
    Duration firstTokenDeadline {820};
    Duration deadline {60'000};
    std::uint32_t maxAttempts = 3;
};

/// Selects calls that must be executed at most once, by method and path prefix.
struct AtMostOnceRule
{
    std::string method;
    std::string pathPrefix;
};

/// An HTTP service that is not an inference engine.
struct ServiceSpec
{
    ServiceId name;
    std::vector<AtMostOnceRule> once; ///< Matching calls require an Idempotency-Key.
    Duration deadline {5'000};
    std::uint32_t retryLimit = 2; ///< Maximum number of retries of repeatable calls.
    std::uint32_t concurrency = 64; ///< Maximum concurrent calls of a warm backend server.
    std::uint32_t coldAllowance = 1; ///< Maximum concurrent calls of a cold backend server.
    std::uint32_t warmAfter = 4; ///< Completions since boot after which it counts as warm.
};

/// The configuration of one environment, as declared by operators in a document.
struct Environment
{
    EnvironmentId name;
    std::vector<ZoneSpec> zones;
    std::vector<OrganisationSpec> organisations;
    std::vector<ModelGroupSpec> modelGroups;
    std::vector<ServiceSpec> services;
};

/// Audit record of one configuration change.
struct AuditRecord
{
    std::string who;
    WallTime when;
    std::string action; ///< "apply", "promote", "drain" or "restore".
    Revision from; ///< Revision replaced by the change; 0 for the first change.
    Revision trialRevision; ///< For a promotion, the trial revision that was promoted.
    std::vector<std::string> changes; ///< One line per changed field, at most 200.
};

/// The value stored for a stage. It is replaced as a whole by a single compare-and-swap.
struct Envelope
{
    /// Identifies a write, so that a writer that missed the reply can find out whether the write
    /// was applied.
    Nonce nonce;
    Environment environment;
    std::vector<ZoneId> zonesOut; ///< Zones drained by operators. A promotion preserves them.
    Revision promotedFrom; ///< Trial revision that was promoted; 0 in trial.
    AuditRecord audit; ///< Record of the change that wrote this value.
};

} // namespace bramleypitch
