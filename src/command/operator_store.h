#pragma once

#include "coordination/environment_cmd.h"
#include "coordination/node_state.h"
#include "network/event_loop.h"
#include "network/http_client.h"
#include "network/platform_client.h"
#include "settings/settings.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bramleypitch {

/// A change that was accepted, with its revision.
struct AcceptedChange
{
    Revision revision;
    AuditRecord audit;
};

/// The platform's store as operators' commands use it: one call after the other, each waited for.
/// Throws Failure(PlatformUnavailable) where the store gives no answer.
class OperatorStore
{
public:
    /// For the platform and environment that the settings name.
    explicit OperatorStore(const Settings &settings);

    /// The stage's value as it stands.
    StoredEnvelope read(Stage stage);
    /// Executes a change by one compare-and-swap. Its predecessor's audit record is kept first,
    /// so that no accepted change is ever without one. Throws Failure(Conflict) if another
    /// operator was faster, Failure(OutcomeUnknown) if the effect cannot be learnt.
    Revision execute(const EnvelopeChange &change);
    /// All accepted changes of a stage, oldest first.
    std::vector<AcceptedChange> audit(Stage stage);
    /// Addresses of the environment's nodes by their lease records.
    std::vector<NodeRecord> nodes();
    /// GET of a node's /status, or none.
    std::optional<std::string> nodeStatus(const Address &entry);

private:
    StoreRead readPrefix(const std::string &prefix);
    void keepAudit(Stage stage, const StoredEnvelope &current);

    EventLoop m_loop;
    HttpClient m_http;
    PlatformClient m_platform;
    EnvironmentId m_environment;
};

} // namespace bramleypitch
