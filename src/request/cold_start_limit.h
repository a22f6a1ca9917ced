#pragma once

#include "request/backend_type.h"
#include "request/serving_type.h"

namespace bramleypitch {

/// Number of nodes that share the limits of the servers, and the index of this node among them.
struct NodeShare
{
    std::uint32_t count = 1; ///< Upper bound on the number of nodes.
    std::uint32_t nodeIndex = 0; ///< Index of this node, from 0, in the order of node names.
};

/// Whether this node may send a request to a cold server now. Each node has one turn per round. A
/// round is the time in which the server accepts as many requests as there are nodes. Unused turns
/// expire. If they accumulated, all nodes would send at once when a server opens late in its cold
/// start, or when requests arrive after a pause.
bool mayDispatchToCold(const Backend &backend, const ServedService &service, NodeShare nodes,
                       TimePoint now);

} // namespace bramleypitch
