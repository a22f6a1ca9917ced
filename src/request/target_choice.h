#pragma once

#include "request/backend_base.h"
#include "request/cold_start_limit.h"
#include "request/server_memory.h"
#include "request/server_permit_base.h"

#include <limits>
#include <optional>
#include <set>

namespace bramleypitch {

/// Input for the choice of a server for one attempt.
struct ChoiceInput
{
    const ServingConfiguration *configuration = nullptr;
    const std::set<ZoneId> *zonesOut = nullptr;
    const std::vector<VmId> *tried = nullptr; ///< Servers where this request already failed.
    std::string traceId; ///< Hashed to spread requests when nodes have the same information.
    ServiceId service;
    ModelId model;
    ZoneId ownZone;
    NodeShare nodes; ///< The nodes that send requests to the same servers.
    /// Share of the requests that a server may run at most up to which it is considered.
    double maxUtilization = 1;
    /// What the request takes of its server; none if the memory of servers is not bounded.
    std::optional<RequestLoad> load;
    /// Bytes of bodies that wait to be written to one server, at most.
    std::size_t maxUnsentBytes = std::numeric_limits<std::size_t>::max();
    /// Requests that other nodes are assumed to have started on each server since their last
    /// report.
    double assumedRunning = 0;
    PermitTable *permits = nullptr; ///< Null if no server has named a limit.
};

/// The chosen server, or the reason why there is none.
struct TargetChoice
{
    enum class Outcome {
        Chosen,
        Full, ///< Servers exist, but none has capacity.
        Paused, ///< All servers have asked this node for a pause.
        Limited, ///< This node has no permit for any server. Some may have asked for a pause.
        None, ///< No server takes requests for this service and model.
    };
    Outcome outcome = Outcome::None;
    BackendIndex server;
    /// With Paused and Limited: the earliest end of a pause, or time of a permit.
    TimePoint availableAt;
    /// With Full: a server would have had a slot, but no memory for this request.
    bool lacksMemory = false;
};

/// Chooses the server that is expected to finish one more request soonest: the server with the
/// lowest load relative to its speed. Servers in this node's zone are preferred at similar
/// load, suspected servers are used last, and servers where this request has just failed are
/// excluded. This handles bursts, slow servers and servers that fail a part of their requests.
///
/// With many nodes, each considers only a few servers, drawn anew for each request. Nodes know of
/// each other's requests with a delay, so otherwise all would choose the same server, especially
/// one that has just opened (Mitzenmacher, "How Useful Is Old Information?", 2000).
TargetChoice chooseTarget(BackendTable &backends, const ChoiceInput &input, TimePoint now);

/// Maximum number of concurrent requests on a server, of all nodes together.
std::uint32_t concurrencyLimit(const Backend &backend, const ServingConfiguration &configuration);

} // namespace bramleypitch
