#include "request/request_value.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bramleypitch {

namespace {

/// Callers of streams give up after the longest of these.
constexpr Duration minStreamPatience {2'000};
constexpr int patiencePerTargetLatency = 4;
constexpr int patiencePerTargetGap = 8;
/// Share of its patience by which a first event may be later than expected, as servers may have
/// requests that this node does not know of yet.
constexpr int firstEventMarginDivisor = 8;
/// Share of the latency target that a plain server may take for a response.
constexpr int plainResponseDivisor = 2;
/// Requests of mean work that one may pass at most because of its age, at the end of its patience.
constexpr double ageCredit = 4;
constexpr double millisecondsPerSecond = 1'000;

/// The class of a request in the order of starts.
enum class Standing { Begun, InTime, Late };

Standing standingOf(const WaitingRequest &waiting, TimePoint now)
{
    if (waiting.responseStarted)
        return Standing::Begun;
    return waiting.isLate(now) || waiting.isExpectedLate ? Standing::Late : Standing::InTime;
}

Duration wholeMilliseconds(double value)
{
    return Duration(static_cast<Duration::rep>(value));
}

} // namespace

Duration streamPatience(const RouteSpec &route)
{
    return std::max({minStreamPatience, patiencePerTargetLatency * route.targetLatency,
                     patiencePerTargetGap * route.targetGap});
}

TimePoint lastUsefulStart(const RouteSpec &route, const EngineSpec *engine,
                          const ServedModel *model, const GenerationSize &size,
                          const WaitBounds &bounds)
{
    const bool isStream =
        route.kind == RequestKind::ResumableStream || route.kind == RequestKind::Stream;
    Duration toFirstEvent = route.targetLatency / plainResponseDivisor;
    Duration toEnd = toFirstEvent;
    if (engine && model) {
        toFirstEvent = wholeMilliseconds(firstEventMs(*engine, *model, size.promptTokens));
        toEnd = wholeMilliseconds(executionMs(*engine, *model, size));
    }
    TimePoint last = bounds.deadline - toEnd;
    if (isStream)
        last = std::min(last,
                        bounds.arrivedAt + streamPatience(route) - toFirstEvent
                            - streamPatience(route) / firstEventMarginDivisor);
    // The expected length of a completion may be its maximum, so that `toEnd` is too long.
    return std::min(std::max(last, bounds.latestStart), bounds.deadline);
}

double requestWork(const EngineSpec *engine, const ServedModel *model, const GenerationSize &size)
{
    if (!engine || !model)
        return 1;
    const double seconds = executionMs(*engine, *model, size) / millisecondsPerSecond;
    return seconds > 0 ? slotsNeeded(*engine, *model, size) * seconds : 1;
}

void sortByValue(std::vector<WaitingRequest> &waiting, TimePoint now)
{
    if (waiting.size() < 2)
        return;
    struct Ranked
    {
        std::tuple<Standing, int, double, TimePoint, RequestId> key;
        std::size_t index;
    };
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
        return std::tie(a.since, a.request) < std::tie(b.since, b.request);
    });
    double total = 0;
    for (const WaitingRequest &item : waiting)
        total += item.work;
    const double meanWork = total / static_cast<double>(waiting.size());
    std::map<std::tuple<Standing, int, OrganisationId>, double> workAhead;
    std::vector<Ranked> ranked;
    ranked.reserve(waiting.size());
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const WaitingRequest &item = waiting[i];
        const Standing standing = standingOf(item, now);
        double &ofOrganisation = workAhead[{standing, item.priority, item.organisation}];
        ofOrganisation += item.work;
        const auto patience =
            static_cast<double>(std::max(item.lastStart - item.since, Duration(1)).count());
        const double age =
            std::clamp(static_cast<double>((now - item.since).count()) / patience, 0.0, 1.0);
        const double cost =
            standing == Standing::Begun ? 0 : ofOrganisation / meanWork - ageCredit * age;
        ranked.push_back({{standing, item.priority, cost, item.since, item.request}, i});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked &a, const Ranked &b) { return a.key < b.key; });
    std::vector<WaitingRequest> sorted;
    sorted.reserve(waiting.size());
    for (const Ranked &item : ranked)
        sorted.push_back(std::move(waiting[item.index]));
    waiting = std::move(sorted);
}

} // namespace bramleypitch
