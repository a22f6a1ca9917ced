#include "coordination/group_func.h"

#include "coordination/environment_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Slots of a group that a node must leave free when it exceeds its own share.
constexpr std::uint32_t reservedSlots = 1;
/// How long an abandoned request may take to arrive at the server.
constexpr Duration maxArrivalDelay {3'000};

/// Whether a member's last report confirms this group and generation and is recent enough.
bool hasConfirmedGroup(const Vm &vm, const Group &group, const PlacementLimits &limits,
                       TimePoint now)
{
    if (!vm.report || vm.report->state != EngineState::Ready)
        return false;
    if (now - vm.confirmedAt >= limits.memberFreshness)
        return false;
    if (group.isService)
        return true;
    return vm.report->group == group.placed.id && vm.report->generation == group.placed.generation;
}

/// Returns the number of attempts without response that may still arrive at the server.
std::uint32_t countUndeliveredAttempts(const Group &group, TimePoint now)
{
    return static_cast<std::uint32_t>(std::count_if(group.mayArriveUntil.begin(),
                                                    group.mayArriveUntil.end(),
                                                    [&](TimePoint until) { return now < until; }));
}

/// Returns how many more requests fit below the limit.
std::uint32_t remainingCapacity(std::uint32_t running, std::uint32_t limit)
{
    return running >= limit ? 0 : limit - running;
}

/// Whether this node is the home of the group and its lease is valid.
bool isHome(const Group &group, const OwnLease &lease, TimePoint now)
{
    return group.placed.home == lease.node && group.placed.homeIncarnation == lease.incarnation
        && now < lease.validUntil;
}

} // namespace

const char *gateStateName(GateState state)
{
    switch (state) {
    case GateState::Open:
        return "open";
    case GateState::MemberMissing:
        return "member_missing";
    case GateState::MemberLeaving:
        return "member_leaving";
    case GateState::ZoneOut:
        return "zone_out";
    }
    return "member_missing";
}

GateState gateState(const Group &group, const VmTable &vms, const Envelope &envelope,
                    const PlacementLimits &limits, TimePoint now)
{
    if (group.vms.size() != group.placed.members.size())
        return GateState::MemberMissing;
    for (const VmIndex member : group.vms) {
        const Vm *vm = vms.find(member);
        if (!vm || !vm->listed || !hasConfirmedGroup(*vm, group, limits, now))
            return GateState::MemberMissing;
        if (vm->record.leaving)
            return GateState::MemberLeaving;
        if (isZoneOut(envelope, vm->record.zone))
            return GateState::ZoneOut;
    }
    return GateState::Open;
}

bool isWarm(const Group &group, const VmTable &vms)
{
    return std::all_of(
        group.placed.members.begin(), group.placed.members.end(), [&](const VmId &member) {
            const Vm *vm = vms.find(member);
            return vm && vm->report && vm->report->completed >= group.limits.warmAfter;
        });
}

void onProbeSent(Group &group)
{
    group.ownRunningAtProbe = group.ownRunning;
    group.abandonedAtProbe = group.abandoned;
}

void onAttemptEnded(Group &group, AttemptOutcome end, TimePoint now)
{
    if (group.ownRunning > 0)
        --group.ownRunning;
    if (end == AttemptOutcome::Abandoned || end == AttemptOutcome::NoResponse)
        ++group.abandoned;
    std::erase_if(group.mayArriveUntil, [&](TimePoint until) { return now >= until; });
    if (end == AttemptOutcome::NoResponse)
        group.mayArriveUntil.push_back(now + maxArrivalDelay);
}

void onReportReceived(Group &group, const VmReport &report)
{
    group.abandoned -= group.abandonedAtProbe;
    group.abandonedAtProbe = 0;
    const std::uint32_t own = std::min(group.ownRunningAtProbe, group.ownRunning);
    group.othersRunning = report.running > own ? report.running - own : 0;
}

std::uint32_t freeSlots(const Group &group, const VmTable &vms, const OwnLease &lease,
                        TimePoint now)
{
    const Vm *head = group.vms.empty() ? nullptr : vms.find(group.vms.front());
    if (!head || !head->report)
        return 0;
    const bool warm = isWarm(group, vms);
    if (!warm && !isHome(group, lease, now))
        return 0;
    const std::uint32_t own = group.ownRunning + group.abandoned;
    if (!warm) {
        const std::uint32_t running =
            own + group.othersRunning + countUndeliveredAttempts(group, now);
        return remainingCapacity(running, group.limits.coldAllowance);
    }
    if (own < group.ownShare)
        return group.ownShare - own;
    // The load of other nodes is known with a delay. A node may exceed its share only if some of
    // the group's capacity remains unused.
    return remainingCapacity(own + group.othersRunning + reservedSlots, group.limits.concurrency);
}

} // namespace bramleypitch
