// Tests of duties that pass on to other nodes while the store turns their owners away.

#include "network/store_write_monitor.h"
#include "request/membership_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bramleypitch {

namespace {

constexpr TimePoint start = TimePoint(Duration(1'000'000));

TEST(StoreWriteMonitorTest, RefusedWritesAreNoticedWithinASecond)
{
    // Guards against owners that plan repairs for seconds which nobody writes.
    StoreWriteMonitor monitor;
    monitor.onAccepted(start);
    EXPECT_FALSE(monitor.mustCheck(start + Duration(5'000)));
    TimePoint now = start + Duration(5'000);
    monitor.onSent(now);
    monitor.onFailed(now);
    EXPECT_FALSE(monitor.isRefused()); // One answer may be lost.
    now += Duration(250);
    ASSERT_TRUE(monitor.mustCheck(now));
    monitor.onFailed(now);
    EXPECT_TRUE(monitor.isRefused());
}

TEST(StoreWriteMonitorTest, SilentStoreIsCheckedBeforeTheCallTimesOut)
{
    StoreWriteMonitor monitor;
    monitor.onSent(start);
    EXPECT_FALSE(monitor.mustCheck(start + Duration(300)));
    EXPECT_TRUE(monitor.mustCheck(start + Duration(400)));
}

TEST(StoreWriteMonitorTest, NodesThatAreTurnedAwayAskLessOften)
{
    StoreWriteMonitor monitor;
    int checks = 0;
    for (TimePoint now = start; now < start + Duration(20'000); now += Duration(50)) {
        if (now == start || monitor.mustCheck(now)) {
            monitor.onFailed(now);
            ++checks;
        }
    }
    EXPECT_GE(checks, 20); // At least one a second.
    EXPECT_LE(checks, 24);
}

TEST(StoreWriteMonitorTest, NodeReturnsToDutyWithoutFlapping)
{
    StoreWriteMonitor monitor;
    TimePoint now = start;
    monitor.onFailed(now);
    monitor.onFailed(now);
    ASSERT_TRUE(monitor.isRefused());
    // Every other call is accepted.
    for (int i = 0; i < 40; ++i) {
        now += Duration(250);
        ASSERT_TRUE(monitor.mustCheck(now));
        i % 2 == 0 ? monitor.onAccepted(now) : monitor.onFailed(now);
        EXPECT_TRUE(monitor.isRefused());
    }
    for (int i = 0; i < 5; ++i) {
        now += Duration(250);
        monitor.onAccepted(now);
    }
    EXPECT_FALSE(monitor.isRefused());
    EXPECT_FALSE(monitor.mustCheck(now + Duration(5'000)));
}

MembershipRecord recordOf(const std::string &node, const std::string &zone)
{
    return {NodeId(node), ZoneId(zone), Address("127.0.0.1:1"), Address("127.0.0.1:2"), 0.5};
}

/// Three nodes, one of them in another zone, as seen by the first.
class DutyTest : public testing::Test
{
protected:
    DutyTest()
        : m_membership({recordOf("n1", "za"), start})
    {
        m_membership.setRecord(recordOf("n2", "za"), start);
        m_membership.setRecord(recordOf("n3", "zb"), start);
        hear({}, {});
    }

    void hear(const std::set<NodeId> &refused, const std::set<NodeId> &cut)
    {
        m_now += Duration(100);
        ++m_number;
        Pulse pulse;
        pulse.node = NodeId("n2");
        pulse.number = m_number;
        pulse.writeRefused = refused.count(pulse.node) > 0;
        pulse.cut = cut.count(pulse.node) > 0;
        m_membership.onPulse(pulse, m_now);
        ZoneDigest digest;
        digest.zone = ZoneId("zb");
        digest.node = NodeId("n3");
        digest.number = m_number;
        digest.taking = {{NodeId("n3"), true}};
        digest.writeRefused = refused;
        digest.cut = cut;
        m_membership.onDigest(digest, m_now);
        m_membership.setWriteRefused(refused.count(NodeId("n1")) > 0);
    }

    std::vector<NodeId> duty() const { return m_membership.dutyNodes(m_now); }

    TimePoint m_now = start;
    std::int64_t m_number = 0;
    MembershipTable m_membership;
};

TEST_F(DutyTest, NodesWhoseWritesAreRefusedHaveNoDuties)
{
    const NodeId n1("n1");
    const NodeId n2("n2");
    const NodeId n3("n3");
    EXPECT_EQ(duty(), (std::vector {n1, n2, n3}));
    hear({n2}, {});
    EXPECT_EQ(duty(), (std::vector {n1, n3}));
    hear({n1, n3}, {});
    EXPECT_EQ(duty(), std::vector {n2});
    // Somebody has to take up the duties once the store is back.
    hear({n1, n2, n3}, {});
    EXPECT_EQ(duty(), (std::vector {n1, n2, n3}));
    // A node without links to servers cannot send orders, which is worse.
    hear({n1, n3}, {n2});
    EXPECT_EQ(duty(), (std::vector {n1, n3}));
}

TEST_F(DutyTest, DigestsTellWhoseWritesAreRefused)
{
    hear({NodeId("n2")}, {});
    Pulse own;
    own.node = NodeId("n1");
    own.writeRefused = true;
    const ZoneDigest digest = m_membership.digest(own, m_now);
    EXPECT_EQ(digest.writeRefused, (std::set {NodeId("n1"), NodeId("n2")}));
}

} // namespace

} // namespace bramleypitch
