#pragma once

#include "request/backend_base.h"

#include <set>

namespace bramleypitch {

/// What the choice of a server for one attempt depends on.
struct ChoiceInput
{
    const ServingConfiguration *configuration = nullptr;
    const std::set<ZoneId> *zonesOut = nullptr;
    const std::vector<VmId> *tried = nullptr; ///< Servers that failed this request already.
    std::string traceId; ///< Spreads the requests of nodes that know the same.
    ServiceId service;
    ModelId model;
    ZoneId ownZone;
    NodeId ownNode;
    std::uint32_t nodes = 1; ///< Upper bound on the nodes that send to the same servers.
};

/// A server, or why there is none.
struct TargetChoice
{
    enum class Outcome {
        Chosen,
        Full, ///< Servers exist; each runs what it can.
        None, ///< No server takes requests of this kind.
    };
    Outcome outcome = Outcome::None;
    BackendIndex server;
};

/// The server on which one more request finishes soonest by what this node knows: the least loaded
/// for its speed, servers of the own zone first among equals, suspects last; not one that
/// failed the request just now. Answers bursts, stragglers and servers that fail part of their
/// work.
TargetChoice chooseTarget(BackendTable &backends, const ChoiceInput &input, TimePoint now);

/// Requests of all nodes together that a server is given at once.
std::uint32_t concurrencyLimit(const Backend &backend, const ServingConfiguration &configuration);

/// Least time between two dispatches of one node to a cold server.
Duration coldInterval(const ServedService &service, std::uint32_t nodes);

/// From when on one node may send to a server that has turned cold: the nodes' first requests are
/// spread over the interval, as together they would come at once.
TimePoint coldStart(const Backend &backend, const NodeId &node, Duration interval);

} // namespace bramleypitch
