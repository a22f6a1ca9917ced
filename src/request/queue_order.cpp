#include "request/queue_order.h"

#include <tuple>

namespace bramleypitch {

namespace {

/// Sort key of a waiting request. The request with the smallest key starts first.
auto sortKey(const WaitingRequest &waiting, TimePoint now)
{
    const bool late = now > waiting.latestStart;
    return std::tuple(!waiting.responseStarted, late, late ? 0 : waiting.priority, waiting.since);
}

} // namespace

std::size_t nextToDispatch(const std::vector<WaitingRequest> &waiting, TimePoint now)
{
    std::size_t first = 0;
    for (std::size_t i = 1; i < waiting.size(); ++i) {
        if (sortKey(waiting[i], now) < sortKey(waiting[first], now))
            first = i;
    }
    return first;
}

} // namespace bramleypitch
