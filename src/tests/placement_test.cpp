// Tests of the planning of one fabric domain: single cases, and a property over random sequences of
// VM failures and changes of the span.

#include "coordination/environment_func.h"
#include "coordination/placement_func.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace bramleypitch {

namespace {

constexpr std::uint32_t vmCount = 7;

Envelope envelopeWithSpan(std::uint32_t span)
{
    Envelope envelope;
    envelope.environment = parseEnvironment(
        R"({"environment": "e", "availability_zones": [{"name": "z", "region": "r"}],
                "organisations": [], "model_groups": [{"name": "m", "model": "w", "span": )"
        + std::to_string(span) + R"(, "fabric_domains": ["d"], "checks_fencing": true}]})");
    return envelope;
}

std::string vmName(std::uint32_t number)
{
    return "v" + std::to_string(number % vmCount);
}

/// A fabric domain: its VMs, the input of its planning and its current placement.
struct Domain
{
    Domain()
    {
        std::vector<VmRecord> records;
        for (std::uint32_t number = 0; number < vmCount; ++number) {
            VmRecord record;
            record.id = VmId(vmName(number));
            record.address = Address(vmName(number));
            record.domain = DomainId("d");
            record.zone = ZoneId("z");
            records.push_back(record);
        }
        vms.update(records);
        input.domain = DomainId("d");
        input.vms = &vms;
        input.nodes.push_back({NodeId("n"), Incarnation(1), {}, {}, ZoneId("z")});
    }

    void confirm(const std::string &vm, TimePoint now)
    {
        VmReport report;
        report.state = EngineState::Empty;
        vms.confirm(VmId(vm), report, now);
    }

    VmTable vms;
    PlanInput input;
    DomainPlacement placement;
    PlacementLimits limits;
};

std::map<VmId, GroupId> groupByVm(const DomainPlacement &placement)
{
    std::map<VmId, GroupId> groups;
    for (const PlacedGroup &group : placement.groups) {
        for (const VmId &member : group.members)
            groups[member] = group.id;
    }
    return groups;
}

} // namespace

TEST(Placement, FormsAsManyGroupsAsFitAndLeavesSpares)
{
    Domain domain;
    const Envelope envelope = envelopeWithSpan(3);
    domain.input.envelope = &envelope;
    for (std::uint32_t number = 0; number < vmCount; ++number)
        domain.confirm(vmName(number), timePoint(100'000));
    const auto next = planDomain(domain.placement, domain.input, domain.limits, timePoint(100'100));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->groups.size(), 2U);
    EXPECT_EQ(strandedVms(vmCount, 3), 1U);
    EXPECT_FALSE(planDomain(*next, domain.input, domain.limits, timePoint(100'200)));
}

TEST(Placement, PrefersVmsThatHoldTheWeights)
{
    Domain domain;
    const Envelope envelope = envelopeWithSpan(2);
    domain.input.envelope = &envelope;
    for (std::uint32_t number = 0; number < vmCount; ++number)
        domain.confirm(vmName(number), timePoint(100'000));
    VmReport reportWithWeights;
    reportWithWeights.heldModel = "w";
    domain.vms.confirm(VmId("v5"), reportWithWeights, timePoint(100'001));
    domain.vms.confirm(VmId("v6"), reportWithWeights, timePoint(100'001));
    const auto next = planDomain(domain.placement, domain.input, domain.limits, timePoint(100'100));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->groups[0].members, (std::vector<VmId> {VmId("v5"), VmId("v6")}));
}

TEST(Placement, SparesPrefetchWeightsOneByOne)
{
    Domain domain;
    const Envelope envelope = envelopeWithSpan(3);
    domain.input.envelope = &envelope;
    for (std::uint32_t number = 0; number < vmCount; ++number)
        domain.confirm(vmName(number), timePoint(100'000));
    const TimePoint now = timePoint(100'100);
    EXPECT_FALSE(nextPrefetch(domain.placement, domain.input, domain.limits, now));
    const auto next = planDomain(domain.placement, domain.input, domain.limits, now);
    const auto prefetch = nextPrefetch(*next, domain.input, domain.limits, now);
    ASSERT_TRUE(prefetch);
    EXPECT_EQ(prefetch->vm, VmId("v6"));
    EXPECT_EQ(prefetch->model, "w");
    VmReport reportWithWeights;
    reportWithWeights.heldModel = "w";
    domain.vms.confirm(VmId("v6"), reportWithWeights, timePoint(100'001));
    EXPECT_FALSE(nextPrefetch(*next, domain.input, domain.limits, now));
}

TEST(Placement, NothingIsPlacedWithoutALeaseHolder)
{
    Domain domain;
    const Envelope envelope = envelopeWithSpan(2);
    domain.input.envelope = &envelope;
    domain.input.nodes.clear();
    domain.confirm("v0", timePoint(100'000));
    domain.confirm("v1", timePoint(100'000));
    EXPECT_FALSE(planDomain(domain.placement, domain.input, domain.limits, timePoint(100'100)));
}

TEST(Placement, SerializationRoundTrips)
{
    Domain domain;
    const Envelope envelope = envelopeWithSpan(2);
    domain.input.envelope = &envelope;
    domain.confirm("v0", timePoint(100'000));
    domain.confirm("v1", timePoint(100'000));
    auto next = planDomain(domain.placement, domain.input, domain.limits, timePoint(100'100));
    ASSERT_TRUE(next);
    next->released.push_back({VmId("v3"), Generation(9), true});
    EXPECT_EQ(parsePlacement(serializePlacement(*next)), *next);
}

// No VM is in two groups at a time. A VM that changes groups was released in between and confirmed
// its release, and was reused only after no node can still dispatch to its old group.
RC_GTEST_PROP(Placement, NoVmChangesGroupsWithoutRelease, ())
{
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        120, rc::gen::inRange<std::uint32_t>(0, 10'000));
    Domain domain;
    std::int64_t time = 100'000;
    std::set<std::uint32_t> silent;
    std::uint32_t span = 2;
    std::map<VmId, GroupId> lastGroup;
    std::map<VmId, std::int64_t> confirmedRelease;
    for (const std::uint32_t step : steps) {
        time += 100 + step % 400;
        const TimePoint now = timePoint(time);
        const std::uint32_t vm = step / 7 % vmCount;
        if (step % 7 == 0)
            silent.insert(vm);
        else if (step % 7 == 1)
            silent.erase(vm);
        else if (step % 29 == 2)
            span = 1 + step % 3;
        for (std::uint32_t number = 0; number < vmCount; ++number) {
            if (silent.count(number) == 0)
                domain.confirm(vmName(number), now);
            else
                domain.vms.suspect(VmId(vmName(number)), now);
        }
        for (const ReleasedVm &released : domain.placement.released) {
            const ReleaseKey key(released.vm, released.fence);
            const bool responds = domain.vms.find(released.vm)->report.has_value();
            if (responds && domain.input.releaseConfirmedAt.count(key) == 0) {
                domain.input.releaseConfirmedAt[key] = now;
                confirmedRelease[released.vm] = time;
            }
        }
        const Envelope envelope = envelopeWithSpan(span);
        domain.input.envelope = &envelope;
        const auto next = planDomain(domain.placement, domain.input, domain.limits, now);
        if (!next)
            continue;
        std::set<VmId> seen;
        for (const PlacedGroup &group : next->groups) {
            for (const VmId &member : group.members)
                RC_ASSERT(seen.insert(member).second);
        }
        for (const auto &[member, group] : groupByVm(*next)) {
            const auto last = lastGroup.find(member);
            if (last != lastGroup.end() && last->second != group) {
                RC_ASSERT(confirmedRelease.count(member) == 1U);
                RC_ASSERT(time - confirmedRelease[member] >= domain.limits.memberFreshness.count());
                confirmedRelease.erase(member);
            }
            lastGroup[member] = group;
        }
        domain.placement = *next;
    }
}

} // namespace bramleypitch
