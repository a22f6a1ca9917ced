#pragma once

#include "request/backend_base.h"
#include "request/cold_turn.h"

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
    NodeShare nodes; ///< Those that send to the same servers.
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
/// work. Where many nodes choose, each looks at a few servers only, others for each request: what
/// nodes know of each other's requests is old, and all would meet at the same server, above
/// all at one that has just opened (Mitzenmacher, "How Useful Is Old Information?", 2000).
TargetChoice chooseTarget(BackendTable &backends, const ChoiceInput &input, TimePoint now);

/// Requests of all nodes together that a server is given at once.
std::uint32_t concurrencyLimit(const Backend &backend, const ServingConfiguration &configuration);

} // namespace bramleypitch
