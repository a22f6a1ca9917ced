// Tests of the order in which waiting requests start, and of which of them are given up.

#include "request/queue_admission.h"
#include "request/request_value.h"
#include "request/server_priority.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace bramleypitch {

namespace {

const TimePoint now = timePoint(1'000'000);

WaitingRequest waitingRequest(std::uint64_t id, Duration age = Duration(0))
{
    WaitingRequest item;
    item.request = RequestId(id);
    item.since = now - age;
    item.latestStart = item.since + Duration(300);
    item.lastStart = item.since + Duration(2'000);
    item.route = RouteId("r");
    return item;
}

std::vector<std::uint64_t> idsOf(const std::vector<WaitingRequest> &waiting)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(waiting.size());
    for (const WaitingRequest &item : waiting)
        ids.push_back(item.request.value());
    return ids;
}

TEST(StreamPatience, IsTheLongestOfItsThreeBounds)
{
    RouteSpec route;
    EXPECT_EQ(streamPatience(route), Duration(2'000));
    route.targetLatency = Duration(700);
    EXPECT_EQ(streamPatience(route), Duration(2'800));
    route.targetGap = Duration(400);
    EXPECT_EQ(streamPatience(route), Duration(3'200));
}

TEST(LastUsefulStart, IsBoundedByTheCallersPatienceAndTheDeadline)
{
    RouteSpec route;
    route.kind = RequestKind::Stream;
    route.targetLatency = Duration(400);
    const WaitBounds patient {now, now + Duration(400), now + Duration(6'000)};
    const TimePoint stream = lastUsefulStart(route, nullptr, nullptr, {}, patient);
    EXPECT_LE(stream, now + Duration(1'800));
    EXPECT_GE(stream, now + Duration(1'000));
    const WaitBounds hurried {now, now + Duration(400), now + Duration(900)};
    EXPECT_LE(lastUsefulStart(route, nullptr, nullptr, {}, hurried), now + Duration(700));
    route.kind = RequestKind::AtMostOnce;
    EXPECT_EQ(lastUsefulStart(route, nullptr, nullptr, {}, patient), now + Duration(5'800));
}

TEST(SortByValue, BegunThenInTimeThenLateAndByPriority)
{
    std::vector<WaitingRequest> waiting {waitingRequest(1, Duration(900)), waitingRequest(2),
                                         waitingRequest(3), waitingRequest(4, Duration(900)),
                                         waitingRequest(5, Duration(800))};
    waiting[1].priority = 3;
    waiting[2].priority = 1;
    waiting[3].responseStarted = true;
    waiting[4].priority = -1;
    sortByValue(waiting, now);
    EXPECT_EQ(idsOf(waiting), (std::vector<std::uint64_t> {4, 3, 2, 5, 1}));
}

TEST(SortByValue, FloodOfOneOrganisationGoesBehindAnother)
{
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= 50; ++id)
        waiting.push_back(waitingRequest(id, Duration(100)));
    waiting.push_back(waitingRequest(99));
    waiting.back().organisation = OrganisationId("small");
    sortByValue(waiting, now);
    const std::vector<std::uint64_t> ids = idsOf(waiting);
    EXPECT_LE(std::find(ids.begin(), ids.end(), 99) - ids.begin(), 5);
}

TEST(SortByValue, SmallRequestsGoFirstUntilLargeOnesAreOld)
{
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        waiting.push_back(waitingRequest(id));
        waiting.back().organisation = OrganisationId(std::to_string(id));
    }
    waiting[0].work = 3;
    sortByValue(waiting, now);
    EXPECT_EQ(waiting.back().request, RequestId(1));
    for (WaitingRequest &item : waiting) {
        item.latestStart = now + Duration(100);
        if (item.request == RequestId(1))
            item.since = now - Duration(1'900), item.lastStart = now + Duration(100);
    }
    sortByValue(waiting, now);
    EXPECT_EQ(waiting.front().request, RequestId(1));
}

TEST(ReviewQueue, OnlyWhatIsAheadCounts)
{
    // Guards against a failure seen in a deployment: late requests that wait behind all others
    // counted toward the wait of requests in time, which were refused.
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= 8; ++id)
        waiting.push_back(waitingRequest(id, Duration(600)));
    waiting.push_back(waitingRequest(99));
    EXPECT_TRUE(reviewQueue(waiting, queueRates(10, 0), now).empty());
    EXPECT_EQ(waiting.front().request, RequestId(99));
    EXPECT_FALSE(waiting.front().isExpectedLate);
    EXPECT_TRUE(waiting.back().isExpectedLate);
}

TEST(ReviewQueue, PredictedStartAfterThePatienceIsRefusedAtOnce)
{
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= 100; ++id)
        waiting.push_back(waitingRequest(id));
    const std::vector<GivenUpRequest> givenUp = reviewQueue(waiting, queueRates(10, 0), now);
    EXPECT_GE(waiting.size(), 18U);
    EXPECT_LE(waiting.size(), 22U); // 10 a second for 2 s.
    ASSERT_EQ(givenUp.size() + waiting.size(), 100U);
    EXPECT_EQ(givenUp.front().cause, GiveUpCause::Queue);
}

TEST(ReviewQueue, WaitingRequestIsRefusedAsItsPatienceEnds)
{
    std::vector<WaitingRequest> waiting {waitingRequest(1, Duration(2'001)),
                                         waitingRequest(2, Duration(1'999)),
                                         waitingRequest(3, Duration(2'001))};
    waiting[2].responseStarted = true;
    const std::vector<GivenUpRequest> givenUp = reviewQueue(waiting, {}, now);
    ASSERT_EQ(givenUp.size(), 1U);
    EXPECT_EQ(givenUp[0].request, RequestId(1));
    EXPECT_EQ(givenUp[0].cause, GiveUpCause::Patience);
}

TEST(ReviewQueue, FullQueueGivesUpItsLeastValuableRequest)
{
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= maxWaiting; ++id) {
        waiting.push_back(waitingRequest(id));
        waiting.back().priority = 2;
    }
    waiting.push_back(waitingRequest(9'999));
    const std::vector<GivenUpRequest> givenUp = reviewQueue(waiting, {}, now);
    ASSERT_EQ(givenUp.size(), 1U);
    EXPECT_EQ(givenUp[0].cause, GiveUpCause::Full);
    EXPECT_NE(givenUp[0].request, RequestId(9'999));
    EXPECT_EQ(waiting.front().request, RequestId(9'999));
}

TEST(ReviewQueue, OneOfEachRouteAndPriorityMayWait)
{
    std::vector<WaitingRequest> waiting;
    for (std::uint64_t id = 1; id <= 100; ++id)
        waiting.push_back(waitingRequest(id));
    waiting.push_back(waitingRequest(999));
    waiting.back().priority = 9;
    reviewQueue(waiting, queueRates(10, 0), now);
    EXPECT_EQ(waiting.back().request, RequestId(999));
}

// No request is lost or doubled by a review, and no response that has begun is given up.
RC_GTEST_PROP(ReviewQueueProperty, KeepsOrGivesUpEachRequest, ())
{
    std::vector<WaitingRequest> waiting;
    const int count = *rc::gen::inRange(0, 700);
    for (int id = 1; id <= count; ++id) {
        waiting.push_back(
            waitingRequest(static_cast<std::uint64_t>(id), Duration(*rc::gen::inRange(0, 2'500))));
        waiting.back().priority = *rc::gen::inRange(0, 3);
        waiting.back().work = *rc::gen::inRange(1, 9);
        waiting.back().responseStarted = *rc::gen::inRange(0, 10) == 0;
        waiting.back().organisation = OrganisationId(std::to_string(*rc::gen::inRange(0, 4)));
    }
    const QueueRates rates = queueRates(*rc::gen::inRange(0, 500), *rc::gen::inRange(0, 500));
    std::set<RequestId> begun;
    for (const WaitingRequest &item : waiting) {
        if (item.responseStarted)
            begun.insert(item.request);
    }
    const std::vector<GivenUpRequest> givenUp = reviewQueue(waiting, rates, now);
    std::set<RequestId> seen;
    for (const GivenUpRequest &item : givenUp) {
        RC_ASSERT(!begun.count(item.request));
        RC_ASSERT(seen.insert(item.request).second);
    }
    for (const WaitingRequest &item : waiting) {
        RC_ASSERT(seen.insert(item.request).second);
        RC_ASSERT(item.responseStarted || item.lastStart >= now);
    }
    RC_ASSERT(seen.size() == static_cast<std::size_t>(count));
    RC_ASSERT(waiting.size() <= maxWaiting + begun.size());
}

// While anything starts, a route and priority that waits gets a start within its patience.
TEST(StarvationGuard, LessUrgentRequestStartsThoughUrgentOnesNeverEnd)
{
    StarvationGuard guard;
    std::vector<WaitingRequest> waiting {waitingRequest(1), waitingRequest(2)};
    waiting[1].priority = 5;
    TimePoint at = now;
    for (std::uint64_t id = 3; at < now + Duration(2'000); ++id) {
        sortByValue(waiting, at);
        const std::size_t next = guard.next(waiting, at);
        guard.onStarted(waiting, next, at);
        if (waiting[next].request == RequestId(2))
            return;
        waiting[next] = waitingRequest(id);
        waiting[next].since = at;
        waiting[next].latestStart = at + Duration(300);
        waiting[next].lastStart = at + Duration(2'000);
        at += Duration(50);
    }
    FAIL() << "the less urgent request never started";
}

TEST(StarvationGuard, OrderHoldsWhileNothingStarves)
{
    StarvationGuard guard;
    std::vector<WaitingRequest> waiting {waitingRequest(1), waitingRequest(2, Duration(100))};
    waiting[1].priority = 5;
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(guard.next(waiting, now), 0U);
        guard.onStarted(waiting, 0, now);
    }
}

ServingConfiguration priorityConfiguration(const std::vector<int> &priorities)
{
    ServingConfiguration configuration;
    for (const int priority : priorities) {
        RouteSpec route;
        route.priority = priority;
        route.services = {{ServiceId("engines"), 1}};
        configuration.routes.push_back(route);
    }
    return configuration;
}

TEST(ServerPriority, IsNotSentIfAllRequestsOfTheServiceHaveTheSame)
{
    ServingConfiguration configuration = priorityConfiguration({2, 2});
    configuration.organisations = {{OrganisationId("a"), std::nullopt}};
    const ServiceId engines("engines");
    EXPECT_FALSE(serverPriority(servicePriorities(configuration).at(engines), 2, true));
    configuration.organisations[0].priority = 0;
    const ServicePriorities overridden = servicePriorities(configuration);
    EXPECT_LT(serverPriority(overridden.at(engines), 0, false),
              serverPriority(overridden.at(engines), 2, false));
    for (RouteSpec &route : configuration.routes)
        route.keyless = true;
    EXPECT_FALSE(serverPriority(servicePriorities(configuration).at(engines), 2, false));
}

RC_GTEST_PROP(ServerPriorityProperty, MoreUrgentComesFirstWithinTheLevelsOfServers, ())
{
    const auto priorities =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 20)));
    const std::vector<int> known =
        servicePriorities(priorityConfiguration(priorities)).at(ServiceId("engines"));
    RC_PRE(known.size() > 1);
    for (std::size_t i = 0; i < known.size(); ++i) {
        const int plain = *serverPriority(known, known[i], false);
        const int ahead = *serverPriority(known, known[i], true);
        RC_ASSERT(0 <= ahead && ahead <= plain && plain <= 9);
        if (i > 0) {
            RC_ASSERT(*serverPriority(known, known[i - 1], false) <= ahead);
            RC_ASSERT(known.size() > 9 || *serverPriority(known, known[i - 1], false) < plain);
        }
    }
}

TEST(LateUtilization, RisesOnlyNearTheEndOfThePatience)
{
    EXPECT_DOUBLE_EQ(lateUtilization(now, now + Duration(1'000), now), 0.8);
    EXPECT_DOUBLE_EQ(lateUtilization(now, now + Duration(1'000), now + Duration(500)), 0.8);
    EXPECT_DOUBLE_EQ(lateUtilization(now, now + Duration(1'000), now + Duration(1'000)), 1);
}

RC_GTEST_PROP(RetryAfterRoom, StaysWithinAThirdOfTheTimeLeft, ())
{
    const Duration room(*rc::gen::inRange(0, 60'000));
    const Duration left(*rc::gen::inRange(0, 20'000));
    const Duration after = retryAfterRoom(room, left, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(after >= Duration(100));
    RC_ASSERT(after <= std::max(left / 3, Duration(100)));
}

TEST(RetryAfterRoom, IsSpread)
{
    std::set<Duration> different;
    for (std::uint64_t hash = 0; hash < 1'000; ++hash)
        different.insert(retryAfterRoom(Duration(600), Duration(6'000), hash));
    EXPECT_GE(different.size(), 200U);
    EXPECT_GE(*different.begin(), Duration(600));
}

TEST(RoutePrioritiesTest, OnlyDifferentPrioritiesOfRoutesToEnginesCount)
{
    // Guards against late requests that take room from others where nobody asked for an order.
    ServingConfiguration configuration;
    ServedService engines;
    engines.name = ServiceId("engines");
    engines.engine.emplace();
    configuration.services[engines.name] = engines;
    configuration.services[ServiceId("till")].name = ServiceId("till");
    const auto addRoute = [&](const char *service, int priority) {
        RouteSpec route;
        route.priority = priority;
        route.services = {{ServiceId(service), 1}};
        configuration.routes.push_back(route);
    };
    addRoute("engines", 1);
    addRoute("engines", 1);
    addRoute("till", 2);
    addRoute("till", 3);
    configuration.organisations = {{OrganisationId("chain"), 0}};
    EXPECT_FALSE(haveRoutePriorities(configuration));
    addRoute("engines", 0);
    EXPECT_TRUE(haveRoutePriorities(configuration));
}

} // namespace

} // namespace bramleypitch
