#pragma once

#include "request/engine_model.h"
#include "request/queue_order.h"

namespace bramleypitch {

/// Times that bound the wait of a request.
struct WaitBounds
{
    TimePoint arrivedAt;
    TimePoint latestStart; ///< Latest start that still meets the latency target.
    TimePoint deadline;
};

/// How long the caller of a stream waits for the first event, or between two events, before it
/// gives up.
Duration streamPatience(const RouteSpec &route);

/// Latest start of a request that is still of use to its caller, though it may be late. A stream
/// must send its first event within the patience of its caller. Any response must be complete
/// before the deadline. `engine` and `model` are null for plain services.
TimePoint lastUsefulStart(const RouteSpec &route, const EngineSpec *engine,
                          const ServedModel *model, const GenerationSize &size,
                          const WaitBounds &bounds);

/// The work of a request: the slots that it needs, times the time for which it needs them.
/// 1 without published figures.
double requestWork(const EngineSpec *engine, const ServedModel *model, const GenerationSize &size);

/// Sorts waiting requests by the order in which they start: first those with a partly sent
/// response, then those that can still meet their latency target, then the late ones. Within each
/// of these by priority, then by the work that their organisation has ahead of them and their own,
/// less a credit for their age. So no organisation delays another one by sending more, small
/// requests go first, and large ones do not wait without a bound.
void sortByValue(std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace bramleypitch
