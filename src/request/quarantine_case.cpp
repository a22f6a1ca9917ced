#include "request/quarantine_case.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace bramleypitch {

namespace {

/// Servers that end within this time may have a common cause, such as their rack.
constexpr Duration crashGroupTime {300};
constexpr std::size_t maxRunsOfGroup = 2;

} // namespace

std::size_t groupedCount(std::vector<CrashTime> times)
{
    std::sort(times.begin(), times.end(), [](const CrashTime &left, const CrashTime &right) {
        return std::tie(left.latest, left.earliest) < std::tie(right.latest, right.earliest);
    });
    std::size_t sum = 0;
    std::size_t inGroup = 0;
    std::optional<TimePoint> groupStart;
    for (const CrashTime &time : times) {
        if (!groupStart || time.earliest > *groupStart + crashGroupTime) {
            groupStart = time.latest;
            inGroup = 0;
        }
        if (inGroup < maxRunsOfGroup) {
            ++inGroup;
            ++sum;
        }
    }
    return sum;
}

bool shareRuns(const QuarantineCase &left, const QuarantineCase &right)
{
    return std::any_of(left.runs.begin(), left.runs.end(),
                       [&](const auto &item) { return right.runs.count(item.first) > 0; });
}

bool wasOnAllRuns(const QuarantineCase &left, const QuarantineCase &right)
{
    return std::all_of(right.runs.begin(), right.runs.end(),
                       [&](const auto &item) { return left.runs.count(item.first) > 0; });
}

bool wasInRequest(const QuarantineCase &part, const QuarantineCase &wholeRequest)
{
    return std::any_of(part.runs.begin(), part.runs.end(), [&](const auto &item) {
        const auto other = wholeRequest.runs.find(item.first);
        return other != wholeRequest.runs.end() && other->second.request == item.second.request;
    });
}

std::vector<CrashTime> runsWithout(const QuarantineCase &item, const QuarantineCase &other)
{
    std::vector<CrashTime> times;
    for (const auto &[run, evidence] : item.runs) {
        if (!other.runs.count(run))
            times.push_back(evidence.time);
    }
    return times;
}

std::weak_ordering compareExplained(const QuarantineCase &left, const QuarantineCase &right)
{
    if (!shareRuns(left, right))
        return std::weak_ordering::equivalent;
    const std::vector<CrashTime> onlyLeft = runsWithout(left, right);
    const std::vector<CrashTime> onlyRight = runsWithout(right, left);
    const std::weak_ordering order = groupedCount(onlyLeft) <=> groupedCount(onlyRight);
    return order != 0 ? order : onlyLeft.size() <=> onlyRight.size();
}

} // namespace bramleypitch
