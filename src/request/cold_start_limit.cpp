#include "request/cold_start_limit.h"

#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr Duration::rep millisecondsPerSecond = 1'000;
/// A turn lasts this fraction of a round, so that the turns of adjacent nodes overlap little.
constexpr Duration::rep turnsPerRound = 8;
/// Limits of a turn: long enough for the event loop to check the queue twice, and short compared
/// with the second over which the rate limit is counted.
constexpr Duration minTurn {50};
constexpr Duration maxTurn {300};

} // namespace

bool mayDispatchToCold(const Backend &backend, const ServedService &service, NodeShare nodes,
                       TimePoint now)
{
    if (service.maxColdRequestsPerSecond <= 0 || now >= backend.coldUntil)
        return true;
    const std::uint32_t count = std::max<std::uint32_t>(nodes.count, 1);
    const Duration round(
        static_cast<Duration::rep>(count * millisecondsPerSecond / service.maxColdRequestsPerSecond)
        + 1);
    const Duration turn = std::min(round, std::clamp(round / turnsPerRound, minTurn, maxTurn));
    // Each server starts the round with a different node.
    const std::uint64_t place = (nodes.nodeIndex + stableHash(backend.report.id.value())) % count;
    const Duration offset = round * static_cast<Duration::rep>(place) / count;
    const Duration since = now - backend.coldSince - offset;
    if (since < Duration(0) || since % round >= turn)
        return false;
    const TimePoint turnStart = now - since % round;
    return backend.lastColdDispatchAt < turnStart;
}

} // namespace bramleypitch
