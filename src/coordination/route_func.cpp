#include "coordination/route_func.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

constexpr double maxLoadFactor = 1.25; ///< Maximum load of a group, relative to the mean.
constexpr double stragglerFactor = 2; ///< A group this much slower than the median is a straggler.
constexpr std::uint64_t warmingInterval = 4; ///< One in this many attempts prefers a cold group.
constexpr double speedSmoothing = 0.2; ///< Weight of the newest attempt in the moving average.

/// A group that may take the request, with its sort criteria.
struct Candidate
{
    GroupIndex index;
    Group *group;
    std::uint64_t weight = 0; ///< Rendezvous weight; higher values come first.
    bool demoted = false; ///< Straggler, or failed recently.
    bool warming = false; ///< In cold start, and this attempt prefers cold groups.
};

double load(const Group &group)
{
    return static_cast<double>(group.ownRunning + group.othersRunning)
        / static_cast<double>(group.limits.concurrency);
}

double medianTokenMillis(const std::vector<Candidate> &candidates)
{
    std::vector<double> speeds;
    for (const Candidate &candidate : candidates) {
        if (candidate.group->tokenMillis > 0)
            speeds.push_back(candidate.group->tokenMillis);
    }
    if (speeds.empty())
        return 0;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

std::vector<Candidate> findOpenGroups(NodeState &state, const std::string &target, TimePoint now)
{
    std::vector<Candidate> candidates;
    for (const GroupIndex index : state.groups.groupsOfTarget(target)) {
        Group *group = state.groups.find(index);
        const GateState gate =
            gateState(*group, state.vms, *state.envelope, state.options.placement, now);
        if (gate == GateState::Open)
            candidates.push_back({index, group});
    }
    return candidates;
}

/// Baseline policy for comparison measurements: the next open group, regardless of its load.
std::optional<GroupIndex> roundRobin(NodeState &state, const std::vector<Candidate> &open)
{
    if (open.empty())
        return std::nullopt;
    return open[state.counters.value(Counter::AttemptsSent) % open.size()].index;
}

double meanLoad(const std::vector<Candidate> &candidates)
{
    double sum = 0;
    for (const Candidate &candidate : candidates)
        sum += load(*candidate.group);
    return candidates.empty() ? 0 : sum / static_cast<double>(candidates.size());
}

/// Sets the sort criteria of the candidates.
void setSortCriteria(std::vector<Candidate> &candidates, const NodeState &state,
                     std::uint64_t affinity, TimePoint now)
{
    const double median = medianTokenMillis(candidates);
    // With affinity alone, cold groups would get too few requests to warm up once others are warm.
    const bool isWarmingAttempt =
        state.counters.value(Counter::AttemptsSent) % warmingInterval == 0;
    const std::string key = std::to_string(affinity);
    for (Candidate &candidate : candidates) {
        const Group &group = *candidate.group;
        const bool isStraggler = median > 0 && group.tokenMillis > stragglerFactor * median;
        candidate.weight = rendezvousWeight(key, group.placed.id.value());
        candidate.warming = isWarmingAttempt && !isWarm(group, state.vms);
        candidate.demoted = isStraggler || now < group.avoidUntil;
    }
}

bool isPreferred(const Candidate &a, const Candidate &b)
{
    if (a.warming != b.warming)
        return a.warming;
    if (a.demoted != b.demoted)
        return b.demoted;
    return a.weight > b.weight;
}

} // namespace

TargetCapacity targetCapacity(NodeState &state, const std::string &target, TimePoint now)
{
    TargetCapacity capacity;
    for (const Candidate &candidate : findOpenGroups(state, target, now)) {
        const Group &group = *candidate.group;
        const bool home = group.placed.home == state.options.node;
        ++capacity.openGroups;
        if (isWarm(group, state.vms))
            capacity.slots += group.ownShare;
        else if (home)
            capacity.slots += group.limits.coldAllowance;
        else
            ++capacity.coldOnOtherNodes;
    }
    return capacity;
}

std::optional<GroupIndex> chooseGroup(NodeState &state, const std::string &target,
                                      std::uint64_t affinity, TimePoint now)
{
    std::vector<Candidate> candidates = findOpenGroups(state, target, now);
    if (state.options.baselinePolicy)
        return roundRobin(state, candidates);
    const double mean = meanLoad(candidates);
    setSortCriteria(candidates, state, affinity, now);
    // Groups in cold start have no free slots here unless this node is their home.
    std::erase_if(candidates, [&](const Candidate &candidate) {
        return freeSlots(*candidate.group, state.vms, state.lease, now) == 0;
    });
    std::sort(candidates.begin(), candidates.end(), isPreferred);
    for (const Candidate &candidate : candidates) {
        const Group &group = *candidate.group;
        const double bound = std::ceil(maxLoadFactor * mean * group.limits.concurrency + 1);
        if (group.ownRunning + group.othersRunning < bound)
            return candidate.index;
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates.front().index;
}

void updateTokenTime(Group &group, Duration streamed, std::uint32_t tokens)
{
    if (tokens == 0)
        return;
    const double millis = static_cast<double>(streamed.count()) / tokens;
    if (group.tokenMillis == 0)
        group.tokenMillis = millis;
    else
        group.tokenMillis += speedSmoothing * (millis - group.tokenMillis);
}

} // namespace bramleypitch
