#pragma once

#include "request/backend_type.h"
#include "request/serving_type.h"

namespace bramleypitch {

/// The nodes that share the limits of the servers, and the place of one among them.
struct NodeShare
{
    std::uint32_t count = 1; ///< Upper bound.
    std::uint32_t place = 0; ///< In an order that all nodes agree on, from 0.
};

/// Whether a node may send a request to a cold server now. The nodes take turns, each once in the
/// time in which the server bears as many requests as there are nodes. Turns that pass unused are
/// lost: otherwise all nodes would come at once when a server opens late in its cold start, or
/// when requests come after a pause.
bool hasColdTurn(const Backend &backend, const ServedService &service, NodeShare nodes,
                 TimePoint now);

} // namespace bramleypitch
