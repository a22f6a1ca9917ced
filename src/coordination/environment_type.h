#pragma once

#include "core/error_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// Bytes an environment document may have at most; the audit record shares the platform's 1 MiB.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// Where a document is in force: trial first, then production.
enum class Stage { Trial, Production };

/// "trial" or "production".
const char *stageName(Stage stage);

/// An availability zone takes new work or is out.
enum class ZoneState { In, Out };

/// An availability zone of the document.
struct ZoneSpec
{
    ZoneId name;
    std::string region;
    ZoneState state = ZoneState::In;
};

/// A customer: its keys, its weight against others, and its limits on each node.
struct OrganisationSpec
{
    OrganisationId name;
    std::vector<std::string> keys;
    double weight = 1; ///< Share of service against other organisations that wait.
    std::uint32_t maxQueued = 200; ///< Requests waiting on one node.
    std::uint32_t maxRunning = 200; ///< Requests running from one node.
};

/// Which groups of VMs serve a model.
struct ModelGroupSpec
{
    ModelGroupId name; ///< The name callers give as "model".
    std::string model; ///< What engines are ordered to load.
    std::uint32_t span = 1; ///< VMs in one group.
    std::uint32_t groupsPerDomain = 0; ///< 0: as many as fit.
    std::vector<DomainId> fabricDomains;
    std::uint32_t concurrency = 8; ///< Requests one warm group runs at once.
    std::uint32_t coldAllowance = 1; ///< Requests one cold group bears at once.
    std::uint32_t warmAfter = 4; ///< Completions since boot after which a member is warm.
    bool checksFencing = false; ///< Engines refuse orders with an old fencing number.
    Duration firstTokenDeadline {820};
    Duration deadline {60'000};
    std::uint32_t maxAttempts = 3;
};

/// Calls that may run at most once, by method and path prefix.
struct OnceRule
{
    std::string method;
    std::string pathPrefix;
};

/// A plain service beside the engines.
struct ServiceSpec
{
    ServiceId name;
    std::vector<OnceRule> once; ///< These need an Idempotency-Key and run at most once.
    Duration deadline {5'000};
    std::uint32_t retryLimit = 2; ///< Further attempts of calls that may be repeated.
    std::uint32_t concurrency = 64; ///< Calls one warm backend server runs at once.
    std::uint32_t coldAllowance = 1; ///< Calls one cold backend server bears at once.
    std::uint32_t warmAfter = 4; ///< Completions since boot after which a server is warm.
};

/// What operators state of one environment.
struct Environment
{
    EnvironmentId name;
    std::vector<ZoneSpec> zones;
    std::vector<OrganisationSpec> organisations;
    std::vector<ModelGroupSpec> modelGroups;
    std::vector<ServiceSpec> services;
};

/// What one change of configuration left behind.
struct AuditRecord
{
    std::string who;
    WallTime when;
    std::string action; ///< "apply", "promote", "drain" or "restore".
    Revision from; ///< Revision that the change replaced; 0 if it was the first.
    Revision trialRevision; ///< For a promotion: the trial revision it came from.
    std::vector<std::string> changes; ///< One line a change, bounded in number.
};

/// The value stored for a stage. It changes as a whole, by one compare-and-swap.
struct Envelope
{
    Nonce nonce; ///< Lets a writer whose reply was lost recognise its own write.
    Environment environment;
    std::vector<ZoneId> zonesOut; ///< Drained by operators; promotions keep it.
    Revision promotedFrom;
    AuditRecord audit; ///< Of the change that wrote this value.
};

} // namespace bramleypitch
