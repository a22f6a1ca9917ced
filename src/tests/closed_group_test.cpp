// Tests of groups that their heads refuse to serve: one refusal takes a group out of service on all
// nodes, and no refusal does so for good.

#include "request/membership_base.h"
#include "request_fixture.h"

namespace bramleypitch {

namespace {

class ClosedGroupTest : public RequestTest
{
protected:
    /// Sends a request, whose server refuses it as it does not serve the group. Returns the server.
    VmId refuseOnce(RequestActions &actions)
    {
        const RequestActions sent = sendRequest("/ask/1");
        const auto attempts = actionsOf<DispatchAttempt>(sent);
        EXPECT_EQ(attempts.size(), 1U);
        m_system.onAttemptFailed(attempts.front().request, attempts.front().attempt,
                                 AttemptFailure::Misdirected, VmId(), m_now, actions);
        return attempts.front().server;
    }

    bool isServable(const VmId &server) const
    {
        return m_backends.isServable(*m_backends.find(server), validConfiguration());
    }
};

TEST_F(ClosedGroupTest, OneRefusalEndsRequestsToAGroup)
{
    // Guards against a failure seen in a deployment: nodes sent 410 requests to two heads that had
    // left their groups, and refused 370 of them though other groups were open.
    addGroup("a");
    addGroup("b");
    RequestActions actions;
    const VmId closed = refuseOnce(actions);
    const auto retried = actionsOf<DispatchAttempt>(actions);
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_NE(retried.front().server, closed);
    EXPECT_FALSE(isServable(closed));
    for (std::uint32_t i = 1; i < slots; ++i) {
        for (const DispatchAttempt &attempt : actionsOf<DispatchAttempt>(sendRequest("/ask/2")))
            EXPECT_NE(attempt.server, closed);
    }
    EXPECT_TRUE(m_system.takeNewEvidence());
    EXPECT_FALSE(m_system.takeNewEvidence());
}

TEST_F(ClosedGroupTest, RefusedRequestsUseNoAttempt)
{
    for (int i = 0; i < 7; ++i)
        addGroup("g" + std::to_string(i));
    const RequestActions sent = sendRequest("/ask/1");
    DispatchAttempt attempt = actionsOf<DispatchAttempt>(sent).front();
    for (int i = 0; i < 6; ++i) {
        RequestActions actions;
        m_system.onAttemptFailed(attempt.request, attempt.attempt, AttemptFailure::Misdirected,
                                 VmId(), m_now, actions);
        ASSERT_EQ(actionsOf<DispatchAttempt>(actions).size(), 1U) << i;
        attempt = actionsOf<DispatchAttempt>(actions).front();
    }
}

TEST_F(ClosedGroupTest, RefusalsReachOtherNodesByPulsesAndDigests)
{
    addGroup("a");
    addGroup("b");
    RequestActions actions;
    const VmId closed = refuseOnce(actions);
    m_now += Duration(100);
    Pulse pulse;
    pulse.node = NodeId("n1");
    pulse.closedGroups = m_backends.recentlyClosed(m_now);
    ASSERT_EQ(pulse.closedGroups.size(), 1U);
    EXPECT_EQ(pulse.closedGroups.at(closed).age, Duration(100));

    MembershipTable membership(
        {{NodeId("n1"), ZoneId("za"), Address("127.0.0.1:1"), Address("127.0.0.1:2")}, m_now});
    const ZoneDigest digest = membership.digest(pulse, m_now);
    BackendTable other;
    for (const char *name : {"a", "b"}) {
        other.update(memberReport(std::string(name) + "-head", name, 0), m_now);
        other.update(memberReport(std::string(name) + "-2", name, 1), m_now);
    }
    EXPECT_EQ(other.mergeClosedGroups(digest.closedGroups, m_now), std::vector {closed});
    EXPECT_FALSE(other.isServable(*other.find(closed), validConfiguration()));
    EXPECT_TRUE(other.mergeClosedGroups(digest.closedGroups, m_now).empty());
    // It passes on only what it was told by a server itself.
    EXPECT_TRUE(other.recentlyClosed(m_now).empty());
}

TEST_F(ClosedGroupTest, OlderReportsDoNotOpenAClosedGroup)
{
    addGroup("a");
    addGroup("b");
    RequestActions actions;
    const VmId closed = refuseOnce(actions);
    BackendReport report = m_backends.find(closed)->report;
    report.group.generation = Generation(0);
    m_backends.update(report, m_now); // An earlier group of the server, read again.
    report.group.generation = Generation(1);
    m_backends.update(report, m_now);
    EXPECT_FALSE(isServable(closed));
    m_now += Duration(2'500);
    ++report.number; // It may have been written before the refusal.
    m_backends.update(report, m_now);
    EXPECT_FALSE(isServable(closed));
    m_now += Duration(600);
    m_backends.update(report, m_now);
    EXPECT_TRUE(isServable(closed));
}

TEST_F(ClosedGroupTest, LaterGroupsAndRunsOfTheServerAreOpen)
{
    addGroup("a");
    addGroup("b");
    RequestActions actions;
    const VmId closed = refuseOnce(actions);
    const std::string group = m_backends.find(closed)->report.group.name.value();
    for (const std::uint32_t rank : {0U, 1U}) {
        BackendReport report = memberReport(group + (rank == 0 ? "-head" : "-2"), group, rank);
        report.group.generation = Generation(2);
        report.number = 1;
        m_backends.update(report, m_now);
    }
    EXPECT_TRUE(isServable(closed));
}

TEST_F(ClosedGroupTest, NoGroupIsClosedForGood)
{
    addGroup("a");
    addGroup("b");
    RequestActions actions;
    const VmId closed = refuseOnce(actions);
    tickAfter(Duration(3'900));
    EXPECT_FALSE(isServable(closed));
    tickAfter(Duration(200));
    EXPECT_TRUE(isServable(closed));
    EXPECT_EQ(m_backends.closedGroups(), 0U);
}

TEST_F(ClosedGroupTest, RequestsThatNameAVersionCloseNoGroup)
{
    // Guards against a caller that takes groups out of service for others.
    addGroup("a");
    addGroup("b");
    RequestArrival arrival = makeArrival("/ask/1");
    arrival.expectsVersion = true;
    RequestActions actions = sendArrival(arrival);
    const DispatchAttempt attempt = actionsOf<DispatchAttempt>(actions).front();
    m_system.onAttemptFailed(attempt.request, attempt.attempt, AttemptFailure::Misdirected, VmId(),
                             m_now, actions);
    EXPECT_TRUE(isServable(attempt.server));
}

} // namespace

} // namespace bramleypitch
