// Golden files of whole sessions with the events and actions of the hardest case of each promise.
// Each test also asserts the essential lines itself, so that an updated golden file cannot hide an
// error.

#include "coordination/environment_func.h"
#include "session.h"

#include <gtest/gtest.h>

namespace bramleypitch::test {

namespace {

/// Returns the number of occurrences of a text in the text of a session.
std::size_t count(const Session &session, const std::string &text)
{
    std::size_t occurrences = 0;
    for (std::size_t position = session.text().find(text); position != std::string::npos;
         position = session.text().find(text, position + 1))
        ++occurrences;
    return occurrences;
}

AttemptNumber attempt(std::uint32_t number)
{
    return AttemptNumber(number);
}

const RequestId requestOne(1);
const RequestId requestTwo(2);

} // namespace

TEST(Golden, WholeSessionFromAnEmptyPlatform)
{
    Session session;
    session.startWithoutGroups();
    session.addNote(
        "every VM answers its first probe: the engines have no order, the service is ready");
    session.at(100, Tick {WallTime(1'100)});
    NodesRead nodes {session.lastOperation(), true, {}};
    nodes.nodes.push_back({NodeId("n0"), Incarnation(5), {}, {}, ZoneId("za")});
    session.at(105, nodes);
    for (const std::string vm : {"a1", "a2", "b1", "b2"}) {
        ProbeDone emptyProbe;
        emptyProbe.vm = VmId(vm);
        emptyProbe.ok = true;
        emptyProbe.sentAt = timePoint(100'104);
        session.at(106, emptyProbe);
    }
    session.confirm(106, "s1", "", 0, 0);
    session.addNote("a group is formed in each domain: its placement is written, its members are "
                    "ordered and confirm it");
    session.at(200, Tick {WallTime(1'200)});
    session.completeWrites(203);
    session.at(300, Tick {WallTime(1'300)});
    session.completeOrders(305);
    session.addNote("a completion is streamed");
    session.requestCompletion(310, 1, "p");
    for (std::uint32_t index = 0; index < 3; ++index)
        session.at(320 + index, EngineToken {requestOne, attempt(1), index, "t"});
    session.at(330, EngineEnd {requestOne, attempt(1), 3});
    session.addNote("a payment is claimed, executed once, and its outcome is recorded");
    session.requestPayment(340, 2, "pay-1", true);
    session.at(342, KeyRead {session.lastOperation(), true, Revision(0), {}});
    session.completeWrites(345);
    CallOutcome paid;
    paid.status = 200;
    paid.body = "paid";
    session.at(370, ServiceResponded {requestTwo, attempt(1), paid});
    session.completeWrites(375);
    session.addNote(
        "zone za is drained: its group and service VM receive no new requests; then it is "
        "restored");
    session.readShared(398, {Session::configuration(30, "[\"za\"]")});
    for (std::uint64_t request = 3; request <= 6; ++request)
        session.requestCompletion(400, request, "p" + std::to_string(request));
    session.at(420, Tick {WallTime(1'420)});
    session.readShared(422, {Session::configuration(31, "[]")});
    for (std::uint64_t request = 7; request <= 10; ++request)
        session.requestCompletion(430, request, "p" + std::to_string(request));
    expectGolden(session, "whole_session");
    EXPECT_EQ(count(session, "< log group_formed"), 3U);
    EXPECT_EQ(count(session, "< send_order a1 load group=da/1"), 1U);
    EXPECT_EQ(count(session, "< answer_end request=1 tokens=3"), 1U);
    EXPECT_EQ(count(session, "< dispatch_service"), 1U);
    EXPECT_EQ(count(session, "< answer_service request=2 status=200 body=paid"), 1U);
    const std::string &text = session.text();
    const std::size_t drained = text.find("zone_out za");
    const std::size_t restored = text.find("zone_in za");
    ASSERT_NE(drained, std::string::npos);
    ASSERT_NE(restored, std::string::npos);
    EXPECT_EQ(text.substr(drained, restored - drained).find("group=da/1 generation=1 resume"),
              std::string::npos);
}

TEST(Golden, PaymentIsNotSentWhenClaimReplyIsLost)
{
    Session session;
    session.startWithGroups();
    session.addNote("a payment arrives; the ledger segment of its claim is read and written");
    session.requestPayment(10, 1, "pay-1", true);
    session.at(12, KeyRead {session.lastOperation(), true, Revision(0), {}});
    session.addNote("the reply to the write is lost: nothing may be sent to the service");
    session.at(1'512, SwapDone {session.lastOperation(), SwapOutcome::Unknown, {}, {}});
    EXPECT_EQ(count(session, "< dispatch_service"), 0U);
    session.addNote("the same claim is requested again and turns out to be stored already");
    session.confirmAll(1'700);
    session.at(1'720, Tick {WallTime(2'720)});
    session.at(1'740, Tick {WallTime(2'740)});
    expectGolden(session, "payment_once");
    EXPECT_EQ(count(session, "< dispatch_service"), 0U);
    EXPECT_GE(count(session, "< read_key"), 2U);
}

TEST(Golden, RepeatedPaymentGetsTheRecordedOutcome)
{
    Session session;
    session.startWithGroups();
    session.requestPayment(10, 1, "pay-1", true);
    session.at(12, KeyRead {session.lastOperation(), true, Revision(0), {}});
    session.at(15, SwapDone {session.lastOperation(), SwapOutcome::Written, Revision(20), {}});
    session.addNote("the same payment arrives again while the first is in progress");
    session.requestPayment(16, 2, "pay-1", false);
    CallOutcome outcome;
    outcome.status = 200;
    outcome.body = "paid";
    session.at(20, ServiceResponded {requestOne, attempt(1), outcome});
    session.at(25, SwapDone {session.lastOperation(), SwapOutcome::Written, Revision(21), {}});
    session.addNote("and again after the first has ended");
    session.requestPayment(30, 3, "pay-1", false);
    expectGolden(session, "payment_repeated");
    EXPECT_EQ(count(session, "< dispatch_service"), 1U);
    EXPECT_EQ(count(session, "in_progress may_have_run"), 1U);
    EXPECT_EQ(count(session, "body=paid repeated=yes"), 1U);
}

TEST(Golden, AnotherNodeIsAskedWhenLedgerOwnerDoesNotAnswer)
{
    Session session;
    session.startWithGroups();
    Heartbeat heartbeat;
    for (const std::string name : {"n1", "n2"}) {
        MemberEntry entry;
        entry.node = NodeId(name);
        entry.counter = 1;
        entry.peerAddress = Address(name);
        heartbeat.members.push_back(entry);
    }
    session.at(20, HeartbeatReceived {heartbeat, timePoint(100'020), false});
    session.at(600, Tick {WallTime(1'600)});
    session.confirmAll(610);
    session.addNote("the owner of the key's segment is a peer that does not answer");
    session.requestPayment(620, 1, "pay-4", true);
    const std::size_t sendPosition = session.text().rfind("send_ledger");
    ASSERT_NE(sendPosition, std::string::npos);
    const std::string firstSend = session.text().substr(sendPosition, sizeof("send_ledger n1") - 1);
    session.at(640, LedgerReplied {session.lastOperation(), {LedgerAnswer::Unavailable, {}}});
    session.at(760, Tick {WallTime(1'760)});
    session.at(1'400, Tick {WallTime(2'400)});
    expectGolden(session, "ledger_owner_silent");
    EXPECT_EQ(count(session, firstSend), 1U);
    EXPECT_GE(count(session, "< send_ledger") + count(session, "< read_key"), 3U);
}

TEST(Golden, GroupWithMissingMemberReceivesNoRequests)
{
    Session session;
    session.startWithGroups();
    session.addNote("a failed probe reports the loss of a member of each group");
    ProbeDone failedProbe;
    failedProbe.vm = VmId("a2");
    failedProbe.sentAt = timePoint(100'100);
    session.at(110, failedProbe);
    failedProbe.vm = VmId("b2");
    session.at(111, failedProbe);
    session.requestCompletion(112, 1, "p");
    expectGolden(session, "group_member_missing");
    EXPECT_EQ(count(session, "< dispatch_engine"), 0U);
    EXPECT_EQ(count(session, "no_capacity not_run"), 1U);
}

TEST(Golden, PausedNodeChecksAgainBeforeItSends)
{
    Session session;
    session.startWithGroups();
    session.addNote("the node was paused for 1.6 s while the request waited in its socket");
    session.requestCompletion(1'610, 1, "p");
    expectGolden(session, "group_paused_node");
    EXPECT_EQ(count(session, "< dispatch_engine"), 0U);
}

TEST(Golden, OldGroupIsNotServedByVmsOfANewOne)
{
    Session session;
    session.startWithGroups();
    session.addNote("a1 and a2 confirm a group that this node does not know yet");
    session.confirm(20, "a1", "da/7", 7);
    session.confirm(20, "a2", "da/7", 7);
    for (std::uint64_t request = 1; request <= 4; ++request)
        session.requestCompletion(30, request, "p" + std::to_string(request));
    expectGolden(session, "group_generation");
    EXPECT_EQ(count(session, "< dispatch_engine"), 4U);
    EXPECT_EQ(count(session, "group=da/1 generation=1 resume"), 0U);
}

TEST(Golden, VmOfADissolvedGroupWaitsBeforeItIsUsedAgain)
{
    Session session;
    session.startWithGroups();
    NodesRead nodes {OperationId(), true, {}};
    nodes.nodes.push_back({NodeId("n0"), Incarnation(5), {}, {}, ZoneId("za")});
    session.at(30, nodes);
    session.addNote(
        "a2 does not answer; its group is dissolved after the loss timeout, not before");
    for (std::int64_t time = 500; time <= 4'000; time += 500) {
        session.confirm(time, "a1", "da/1", 1);
        session.confirm(time, "b1", "db/1", 1);
        session.confirm(time, "b2", "db/1", 1);
        session.confirm(time, "s1", "", 0);
        ProbeDone unansweredProbe;
        unansweredProbe.vm = VmId("a2");
        unansweredProbe.sentAt = timePoint(100'000 + time - 400);
        session.at(time, unansweredProbe);
        session.at(time,
                   LeaseRenewed {OperationId(), true, Incarnation(5), timePoint(100'000 + time),
                                 Duration(10'000)});
        session.at(time, Tick {WallTime(time)});
        session.readShared(time + 2, {});
    }
    expectGolden(session, "vm_released");
    EXPECT_EQ(count(session, "log group_dissolved"), 0U); // The write is not confirmed yet.
    EXPECT_EQ(count(session, "\"released\":[{"), 1U);
    EXPECT_EQ(count(session, "< send_order a1 load"), 0U);
}

TEST(Golden, ColdGroupAcceptsOnlyItsAllowanceFromItsHome)
{
    Session session;
    session.startWithGroups("[]", false);
    session.requestCompletion(10, 1, "p");
    session.requestCompletion(11, 2, "p");
    session.addNote(
        "each cold group accepts one request; the third waits and is refused at its deadline");
    session.requestCompletion(12, 3, "p");
    session.confirmAll(1'000);
    session.at(1'013, Tick {WallTime(2'013)});
    session.addNote("the home's lease has expired by its own clock: nothing more is dispatched");
    session.at(1'100, EngineToken {requestOne, attempt(1), 0, "t0"});
    session.at(1'101, CallerDisconnected {requestOne});
    session.at(1'102, CallerDisconnected {requestTwo});
    session.confirmAll(9'100);
    session.readShared(9'101, {});
    session.requestCompletion(9'102, 4, "p");
    expectGolden(session, "cold_home");
    EXPECT_EQ(count(session, "< dispatch_engine"), 2U);
}

TEST(Golden, ConfigurationNeverReverts)
{
    Session session;
    session.startWithGroups();
    session.addNote("zone zb is drained by revision 9; an older value arrives late from a peer");
    session.at(20, Tick {WallTime(1'020)});
    session.readShared(22, {Session::configuration(9, "[\"zb\"]")});
    SharedPulled olderValues;
    olderValues.values = {Session::configuration(7, "[]")};
    olderValues.newest = Revision(7);
    olderValues.known = true;
    olderValues.sentAt = timePoint(100'010);
    session.at(30, olderValues);
    for (std::uint64_t request = 1; request <= 4; ++request)
        session.requestCompletion(31, request, "p" + std::to_string(request));
    expectGolden(session, "configuration_order");
    EXPECT_EQ(count(session, "log configuration_in_force"), 2U);
    EXPECT_EQ(count(session, "< dispatch_engine request=1/1 a1"), 1U);
    EXPECT_EQ(count(session, "group=db/1 generation=1 resume"), 0U);
}

TEST(Golden, NodeWithoutProofOfItsConfigurationRefuses)
{
    Session session;
    session.startWithGroups();
    Heartbeat heartbeat;
    heartbeat.from = NodeId("n1");
    for (const std::string name : {"n1", "n2"}) {
        MemberEntry entry;
        entry.node = NodeId(name);
        entry.counter = 1;
        entry.peerAddress = Address("10.0.0.2:81");
        heartbeat.members.push_back(entry);
    }
    session.at(20, HeartbeatReceived {heartbeat, timePoint(100'020), false});
    session.addNote(
        "the node has lost the platform but still hears its peers, so it is an outage of "
        "the platform");
    session.confirmAll(3'000);
    for (MemberEntry &entry : heartbeat.members)
        entry.counter = 2;
    session.addNote(
        "a heartbeat proves nothing: it may have waited in the socket while this process "
        "was paused");
    session.at(3'005, HeartbeatReceived {heartbeat, timePoint(103'005), false});
    session.requestCompletion(3'006, 3, "o");
    session.addNote("a reply to the node's own heartbeat is proof");
    session.at(3'008, HeartbeatReceived {heartbeat, timePoint(103'007), true});
    session.requestCompletion(3'010, 1, "p");
    session.addNote(
        "a reply shows that the peer has a newer revision: the peer still reaches the platform");
    Heartbeat ahead = heartbeat;
    for (MemberEntry &entry : ahead.members)
        entry.counter = 3;
    ahead.known = true;
    ahead.newest = Revision(99);
    session.at(3'015, HeartbeatReceived {ahead, timePoint(103'014), true});
    session.requestCompletion(3'016, 4, "r");
    session.addNote("now the peers are silent too: this node alone may be cut off");
    session.confirmAll(6'100);
    session.requestCompletion(6'110, 2, "q");
    expectGolden(session, "configuration_stale");
    EXPECT_EQ(count(session, "< dispatch_engine request=1/1"), 1U);
    EXPECT_EQ(count(session, "refuse request=3 configuration_stale not_run"), 1U);
    EXPECT_EQ(count(session, "refuse request=4 configuration_stale not_run"), 1U);
    EXPECT_EQ(count(session, "refuse request=2 configuration_stale not_run"), 1U);
}

TEST(Golden, BrokenStreamIsResumedAndLateFramesAreDropped)
{
    Session session;
    session.startWithGroups();
    session.requestCompletion(10, 1, "p");
    session.at(20, EngineToken {requestOne, attempt(1), 0, "t0"});
    session.addNote("the stream breaks after one token; the other group resumes after that token");
    session.at(30, AttemptFailed {requestOne, attempt(1), true, false});
    session.addNote("frames of the first attempt arrive late, and one frame arrives twice");
    session.at(35, EngineToken {requestOne, attempt(1), 1, "late"});
    session.at(40, EngineToken {requestOne, attempt(2), 1, "t1"});
    session.at(41, EngineToken {requestOne, attempt(2), 1, "twice"});
    session.at(50, EngineToken {requestOne, attempt(2), 2, "t2"});
    session.at(55, EngineEnd {requestOne, attempt(1), 1});
    session.at(60, EngineEnd {requestOne, attempt(2), 3});
    expectGolden(session, "stream_resumed");
    EXPECT_EQ(count(session, "< answer_token"), 3U);
    EXPECT_EQ(count(session, "< answer_end request=1 tokens=3"), 1U);
    EXPECT_EQ(count(session, "resume_from=1"), 1U);
}

TEST(Golden, NotRunIsReportedOnlyIfNothingWasSent)
{
    Session session;
    session.startWithGroups();
    session.requestCompletion(10, 1, "p");
    session.addNote(
        "the first attempt breaks after sending; the second and third connections are refused");
    session.at(20, AttemptFailed {requestOne, attempt(1), true, false});
    session.at(30, AttemptFailed {requestOne, attempt(2), false, false});
    session.confirmAll(40);
    session.at(50, AttemptFailed {requestOne, attempt(3), false, false});
    session.addNote("no attempt of another request gets a connection");
    session.confirmAll(60);
    session.requestCompletion(70, 2, "p");
    session.at(71, AttemptFailed {requestTwo, attempt(1), false, false});
    session.at(72, AttemptFailed {requestTwo, attempt(2), false, false});
    session.confirmAll(80);
    session.at(90, AttemptFailed {requestTwo, attempt(3), false, false});
    expectGolden(session, "not_run");
    EXPECT_EQ(count(session, "refuse request=1 backend_failed may_have_run"), 1U);
    EXPECT_EQ(count(session, "refuse request=2 backend_failed not_run"), 1U);
}

TEST(Golden, LeavingServerReceivesNothingDespiteOlderVmList)
{
    Session session;
    session.startWithGroups();
    VmListRead list {OperationId(), true, {}};
    for (const std::string name : {"a1", "a2", "b1", "b2", "s1"}) {
        list.vms.push_back(session.node().state().vms.find(VmId(name))->record);
        list.vms.back().leaving = name == "b1";
    }
    session.at(20, list);
    session.addNote("an older list arrives after the newer one");
    for (VmRecord &vm : list.vms)
        vm.leaving = false;
    session.at(25, list);
    for (std::uint64_t request = 1; request <= 4; ++request)
        session.requestCompletion(30, request, "p" + std::to_string(request));
    expectGolden(session, "leaving_server");
    EXPECT_EQ(count(session, "< dispatch_engine"), 4U);
    EXPECT_EQ(count(session, "group=db/1 generation=1 resume"), 0U);
}

TEST(Golden, PlannedStopFinishesOpenRequestsAndRefusesNewOnes)
{
    Session session;
    session.startWithGroups();
    session.requestCompletion(10, 1, "p");
    session.at(20, StopRequested {});
    session.requestCompletion(21, 2, "q");
    for (std::uint32_t index = 0; index < 3; ++index)
        session.at(2'000 + index, EngineToken {requestOne, attempt(1), index, "t"});
    session.confirmAll(3'950);
    session.addNote("callers no longer hold the entry addresses, but one request is still open");
    session.at(4'000, Tick {WallTime(5'000)});
    EXPECT_EQ(count(session, "< stopped"), 0U);
    session.at(4'100, EngineEnd {requestOne, attempt(1), 3});
    session.at(4'120, Tick {WallTime(5'120)});
    expectGolden(session, "planned_stop");
    EXPECT_EQ(count(session, "< answer_end request=1"), 1U);
    EXPECT_EQ(count(session, "stopping not_run"), 1U);
    EXPECT_EQ(count(session, "< stopped"), 1U);
}

} // namespace bramleypitch::test
