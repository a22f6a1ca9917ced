// Tests of nodes that reach no server: when a node finds that out, and how its callers are served.

#include "request/server_links.h"
#include "request_fixture.h"

#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace bramleypitch {

namespace {

const PeerNode firstPeer {NodeId("n2"), Address("127.0.0.2:1"), true};
const PeerNode secondPeer {NodeId("n3"), Address("127.0.0.3:1"), false};

class LinksTest : public RequestTest
{
protected:
    LinksTest()
    {
        for (int i = 1; i <= 6; ++i)
            m_backends.update(serverReport("s" + std::to_string(i)), m_now);
        m_system.setPeers({firstPeer, secondPeer});
    }

    /// Another node hears from servers.
    void hear(int servers)
    {
        std::map<VmId, Duration> heard;
        for (int i = 1; i <= servers; ++i)
            heard[VmId("s" + std::to_string(i))] = Duration(0);
        m_backends.mergeRecentProgress(heard, m_now);
    }

    void failLinks(int servers)
    {
        for (int i = 1; i <= servers; ++i)
            m_system.onLinkFailed(VmId("s" + std::to_string(i)), m_now);
    }

    /// This node loses its links, while others keep theirs.
    void cut()
    {
        failLinks(3);
        m_now += Duration(100);
        hear(6);
        pass(Duration(100));
    }

    void openConnection() { m_system.onLinkAnswered(m_now); }

    static DispatchAttempt attemptOf(const RequestActions &actions)
    {
        const std::vector<DispatchAttempt> attempts = actionsOf<DispatchAttempt>(actions);
        EXPECT_EQ(attempts.size(), 1U);
        return attempts.empty() ? DispatchAttempt() : attempts[0];
    }

    /// A request that another node passed on.
    RequestActions takeOver(const std::string &path, std::uint32_t attemptsLeft)
    {
        RequestArrival arrival = makeArrival(path);
        arrival.attemptsLeft = attemptsLeft;
        return sendArrival(arrival);
    }
};

TEST_F(LinksTest, SeveralServersThatOthersHearFromCutANodeOff)
{
    failLinks(3);
    pass(Duration(300));
    EXPECT_FALSE(m_system.isCut()); // They may have ended, as those of a rack do.
    hear(2);
    pass(Duration(100));
    EXPECT_FALSE(m_system.isCut());
    hear(3);
    EXPECT_EQ(actionsOf<LogDecision>(pass(Duration(100))).at(0).event, "servers_unreachable");
    EXPECT_TRUE(m_system.isCut());
}

TEST_F(LinksTest, OneServerCutsNoNodeOff)
{
    for (int i = 0; i < 20; ++i) {
        failLinks(1);
        m_now += Duration(50);
        hear(6);
        pass(Duration(50));
    }
    EXPECT_FALSE(m_system.isCut());
    EXPECT_FALSE(m_system.areLinksInDoubt());
}

TEST_F(LinksTest, SilenceAloneDivertsNothing)
{
    const DispatchAttempt attempt = attemptOf(sendRequest("/read/x"));
    m_system.onWriting(attempt.request, attempt.attempt, m_now);
    for (int i = 0; i < 10; ++i) {
        hear(6);
        EXPECT_TRUE(actionsOf<DispatchAttempt>(pass(Duration(100))).empty());
    }
    EXPECT_FALSE(m_system.isCut());
    EXPECT_EQ(m_system.takeLinkProbes(m_now).size(), 3U); // But it is looked into.
    EXPECT_TRUE(attemptOf(sendRequest("/read/x")).node.value().empty());
}

TEST_F(LinksTest, AnswersOnNewConnectionsAloneEndACut)
{
    m_now += Duration(100);
    const TimePoint before = m_now - Duration(100);
    cut();
    m_system.onLinkAnswered(before);
    pass(Duration(100));
    EXPECT_TRUE(m_system.isCut());
    openConnection();
    EXPECT_EQ(actionsOf<LogDecision>(pass(Duration(100))).at(0).event, "servers_reachable");
    EXPECT_TRUE(attemptOf(sendRequest("/read/x")).node.value().empty());
}

TEST_F(LinksTest, CutNodeProbesOneServerAtATime)
{
    cut();
    std::set<VmId> probed;
    for (int i = 0; i < 6; ++i) {
        const std::vector<VmId> probes = m_system.takeLinkProbes(m_now);
        ASSERT_EQ(probes.size(), 1U);
        EXPECT_TRUE(m_system.takeLinkProbes(m_now).empty());
        m_system.onLinkFailed(probes[0], m_now);
        probed.insert(probes[0]);
        m_now += Duration(200);
        hear(6);
    }
    EXPECT_EQ(probed.size(), 6U);
}

TEST_F(LinksTest, RequestsOfACutNodeAreForwardedWithTheirTimeAndAttempts)
{
    cut();
    const DispatchAttempt attempt = attemptOf(sendRequest("/read/x"));
    EXPECT_EQ(attempt.node, firstPeer.node); // That of the own zone.
    EXPECT_EQ(attempt.address, firstPeer.front);
    EXPECT_EQ(attempt.attemptsLeft, 2U);
    EXPECT_EQ(attempt.timeLeft, Duration(6'000));
    EXPECT_TRUE(m_system.mayStillSend(attempt.request, attempt.attempt, m_now));
    RequestActions actions;
    m_system.onResponse(attempt.request, attempt.attempt, 200, m_now, actions);
    EXPECT_EQ(actionsOf<DeliverResponse>(actions).size(), 1U);
    EXPECT_EQ(m_system.open(), 0U);
}

// Nodes kept sending to servers that had crashed, as no node told the others its suspicions.
TEST_F(LinksTest, CrashedServersBesideOthersThatAnswerCauseNoDoubt)
{
    failLinks(3);
    for (int i = 0; i < 10; ++i) {
        m_backends.onProgress(*m_backends.find(VmId("s6")), m_now);
        pass(Duration(100));
        EXPECT_FALSE(m_system.areLinksInDoubt());
    }
    DispatchAttempt attempt = attemptOf(sendRequest("/read/x"));
    for (int i = 0; i < 2; ++i)
        attempt = attemptOf(failAttempt(attempt, AttemptFailure::Unsent));
    EXPECT_TRUE(attempt.node.value().empty());
}

TEST_F(LinksTest, RequestThatReachedNoServerTwiceIsForwarded)
{
    failLinks(2);
    pass(Duration(500));
    EXPECT_TRUE(m_system.areLinksInDoubt());
    DispatchAttempt attempt = attemptOf(sendRequest("/read/x"));
    attempt = attemptOf(failAttempt(attempt, AttemptFailure::Unsent));
    EXPECT_TRUE(attempt.node.value().empty());
    attempt = attemptOf(failAttempt(attempt, AttemptFailure::Unsent));
    EXPECT_EQ(attempt.node, firstPeer.node);
}

TEST_F(LinksTest, PaymentThatAnotherNodeDidNotRunGoesToTheNext)
{
    cut();
    DispatchAttempt attempt = attemptOf(sendRequest("/pay/x"));
    EXPECT_TRUE(attempt.needsNewConnection);
    attempt = attemptOf(failAttempt(attempt, AttemptFailure::NotExecuted));
    EXPECT_EQ(attempt.node, secondPeer.node);
    openConnection();
    pass(Duration(100));
    attempt = attemptOf(failAttempt(attempt, AttemptFailure::Unsent));
    EXPECT_TRUE(attempt.node.value().empty()); // The links are back.
}

TEST_F(LinksTest, PaymentThatAnotherNodeMayHaveSentIsNotRepeated)
{
    cut();
    const DispatchAttempt attempt = attemptOf(sendRequest("/pay/x"));
    m_system.onWriting(attempt.request, attempt.attempt, m_now);
    const RequestActions actions = failAttempt(attempt, AttemptFailure::Broken);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(actions).empty());
    ASSERT_EQ(actionsOf<RefuseRequest>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<RefuseRequest>(actions)[0].run, RunOutcome::MayHaveRun);
}

TEST_F(LinksTest, FailureThatAnotherNodeDeliversIsFinal)
{
    cut();
    const DispatchAttempt attempt = attemptOf(sendRequest("/read/x"));
    RequestActions actions;
    m_system.onResponse(attempt.request, attempt.attempt, 500, m_now, actions);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(actions).empty());
    EXPECT_EQ(actionsOf<DeliverResponse>(actions).size(), 1U);
}

TEST_F(LinksTest, StreamOfACutNodeGoesOnAtAnotherOne)
{
    addGroup("g1");
    addGroup("g2");
    const DispatchAttempt attempt = startStream();
    EXPECT_TRUE(attempt.node.value().empty());
    cut();
    const DispatchAttempt next = attemptOf(failAttempt(attempt, AttemptFailure::Broken));
    EXPECT_EQ(next.node, firstPeer.node);
}

TEST_F(LinksTest, SilentStreamOfACutNodeIsKeptBesideTheOneAtAnotherNode)
{
    addGroup("g1");
    addGroup("g2");
    startStream();
    cut();
    const DispatchAttempt next = attemptOf(pass(Duration(800)));
    EXPECT_EQ(next.node, firstPeer.node);
    EXPECT_TRUE(next.keepsPrevious);
}

TEST_F(LinksTest, ForwardedRequestIsNotForwardedAgain)
{
    failLinks(2);
    pass(Duration(500));
    EXPECT_TRUE(m_system.areLinksInDoubt());
    DispatchAttempt attempt = attemptOf(takeOver("/read/x", 1));
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(attempt.node.value().empty());
        attempt = attemptOf(failAttempt(attempt, AttemptFailure::Unsent));
    }
    cut();
    const RequestActions actions = takeOver("/read/x", 1);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(actions).empty());
    ASSERT_EQ(actionsOf<RefuseRequest>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<RefuseRequest>(actions)[0].run, RunOutcome::NotRun);
}

TEST_F(LinksTest, ForwardedRequestHasTheAttemptsThatAreLeft)
{
    const DispatchAttempt last = attemptOf(takeOver("/read/x", 1));
    m_system.onWriting(last.request, last.attempt, m_now);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(failAttempt(last, AttemptFailure::Broken)).empty());
    const DispatchAttempt first = attemptOf(takeOver("/read/x", 2));
    m_system.onWriting(first.request, first.attempt, m_now);
    attemptOf(failAttempt(first, AttemptFailure::Broken));
}

TEST_F(LinksTest, CutNodeRefusesForwardedRequestsWhileItsServersAreFull)
{
    for (int i = 0; i < 48; ++i)
        sendRequest("/read/x");
    cut();
    const RequestActions actions = takeOver("/read/x", 1);
    ASSERT_EQ(actionsOf<RefuseRequest>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<RefuseRequest>(actions)[0].run, RunOutcome::NotRun);
}

TEST_F(LinksTest, PlacesForForwardedRequestsAreBounded)
{
    cut();
    std::map<NodeId, int> forwarded;
    for (int i = 0; i < 200; ++i) {
        for (const DispatchAttempt &attempt : actionsOf<DispatchAttempt>(sendRequest("/read/x")))
            ++forwarded[attempt.node];
    }
    EXPECT_EQ(forwarded[firstPeer.node], 64);
    EXPECT_EQ(forwarded[secondPeer.node], 64);
    openConnection();
    pass(Duration(100));
    int taken = 0;
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
        const RequestActions actions = takeOver("/read/x", 1);
        refused += static_cast<int>(actionsOf<RefuseRequest>(actions).size());
        ++taken;
    }
    EXPECT_GE(refused, taken - 256);
}

TEST_F(LinksTest, NothingIsForwardedThatIsSureToFail)
{
    cut();
    for (int i = 1; i <= 6; ++i)
        m_backends.erase(VmId("s" + std::to_string(i)));
    const RequestActions actions = sendRequest("/read/x");
    EXPECT_TRUE(actionsOf<DispatchAttempt>(actions).empty());
    EXPECT_EQ(actionsOf<RefuseRequest>(actions).size(), 1U);
}

/// Nodes with a request system each, whose links to the servers are cut and healed at random.
class CutFleet
{
public:
    CutFleet(unsigned seed, int nodes, int servers)
        : m_random(seed)
    {
        for (int i = 0; i < nodes; ++i)
            m_nodes.push_back(std::make_unique<Node>(NodeId("n" + std::to_string(i))));
        for (auto &node : m_nodes) {
            for (int i = 0; i < servers; ++i)
                node->backends.update(serverReport("s" + std::to_string(i)), m_now);
            node->system.setConfiguration(
                std::make_shared<ServingConfiguration>(validConfiguration()));
        }
    }

    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            m_now += Duration(25);
            if (pick(0, 79) == 0)
                changeLinks();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
        }
        // No further cuts: everything ends.
        for (auto &node : m_nodes)
            node->isCut = false;
        m_arrivalsEnded = true;
        for (const TimePoint end = m_now + Duration(8'000); m_now < end;) {
            m_now += Duration(25);
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
        }
    }

    void check() const
    {
        for (const auto &[request, state] : m_requests) {
            RC_ASSERT(state.finals == 1);
            RC_ASSERT(state.runs <= 1 || !state.isPayment);
            RC_ASSERT(!(state.isRefusedAsNotRun && state.runs > 0));
            RC_ASSERT(state.hops <= 5);
        }
        RC_ASSERT(3 * m_servedLate * m_sentOthers >= 2 * m_servedOthers * m_sentLate
                  || m_sentLate - m_servedLate <= 10 + m_sentLate / 50);
        for (const auto &node : m_nodes)
            RC_ASSERT(!node->system.isCut());
    }

private:
    struct State
    {
        bool isPayment = false;
        int runs = 0;
        int hops = 0;
        int finals = 0;
        bool isRefusedAsNotRun = false;
        bool isLate = false; ///< Sent to a node that has been cut off for long.
        bool isOther = false; ///< Sent to a node that reaches the servers.
    };

    struct Node
    {
        explicit Node(const NodeId &name)
            : system(options(name), backends)
        {
        }

        static RequestOptions options(const NodeId &name)
        {
            RequestOptions options;
            options.node = name;
            options.zone = ZoneId("za");
            options.retries.slack = 1'000;
            return options;
        }

        BackendTable backends;
        RequestSystem system;
        bool isCut = false;
        bool isSilent = false; ///< Connections hang while it is cut, rather than being reset.
        TimePoint cutAt;
        /// What happens later, by time.
        std::multimap<TimePoint, std::function<void()>> events;
    };

    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

    void changeLinks()
    {
        // One node keeps its links, so that all requests can be served.
        Node &node =
            *m_nodes[static_cast<std::size_t>(pick(1, static_cast<int>(m_nodes.size()) - 1))];
        node.isCut = !node.isCut;
        node.isSilent = pick(0, 1) == 0;
        node.cutAt = m_now;
    }

    void step(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node.system.setConfigurationProof(m_now);
        while (!node.events.empty() && node.events.begin()->first <= m_now) {
            const auto event = node.events.extract(node.events.begin());
            event.mapped()();
        }
        if (m_now >= m_exchangedAt + Duration(150)) {
            m_exchangedAt = m_now;
            exchange();
        }
        for (const VmId &server : node.system.takeLinkProbes(m_now))
            connect(index, server);
        if (!m_arrivalsEnded && pick(0, 3) == 0)
            arrive(index);
        RequestActions actions;
        node.system.tick(m_now, actions);
        perform(index, actions);
    }

    /// Nodes tell each other what they hear, and whether they are cut off.
    void exchange()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            std::vector<PeerNode> peers;
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                if (other == i)
                    continue;
                m_nodes[i]->backends.mergeRecentProgress(
                    m_nodes[other]->backends.recentProgress(m_now), m_now);
                if (!m_nodes[other]->system.isCut())
                    peers.push_back({NodeId("n" + std::to_string(other)), Address("a"), true});
            }
            m_nodes[i]->system.setPeers(peers);
        }
    }

    void connect(std::size_t index, const VmId &server)
    {
        Node &node = *m_nodes[index];
        const TimePoint openedAt = m_now;
        if (!node.isCut) {
            node.events.emplace(m_now + Duration(10),
                                [&node, openedAt] { node.system.onLinkAnswered(openedAt); });
            return;
        }
        node.events.emplace(m_now + Duration(node.isSilent ? 400 : 5),
                            [this, &node, server] { node.system.onLinkFailed(server, m_now); });
    }

    void arrive(std::size_t index)
    {
        Node &node = *m_nodes[index];
        State state;
        state.isPayment = pick(0, 1) == 0;
        state.isLate = node.isCut && m_now - node.cutAt > Duration(3'000);
        state.isOther = !node.isCut && m_now - node.cutAt > Duration(3'000);
        RequestArrival arrival;
        arrival.request = RequestId(++m_lastRequest);
        arrival.traceId = "t" + std::to_string(m_lastRequest);
        arrival.host = "shop.example";
        arrival.path = state.isPayment ? "/pay/x" : "/read/x";
        arrival.key = apiKey;
        m_requests[m_lastRequest] = state;
        m_sentLate += state.isLate ? 1 : 0;
        m_sentOthers += state.isOther ? 1 : 0;
        RequestActions actions;
        node.system.onRequestArrived(arrival, m_now, actions);
        perform(index, actions);
    }

    /// What a request that a node took over stands for.
    struct Origin
    {
        std::size_t node = 0;
        DispatchAttempt attempt;
    };

    void perform(std::size_t index, const RequestActions &actions)
    {
        for (const DispatchAttempt &attempt : actionsOf<DispatchAttempt>(actions)) {
            if (attempt.node.value().empty())
                sendToServer(index, attempt);
            else
                sendToNode(index, attempt);
        }
        for (const DeliverResponse &deliver : actionsOf<DeliverResponse>(actions))
            end(index, deliver.request, true, RunOutcome::MayHaveRun);
        for (const RefuseRequest &refuse : actionsOf<RefuseRequest>(actions))
            end(index, refuse.request, false, refuse.run);
    }

    /// The number of the caller's request behind a request of a node.
    std::uint64_t callersRequest(RequestId request) const
    {
        const auto origin = m_origins.find(request.value());
        return origin == m_origins.end() ? request.value()
                                         : callersRequest(origin->second.attempt.request);
    }

    void sendToServer(std::size_t index, const DispatchAttempt &attempt)
    {
        Node &node = *m_nodes[index];
        const auto fail = [this, index, attempt](AttemptFailure failure) {
            RequestActions actions;
            m_nodes[index]->system.onAttemptFailed(attempt.request, attempt.attempt, failure,
                                                   VmId(), m_now, actions);
            perform(index, actions);
        };
        if (node.isCut) {
            node.events.emplace(m_now + Duration(node.isSilent ? 400 : 5),
                                [this, &node, attempt, fail] {
                                    node.system.onLinkFailed(attempt.server, m_now);
                                    fail(AttemptFailure::Unsent);
                                });
            return;
        }
        node.system.onWriting(attempt.request, attempt.attempt, m_now);
        ++m_requests.at(callersRequest(attempt.request)).runs;
        const TimePoint sentAt = m_now;
        node.events.emplace(m_now + Duration(pick(10, 120)), [this, index, attempt, fail, sentAt] {
            Node &sender = *m_nodes[index];
            if (sender.isCut && sender.cutAt >= sentAt) {
                fail(AttemptFailure::Broken);
                return;
            }
            sender.system.onLinkAnswered(sentAt);
            RequestActions answered;
            sender.system.onResponse(attempt.request, attempt.attempt, 200, m_now, answered);
            perform(index, answered);
        });
    }

    void sendToNode(std::size_t index, const DispatchAttempt &attempt)
    {
        m_nodes[index]->system.onWriting(attempt.request, attempt.attempt, m_now);
        ++m_requests.at(callersRequest(attempt.request)).hops;
        const auto peer = static_cast<std::size_t>(std::stoi(attempt.node.value().substr(1)));
        RequestArrival arrival;
        arrival.request = RequestId(++m_lastRequest);
        m_origins[m_lastRequest] = {index, attempt};
        arrival.traceId = "t" + std::to_string(callersRequest(attempt.request));
        arrival.host = "shop.example";
        arrival.path =
            m_requests.at(callersRequest(attempt.request)).isPayment ? "/pay/x" : "/read/x";
        arrival.key = apiKey;
        arrival.timeLimit = attempt.timeLeft;
        arrival.attemptsLeft = attempt.attemptsLeft;
        m_nodes[peer]->events.emplace(m_now + Duration(2), [this, peer, arrival] {
            RequestActions actions;
            m_nodes[peer]->system.onRequestArrived(arrival, m_now, actions);
            perform(peer, actions);
        });
    }

    void end(std::size_t index, RequestId request, bool isServed, RunOutcome run)
    {
        const auto origin = m_origins.find(request.value());
        if (origin == m_origins.end()) {
            State &state = m_requests.at(request.value());
            ++state.finals;
            state.isRefusedAsNotRun = !isServed && run == RunOutcome::NotRun;
            m_servedLate += isServed && state.isLate ? 1 : 0;
            m_servedOthers += isServed && state.isOther ? 1 : 0;
            return;
        }
        static_cast<void>(index);
        const Origin &from = origin->second;
        m_nodes[from.node]->events.emplace(m_now + Duration(2), [this, from, isServed, run] {
            RequestSystem &system = m_nodes[from.node]->system;
            RequestActions actions;
            if (isServed)
                system.onResponse(from.attempt.request, from.attempt.attempt, 200, m_now, actions);
            else if (run == RunOutcome::NotRun)
                system.onAttemptFailed(from.attempt.request, from.attempt.attempt,
                                       AttemptFailure::NotExecuted, VmId(), m_now, actions);
            else
                system.onResponse(from.attempt.request, from.attempt.attempt, 502, m_now, actions);
            perform(from.node, actions);
        });
    }

    std::mt19937 m_random;
    TimePoint m_now = timePoint(1'000'000);
    TimePoint m_exchangedAt;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, State> m_requests; ///< Of callers.
    std::map<std::uint64_t, Origin> m_origins; ///< Of requests that nodes took over.
    std::uint64_t m_lastRequest = 0;
    bool m_arrivalsEnded = false;
    int m_sentLate = 0;
    int m_servedLate = 0;
    int m_sentOthers = 0;
    int m_servedOthers = 0;
};

RC_GTEST_PROP(CutNodes, CallersAreServedOnceWhileOneNodeReachesTheServers, ())
{
    const unsigned seed = *rc::gen::inRange(1U, 1'000'000U);
    const int nodes = *rc::gen::inRange(2, 7);
    const int servers = *rc::gen::inRange(3, 13);
    RC_LOG() << "seed " << seed << ", nodes " << nodes << ", servers " << servers;
    CutFleet fleet(seed, nodes, servers);
    fleet.run(Duration(20'000));
    fleet.check();
}

} // namespace

} // namespace bramleypitch
