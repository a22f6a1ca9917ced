// Tests of the fair queue, membership, shared state, pool and rendezvous hashing.

#include "coordination/fair_queue.h"
#include "coordination/member_base.h"
#include "coordination/shared_base.h"
#include "core/pool_type.h"
#include "core/rendezvous_func.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace bramleypitch {

namespace {

const OrganisationId large("large");
const OrganisationId small("small");

bool anyOrganisation(const OrganisationId &)
{
    return true;
}

MemberEntry memberEntry(const std::string &name, std::int64_t incarnation, std::int64_t counter)
{
    MemberEntry entry;
    entry.node = NodeId(name);
    entry.incarnation = Incarnation(incarnation);
    entry.counter = counter;
    return entry;
}

} // namespace

TEST(FairQueue, FloodFromOneOrganisationDoesNotDelayAnother)
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 1'000; ++i)
        queue.push(large, 1, {RequestId(++id), 10, 0});
    queue.push(small, 1, {RequestId(9'999), 10, 0});
    for (int turn = 0; turn < 2; ++turn) {
        if (queue.pop(anyOrganisation)->request == RequestId(9'999))
            return;
    }
    FAIL() << "the small organisation's request was not among the first two";
}

TEST(FairQueue, HigherPriorityFirstWithinAnOrganisation)
{
    FairQueue queue;
    queue.push(large, 1, {RequestId(1), 1, 0});
    queue.push(large, 1, {RequestId(2), 1, 2});
    queue.push(large, 1, {RequestId(3), 1, 1});
    EXPECT_EQ(queue.pop(anyOrganisation)->request, RequestId(2));
    EXPECT_EQ(queue.pop(anyOrganisation)->request, RequestId(3));
    EXPECT_EQ(queue.pop(anyOrganisation)->request, RequestId(1));
    EXPECT_FALSE(queue.pop(anyOrganisation));
}

TEST(FairQueue, OrganisationAtItsLimitIsSkipped)
{
    FairQueue queue;
    queue.push(large, 1, {RequestId(1), 1, 0});
    queue.push(small, 1, {RequestId(2), 1, 0});
    const auto notLarge = [](const OrganisationId &name) { return name != large; };
    EXPECT_EQ(queue.pop(notLarge)->request, RequestId(2));
    EXPECT_FALSE(queue.pop(notLarge));
    EXPECT_EQ(queue.waiting(), 1U);
}

// While both organisations have requests queued, each is served in proportion to its weight, to
// within one request of each.
RC_GTEST_PROP(FairQueue, ServiceFollowsWeights, ())
{
    const double weight = *rc::gen::inRange(1, 8);
    FairQueue queue;
    double served[2] = {0, 0};
    for (std::uint64_t id = 0; id < 2'000; ++id) {
        const double cost = 1 + static_cast<double>(id % 5);
        queue.push(id % 2 ? small : large, id % 2 ? 1 : weight, {RequestId(id), cost, 0});
    }
    for (int turn = 0; turn < 800; ++turn) {
        const auto item = queue.pop(anyOrganisation);
        served[item->request.value() % 2] += item->cost;
    }
    constexpr double largestCost = 5;
    RC_ASSERT(std::abs(served[0] / weight - served[1]) <= largestCost + largestCost / weight);
}

TEST(Members, AliveWhileCounterRisesAndOlderEntriesAreIgnored)
{
    MemberTable table(memberEntry("a", 1, 0), {});
    table.merge({memberEntry("b", 1, 5)}, timePoint(1'000));
    table.merge({memberEntry("b", 1, 4), memberEntry("b", 0, 99)}, timePoint(3'500));
    EXPECT_EQ(table.alive(timePoint(3'900), true).size(), 2U);
    EXPECT_EQ(table.alive(timePoint(4'100), true).size(), 1U);
    table.merge({memberEntry("b", 2, 0)}, timePoint(4'200));
    EXPECT_EQ(table.alive(timePoint(4'300), true).size(), 2U);
}

TEST(Members, HeartbeatsStayBounded)
{
    MemberLimits limits;
    MemberTable table(memberEntry("self", 1, 0), limits);
    for (int i = 0; i < 390; ++i)
        table.merge({memberEntry("n" + std::to_string(i), 1, 1)}, timePoint(1'000 + i));
    std::mt19937_64 random(1);
    EXPECT_EQ(table.digest(timePoint(1'500)).size(), limits.entriesPerHeartbeat);
    EXPECT_LE(table.heartbeatTargets(timePoint(1'500), random).size(), limits.fanout + 1);
}

TEST(Shared, OlderStateIsNoEvidenceForNewerValues)
{
    SharedState state;
    state.merge({{"k", Revision(5), "new"}}, Revision(5), timePoint(1'000));
    state.merge({{"k", Revision(4), "old"}}, Revision(4), timePoint(9'000));
    EXPECT_EQ(state.find("k")->value, "new");
    EXPECT_EQ(state.evidence(), timePoint(1'000));
    EXPECT_EQ(state.since(Revision(4)).size(), 1U);
    EXPECT_TRUE(state.since(Revision(5)).empty());
}

TEST(Pool, SlotsAreReusedAndIndicesStay)
{
    using Index = StrongType<struct IndexTag, std::uint32_t>;
    Pool<std::string, Index> pool;
    const Index a = pool.insert("a");
    const Index b = pool.insert("b");
    pool.erase(a);
    EXPECT_EQ(pool.find(a), nullptr);
    EXPECT_EQ(pool.insert("c"), a);
    EXPECT_EQ(*pool.find(b), "b");
    EXPECT_EQ(pool.size(), 2U);
}

// Removing a candidate moves only the keys that were assigned to it.
RC_GTEST_PROP(Rendezvous, OnlyKeysOfTheRemovedCandidateMove, (const std::string &key))
{
    const std::vector<std::string> all {"a", "b", "c", "d", "e"};
    const auto name = [](const std::string &candidate) { return candidate; };
    const auto before = rendezvousOrder(key, all, name);
    const std::vector<std::string> remaining {"a", "b", "d", "e"};
    const auto after = rendezvousOrder(key, remaining, name);
    if (before.front() != "c")
        RC_ASSERT(after.front() == before.front());
}

} // namespace bramleypitch
