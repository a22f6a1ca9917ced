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

/// An accepted change and the revision it was stored with.
struct AcceptedChange
{
    Revision revision;
    AuditRecord audit;
};

/// Synchronous access to the platform's key-value store for operator commands. Methods throw
/// Failure(PlatformUnavailable) if the store does not respond.
class OperatorStore
{
public:
    /// Uses the platform and the environment given in the settings.
    explicit OperatorStore(const Settings &settings);

    /// Reads the current value of a stage.
    StoredEnvelope read(Stage stage);
    /// Executes a change by one compare-and-swap. The audit record of the value to be replaced is
    /// stored first, so that no accepted change is ever without one. Throws Failure(Conflict) if
    /// another operator changed the stage first, Failure(OutcomeUnknown) if it is unknown whether
    /// the write took effect.
    Revision execute(const EnvelopeChange &change);
    /// Returns all accepted changes of a stage, oldest first.
    std::vector<AcceptedChange> audit(Stage stage);
    /// Reads the lease records of the environment's nodes.
    std::vector<NodeRecord> nodes();
    /// Fetches /status from a node. Returns none if the node does not respond with success.
    std::optional<std::string> fetchNodeStatus(const Address &entry);

private:
    StoreRead readPrefix(const std::string &prefix);
    void saveAuditRecord(Stage stage, const StoredEnvelope &current);

    EventLoop m_loop;
    HttpClient m_http;
    PlatformClient m_platform;
    EnvironmentId m_environment;
};

} // namespace bramleypitch
