#include "network/memory_shedding.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace bramleypitch {

namespace {

/// Twice the size of a long typical stream, with its framing. Such a stream is always read to its
/// end, and delivered later.
constexpr std::size_t streamBytes = 64 * 1024;
/// One caller may use this part of the account.
constexpr std::size_t callersPerLimit = 16;
/// Servers cut off responses that are not read for some seconds.
constexpr Duration maxReadingPause {1'000};

} // namespace

ResponseWorth responseWorth(bool isFinished, bool mayRepeat)
{
    if (isFinished)
        return mayRepeat ? ResponseWorth::FinishedRepeatable : ResponseWorth::FinishedOnly;
    return mayRepeat ? ResponseWorth::Replaceable : ResponseWorth::UnfinishedOnly;
}

std::vector<std::size_t> responsesToGiveUp(const std::vector<HeldResponse> &held, std::size_t bytes)
{
    std::vector<std::size_t> order(held.size());
    std::iota(order.begin(), order.end(), 0);
    std::erase_if(order, [&](std::size_t position) { return held[position].bytes == 0; });
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::tuple(held[a].worth, held[a].readAt, held[b].bytes)
            < std::tuple(held[b].worth, held[b].readAt, held[a].bytes);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < bytes)
        freed += held[order[count++]].bytes;
    order.resize(count);
    return order;
}

CallerAllowance callerAllowance(std::size_t accountLimit)
{
    const std::size_t limit = std::max(accountLimit / callersPerLimit, streamBytes);
    return {limit, streamBytes};
}

std::size_t nextAllowance(const CallerAllowance &allowance, std::size_t present, TimePoint pausedAt,
                          bool hasRoom, TimePoint now)
{
    if (!hasRoom || now - pausedAt < maxReadingPause)
        return present;
    return std::max(present, std::min(present + allowance.first, allowance.limit));
}

} // namespace bramleypitch
