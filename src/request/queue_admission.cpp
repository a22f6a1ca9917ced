#include "request/queue_admission.h"

#include "request/request_value.h"

#include <algorithm>
#include <optional>
#include <set>

namespace bramleypitch {

namespace {

/// Late requests are expected to get at least this share of the starts. A rise of demand lasts a
/// few seconds, and its end cannot be predicted.
constexpr double minLateShare = 0.5;
/// Share of the starts that late requests get even if requests in time would take all.
constexpr double minSpareShare = 0.1;
/// A late request starts only on a server with less than this share of its slots in use. It would
/// occupy a slot for a second or more, which other requests need that can still be on time.
constexpr double minLateUtilization = 0.8;
/// Work per second below which a rate counts as unknown.
constexpr double minKnownRate = 0.001;
constexpr double millisecondsPerSecond = 1'000;
constexpr Duration minRetryAfter {100};
constexpr int retryAfterDivisor = 3;
constexpr Duration minRetrySpread {200};
/// Of the starts of a target, at most one in so many goes to a request out of order.
constexpr std::uint32_t startsPerTurn = 8;
/// A route and priority starves if nothing of it has started for this part of the patience of a
/// waiting request.
constexpr int starvationDivisor = 2;
/// Limit on the routes and priorities that are kept.
constexpr std::size_t maxKinds = 256;

Duration waitFor(double work, double perSecond)
{
    if (perSecond < minKnownRate)
        return Duration(0);
    constexpr double longestMs = 3'600'000;
    return Duration(
        static_cast<Duration::rep>(std::min(millisecondsPerSecond * work / perSecond, longestMs)));
}

} // namespace

const char *giveUpCauseName(GiveUpCause cause)
{
    switch (cause) {
    case GiveUpCause::Queue:
        return "queue";
    case GiveUpCause::Patience:
        return "patience";
    case GiveUpCause::Full:
        break;
    }
    return "queue_full";
}

QueueRates queueRates(double perSecond, double inTimePerSecond)
{
    const double spare = std::max(perSecond - inTimePerSecond, minSpareShare * perSecond);
    return {perSecond, std::max(spare, minLateShare * perSecond), spare};
}

std::vector<GivenUpRequest> reviewQueue(std::vector<WaitingRequest> &waiting, QueueRates rates,
                                        TimePoint now)
{
    std::vector<GivenUpRequest> givenUp;
    for (WaitingRequest &item : waiting)
        item.isExpectedLate = false;
    sortByValue(waiting, now);
    double inTimeWork = 0;
    for (WaitingRequest &item : waiting) {
        const bool startsInTime = now + waitFor(inTimeWork, rates.perSecond) <= item.latestStart;
        item.isExpectedLate = !item.responseStarted && !startsInTime;
        if (!item.isExpectedLate)
            inTimeWork += item.work;
    }
    sortByValue(waiting, now);
    const Duration inTimeWait = waitFor(inTimeWork, rates.perSecond);
    double lateWork = 0;
    std::size_t kept = 0;
    std::set<std::pair<RouteId, int>> kinds;
    std::vector<WaitingRequest> remaining;
    remaining.reserve(waiting.size());
    for (WaitingRequest &item : waiting) {
        const Duration wait = inTimeWait + waitFor(lateWork, rates.latePerSecond);
        const bool isFirstOfKind = kinds.insert({item.route, item.priority}).second;
        std::optional<GiveUpCause> cause;
        if (!item.responseStarted) {
            if (now > item.lastStart)
                cause = GiveUpCause::Patience;
            else if (item.mayBeGivenUp && kept >= maxWaiting)
                cause = GiveUpCause::Full;
            else if (item.mayBeGivenUp && item.isExpectedLate && !isFirstOfKind
                     && now + wait > item.lastStart)
                cause = GiveUpCause::Queue;
        }
        if (cause) {
            // One that has waited for its whole patience needs the queue ahead of it to drain.
            const Duration untilRoom =
                *cause == GiveUpCause::Queue ? now + wait - item.lastStart : wait;
            givenUp.push_back({item.request, *cause, untilRoom});
            continue;
        }
        if (item.isExpectedLate)
            lateWork += item.work;
        ++kept;
        remaining.push_back(std::move(item));
    }
    waiting = std::move(remaining);
    return givenUp;
}

Duration retryAfterRoom(Duration untilRoom, Duration timeLeft, std::uint64_t hash)
{
    const Duration longest = std::max(timeLeft / retryAfterDivisor, minRetryAfter);
    // The spread takes the last third of the permitted time, so that it is not cut off.
    const Duration least =
        std::clamp(untilRoom, minRetryAfter, std::max(longest * 2 / 3, minRetryAfter));
    const Duration spread = std::max(least / 2, minRetrySpread);
    const auto draw = static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(spread.count()));
    return std::min(least + Duration(draw), longest);
}

double lateUtilization(TimePoint latestStart, TimePoint lastStart, TimePoint now)
{
    // Other nodes may have requests waiting that can be in time, so that it rises only near the
    // end.
    const auto half =
        static_cast<double>(std::max(lastStart - latestStart, Duration(2)).count()) / 2;
    const double passed = static_cast<double>((now - latestStart).count()) - half;
    return minLateUtilization + (1 - minLateUtilization) * std::clamp(passed / half, 0.0, 1.0);
}

void LateBudget::refill(double perSecond, TimePoint now)
{
    m_perSecond = perSecond;
    if (m_at != TimePoint() && perSecond > 0)
        m_work += perSecond * static_cast<double>((now - m_at).count()) / millisecondsPerSecond;
    m_work = perSecond > 0 ? std::min(m_work, 0.0) : 0;
    m_at = now;
}

std::size_t StarvationGuard::next(const std::vector<WaitingRequest> &waiting, TimePoint now) const
{
    if (m_startsSinceTurn < startsPerTurn || waiting.empty() || waiting.front().responseStarted)
        return 0;
    std::size_t chosen = 0;
    for (std::size_t i = 1; i < waiting.size(); ++i) {
        const WaitingRequest &item = waiting[i];
        const auto started = m_lastStarts.find({item.route, item.priority});
        const TimePoint from =
            started == m_lastStarts.end() ? item.since : std::max(item.since, started->second);
        const bool starves = now - from > (item.lastStart - item.since) / starvationDivisor;
        if (starves && (chosen == 0 || item.lastStart < waiting[chosen].lastStart))
            chosen = i;
    }
    return chosen;
}

void StarvationGuard::onStarted(const std::vector<WaitingRequest> &waiting, std::size_t index,
                                TimePoint now)
{
    m_startsSinceTurn = index > 0 ? 0 : std::min(m_startsSinceTurn + 1, startsPerTurn);
    if (m_lastStarts.size() >= maxKinds) // Routes may change with the configuration.
        m_lastStarts.clear();
    m_lastStarts[{waiting[index].route, waiting[index].priority}] = now;
}

} // namespace bramleypitch
