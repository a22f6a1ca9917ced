// Tests that replay the start of all nodes at once, before engines with published figures.

#include "request/engine_model.h"
#include "request/membership_base.h"
#include "request/request_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace bramleypitch {

namespace {

constexpr Duration step {5};
constexpr double eventsPerStream = 23;

/// What is replayed: nodes that share the groups of one model.
struct Scenario
{
    int nodes = 81;
    int zones = 3;
    int groups = 18;
    double promptTokens = 714;
    double pace = 0.6;
    Duration targetLatency {250};
    double perSecond = 347; ///< New requests.
    Duration lostTime {1'500}; ///< The requests of this time return after the start.
    Duration returnTime {1'000}; ///< They return within this time.
    Duration startSpread {200}; ///< The nodes start within this time.
    bool hasPhase = true; ///< Without it, the nodes decide as those without a start phase.
    std::uint32_t seed = 1;
};

struct Outcome
{
    int arrived = 0; ///< New requests, without those that return.
    int onTime = 0;
    int all = 0; ///< New requests, and those that return.
    int refused = 0; ///< For good: at the second attempt, or without another.
    double peakLoad = 0; ///< Most requests on one group, as a share of its slots.
    double meanUse = 0; ///< Mean share of the slots in use in the first two seconds.
    double meanQueued = 0; ///< Mean number of requests that wait at a group in that time.
    int started = 0; ///< Requests that got a first event.
    int held = 0; ///< New requests that were refused after a wait of more than the target.

    double onTimeShare() const { return static_cast<double>(onTime) / arrived; }
    double refusedShare() const { return static_cast<double>(refused) / all; }
};

class Replay
{
public:
    explicit Replay(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_groups(static_cast<std::size_t>(scenario.groups))
    {
        ServingConfiguration configuration;
        configuration.version = 1;
        RouteSpec route;
        route.name = RouteId("r");
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = RequestKind::ResumableStream;
        route.timeout = Duration(6'000);
        route.targetLatency = scenario.targetLatency;
        route.services = {{ServiceId("engines"), 1}};
        route.keyless = true;
        route.maxAttempts = 2;
        configuration.routes = {route};
        ServedService engines;
        engines.name = ServiceId("engines");
        engines.engine.emplace();
        EngineSpec &engine = *engines.engine;
        engine.slots = 34;
        engine.stride = 5;
        engine.stepMs = 6.07;
        engine.perSequenceMs = 0.241;
        engine.promptTokensPerMs = 46;
        engine.typicalPromptTokens = scenario.promptTokens;
        engine.typicalCompletionTokens = eventsPerStream * engine.stride;
        ServedModel model;
        model.name = ModelId("m");
        model.pace = scenario.pace;
        engine.models = {model};
        configuration.services[engines.name] = engines;
        m_configuration = std::make_shared<ServingConfiguration>(configuration);
        for (int i = 0; i < scenario.nodes; ++i) {
            Node &node = m_nodes.emplace_back();
            node.index = i;
            node.zone = i % m_scenario.zones;
            node.startsAt = m_now
                + Duration(static_cast<Duration::rep>(
                    m_random() % static_cast<std::uint64_t>(scenario.startSpread.count() + 1)));
        }
    }

    ServingConfigurationPtr configuration() const { return m_configuration; }

    Outcome run(Duration duration)
    {
        const TimePoint start = m_now;
        const double stepSeconds = static_cast<double>(step.count()) / 1'000;
        const double lost =
            m_scenario.perSecond * static_cast<double>(m_scenario.lostTime.count()) / 1'000;
        double uses = 0;
        double queued = 0;
        int samples = 0;
        for (; m_now < start + duration + Duration(3'000); m_now += step) {
            for (Node &node : m_nodes) {
                if (!node.requests && m_now >= node.startsAt)
                    startNode(node);
            }
            if (m_now < start + duration) {
                std::poisson_distribution<int> arrivals(m_scenario.perSecond * stepSeconds);
                for (int i = arrivals(m_random); i > 0; --i)
                    arrive(true, std::nullopt);
            }
            if (m_now < start + m_scenario.returnTime) {
                std::poisson_distribution<int> returns(
                    lost * static_cast<double>(step.count())
                    / static_cast<double>(m_scenario.returnTime.count()));
                for (int i = returns(m_random); i > 0; --i)
                    arrive(false, std::nullopt);
            }
            while (!m_retries.empty() && m_retries.begin()->first <= m_now) {
                const Caller caller = m_retries.begin()->second;
                m_retries.erase(m_retries.begin());
                arrive(caller.isNew, caller);
            }
            runGroups();
            for (Node &node : m_nodes) {
                if (!node.requests || (milliseconds(m_now) / step.count() + node.index) % 5 != 0)
                    continue;
                tickNode(node);
            }
            sendDigests();
            if (m_now < start + Duration(2'000)) {
                for (const Group &group : m_groups) {
                    queued += static_cast<double>(group.queued.size());
                    uses += std::min(1.0, static_cast<double>(group.load()) / engine().slots);
                }
                samples += m_scenario.groups;
            }
            for (const Group &group : m_groups)
                m_outcome.peakLoad = std::max(m_outcome.peakLoad,
                                              static_cast<double>(group.load()) / engine().slots);
        }
        m_outcome.meanUse = uses / samples;
        m_outcome.meanQueued = queued / samples;
        return m_outcome;
    }

private:
    struct Node
    {
        int index = 0;
        int zone = 0;
        TimePoint startsAt;
        std::unique_ptr<BackendTable> backends;
        std::unique_ptr<RequestSystem> requests;
        TimePoint pulseAt;
        std::set<int> heard;
        std::set<int> zonesHeard;
        std::map<int, TimePoint> relayedAt;
        std::map<int, RunningCounts> zonePulses; ///< The last of each node of its zone.
    };
    struct Caller
    {
        bool isNew = true;
        bool isRetry = false;
        TimePoint firstAt;
    };
    struct Stream
    {
        int node = 0;
        RequestId request;
        AttemptNumber attempt;
        int events = 0;
    };
    struct Group
    {
        std::deque<Stream> queued;
        std::vector<Stream> running;
        TimePoint passEnds;
        bool inPass = false;
        std::size_t load() const { return queued.size() + running.size(); }
    };

    const EngineSpec &engine() const { return *m_configuration->engineOf(ServiceId("engines")); }
    static NodeId nodeId(int index) { return NodeId("n" + std::to_string(index)); }
    static ZoneId zoneId(int index) { return ZoneId("z" + std::to_string(index)); }

    void startNode(Node &node)
    {
        RequestOptions options;
        // The start phase is for nodes that refuse late requests.
        options.lateRequests = LateRequests::Refuse;
        options.node = nodeId(node.index);
        options.zone = zoneId(node.zone);
        node.backends = std::make_unique<BackendTable>();
        node.requests = std::make_unique<RequestSystem>(options, *node.backends);
        node.requests->setConfiguration(m_configuration);
        node.requests->setNodes(
            {static_cast<std::uint32_t>(m_scenario.nodes), static_cast<std::uint32_t>(node.index)});
        for (int group = 0; group < m_scenario.groups; ++group) {
            BackendReport report;
            report.id = VmId("s" + std::to_string(group));
            report.service = ServiceId("engines");
            report.address = Address("127.0.0.1:1");
            report.zone = zoneId(group % m_scenario.zones);
            report.model = ModelId("m");
            report.group = {GroupId("g" + std::to_string(group)), Generation(1), 0,
                            MemberState::Open};
            node.backends->update(report, m_now);
        }
        if (m_scenario.hasPhase)
            node.requests->startPhase().begin(m_now);
        updatePeers(node);
    }

    void updatePeers(Node &node)
    {
        StartPeers peers;
        const Duration since = m_now - node.startsAt;
        for (const Node &other : m_nodes) {
            const bool isOwnZone = other.zone == node.zone;
            const bool mayBe = since < (isOwnZone ? Duration(500) : Duration(1'500));
            if (other.index != node.index && (node.heard.count(other.index) || mayBe))
                ++(isOwnZone ? peers.ownZone : peers.otherZones);
        }
        node.requests->startPhase().setPeers(peers);
    }

    void tickNode(Node &node)
    {
        updatePeers(node);
        node.requests->setConfigurationProof(m_now);
        RequestActions actions;
        node.requests->tick(m_now, actions);
        perform(node, actions);
        const int zoneSize = (m_scenario.nodes + m_scenario.zones - 1) / m_scenario.zones;
        const Duration interval = std::clamp(Duration(6) * zoneSize, Duration(150), Duration(400));
        if (m_now - node.pulseAt < interval)
            return;
        node.pulseAt = m_now;
        const RunningCounts counts = node.backends->ownRunning();
        node.zonePulses[node.index] = counts;
        for (Node &other : m_nodes) {
            if (other.index == node.index || other.zone != node.zone || !other.requests)
                continue;
            other.backends->setPeerRunning(nodeId(node.index), counts);
            other.zonePulses[node.index] = counts;
            other.heard.insert(node.index);
        }
    }

    void sendDigests()
    {
        if (milliseconds(m_now) % 150 != 0)
            return;
        const int zoneSize = (m_scenario.nodes + m_scenario.zones - 1) / m_scenario.zones;
        for (int zone = 0; zone < m_scenario.zones && zone < m_scenario.nodes; ++zone) {
            const Node &author = m_nodes[static_cast<std::size_t>(zone)];
            if (!author.requests)
                continue;
            RunningCounts sum;
            for (const auto &[index, counts] : author.zonePulses) {
                for (const auto &[id, count] : counts)
                    sum[id] += count;
            }
            for (Node &other : m_nodes) {
                if (other.zone == zone || !other.requests
                    || m_now - other.relayedAt[zone] < Duration(15) * zoneSize)
                    continue;
                other.relayedAt[zone] = m_now;
                other.backends->setPeerRunning(NodeId("zone/" + std::to_string(zone)), sum);
                other.zonesHeard.insert(zone);
                for (const auto &[index, counts] : author.zonePulses)
                    other.heard.insert(index);
            }
        }
    }

    void arrive(bool isNew, std::optional<Caller> retried)
    {
        std::vector<Node *> up;
        for (Node &node : m_nodes) {
            if (node.requests)
                up.push_back(&node);
        }
        if (up.empty())
            return;
        Node &node = *up[m_random() % up.size()];
        RequestArrival arrival;
        arrival.request = RequestId(++m_lastRequest);
        arrival.traceId = "t" + std::to_string(m_lastRequest);
        arrival.host = "h";
        arrival.path = "/x";
        arrival.model = ModelId("m");
        arrival.promptTokens = m_scenario.promptTokens;
        arrival.completionTokens = eventsPerStream * engine().stride;
        Caller caller = retried.value_or(Caller {isNew, false, m_now});
        m_callers[arrival.request] = caller;
        if (!caller.isRetry) {
            ++m_outcome.all;
            m_outcome.arrived += isNew ? 1 : 0;
        }
        RequestActions actions;
        node.requests->onRequestArrived(arrival, m_now, actions);
        perform(node, actions);
    }

    void perform(Node &node, const RequestActions &actions)
    {
        for (const RequestAction &action : actions) {
            if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
                const int group = std::stoi(dispatch->server.value().substr(1));
                m_groups[static_cast<std::size_t>(group)].queued.push_back(
                    {node.index, dispatch->request, dispatch->attempt});
            } else if (const auto *abandon = std::get_if<AbandonAttempt>(&action)) {
                for (Group &group : m_groups) {
                    const auto is = [&](const Stream &stream) {
                        return stream.request == abandon->request
                            && stream.attempt == abandon->attempt;
                    };
                    std::erase_if(group.queued, is);
                    std::erase_if(group.running, is);
                }
            } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
                Caller caller = m_callers.at(refusal->request);
                if (caller.isNew && !caller.isRetry
                    && m_now - caller.firstAt > m_scenario.targetLatency)
                    ++m_outcome.held;
                if (caller.isRetry || !refusal->retryAfter) {
                    ++m_outcome.refused;
                } else {
                    caller.isRetry = true;
                    m_retries.emplace(m_now + *refusal->retryAfter, caller);
                }
            }
        }
    }

    void runGroups()
    {
        for (Group &group : m_groups) {
            while (true) {
                if (group.inPass) {
                    if (group.passEnds > m_now)
                        break;
                    group.inPass = false;
                    endPass(group);
                }
                double prefill = 0;
                while (!group.queued.empty() && group.running.size() < engine().slots) {
                    group.running.push_back(group.queued.front());
                    group.queued.pop_front();
                    prefill +=
                        prefillMs(engine(), engine().models.front(), m_scenario.promptTokens);
                }
                if (group.running.empty())
                    break;
                const double pass = prefill
                    + passMs(engine(), engine().models.front(),
                             static_cast<double>(group.running.size()));
                group.passEnds = std::max(group.passEnds, m_now - step)
                    + Duration(static_cast<Duration::rep>(pass));
                group.inPass = true;
            }
        }
    }

    void endPass(Group &group)
    {
        std::vector<Stream> ended;
        for (Stream &stream : group.running) {
            RequestSystem &requests = *m_nodes[static_cast<std::size_t>(stream.node)].requests;
            const Caller &caller = m_callers.at(stream.request);
            // A stream that was resumed on another group starts only once.
            if (++stream.events == 1 && m_started.insert(stream.request).second) {
                requests.onStreamStarted(stream.request, stream.attempt, m_now);
                const Duration latency = m_now - caller.firstAt;
                ++m_outcome.started;
                if (caller.isNew && latency <= m_scenario.targetLatency)
                    ++m_outcome.onTime;
            }
            requests.onEventForwarded(stream.request, stream.attempt, m_now);
            if (stream.events >= static_cast<int>(eventsPerStream))
                ended.push_back(stream);
        }
        std::erase_if(group.running, [](const Stream &stream) {
            return stream.events >= static_cast<int>(eventsPerStream);
        });
        for (const Stream &stream : ended) {
            Node &node = m_nodes[static_cast<std::size_t>(stream.node)];
            RequestActions actions;
            node.requests->onStreamEnded(stream.request, stream.attempt, m_now, actions);
            perform(node, actions);
        }
    }

    Scenario m_scenario;
    std::mt19937 m_random;
    TimePoint m_now = timePoint(1'000'500);
    ServingConfigurationPtr m_configuration;
    std::vector<Node> m_nodes;
    std::vector<Group> m_groups;
    std::multimap<TimePoint, Caller> m_retries;
    std::unordered_map<RequestId, Caller> m_callers;
    std::set<RequestId> m_started;
    std::uint64_t m_lastRequest = 0;
    Outcome m_outcome;
};

/// A model with long prompts and few groups, and its requests.
Scenario longPrompts(int nodes)
{
    Scenario scenario;
    scenario.nodes = nodes;
    scenario.groups = 9;
    scenario.perSecond = 70;
    scenario.promptTokens = 1'460;
    scenario.pace = 1;
    scenario.targetLatency = Duration(500);
    return scenario;
}

/// The sum of replays with several seeds.
Outcome replayed(Scenario scenario, bool hasPhase)
{
    scenario.hasPhase = hasPhase;
    Outcome sum;
    for (scenario.seed = 1; scenario.seed <= 5; ++scenario.seed) {
        const Outcome outcome = Replay(scenario).run(Duration(4'000));
        sum.arrived += outcome.arrived;
        sum.onTime += outcome.onTime;
        sum.all += outcome.all;
        sum.started += outcome.started;
        sum.refused += outcome.refused;
        sum.held += outcome.held;
        sum.meanUse += outcome.meanUse / 5;
        sum.meanQueued += outcome.meanQueued / 5;
        sum.peakLoad = std::max(sum.peakLoad, outcome.peakLoad);
    }
    std::printf("%d nodes, %d groups, %d ms lost, phase %d: on time %.3f, refused %.3f, held %.3f, "
                "queued %.2f, use %.2f, peak %.2f\n",
                scenario.nodes, scenario.groups, static_cast<int>(scenario.lostTime.count()),
                hasPhase, sum.onTimeShare(), sum.refusedShare(),
                static_cast<double>(sum.held) / sum.arrived, sum.meanQueued, sum.meanUse,
                sum.peakLoad);
    return sum;
}

class StartPhaseTest : public testing::TestWithParam<int>
{
};

TEST_P(StartPhaseTest, ReturningCallersDoNotQueueAtTheServers)
{
    // Guards against a failure seen after a restart of all nodes: each of them believed that the
    // servers were empty, so that requests queued at the servers for seconds. Half to three
    // quarters were late.
    Scenario scenario;
    scenario.nodes = GetParam();
    scenario.lostTime = Duration(3'000);
    const Outcome before = replayed(scenario, false);
    const Outcome after = replayed(scenario, true);
    EXPECT_GE(after.onTimeShare(), before.onTimeShare() + 0.12);
    EXPECT_LE(after.meanQueued, 0.75 * before.meanQueued);
    EXPECT_GE(after.meanUse, 0.9 * before.meanUse); // Not idle either.
    // Two thirds of the callers return in one second, to groups that serve another third of them.
    EXPECT_LE(after.refusedShare(), 0.25);
}

TEST_P(StartPhaseTest, RefusedAtOnceRatherThanLate)
{
    // Guards against a queue whose length nothing bounds until the first requests end: those in it
    // were refused only after their target.
    Scenario scenario;
    scenario.nodes = GetParam();
    scenario.lostTime = Duration(3'000);
    const Outcome before = replayed(scenario, false);
    const Outcome after = replayed(scenario, true);
    EXPECT_GE(before.held, 0.05 * before.arrived);
    EXPECT_LE(after.held, 0.02 * after.arrived);
}

TEST_P(StartPhaseTest, ShortLossKeepsMostRequestsOnTime)
{
    Scenario scenario;
    scenario.nodes = GetParam();
    const Outcome before = replayed(scenario, false);
    const Outcome after = replayed(scenario, true);
    EXPECT_GE(after.onTimeShare(), before.onTimeShare() + 0.02);
    EXPECT_LE(after.refusedShare(), 0.08);
}

TEST_P(StartPhaseTest, GroupsWithRoomAreUsed)
{
    // Guards against assumptions on the others from one or two own requests, which would keep
    // groups idle.
    const Outcome before = replayed(longPrompts(GetParam()), false);
    const Outcome after = replayed(longPrompts(GetParam()), true);
    EXPECT_GE(after.onTimeShare(), before.onTimeShare() - 0.06);
    EXPECT_LE(after.refusedShare(), 0.01);
    Scenario quiet;
    quiet.nodes = GetParam();
    quiet.lostTime = Duration(0);
    EXPECT_EQ(replayed(quiet, true).refused, 0);
}

INSTANTIATE_TEST_SUITE_P(Nodes, StartPhaseTest, testing::Values(12, 81));

RC_GTEST_PROP(StartPhasePropertyTest, EachRequestIsServedOrRefused, ())
{
    Scenario scenario;
    scenario.nodes = *rc::gen::inRange(2, 60);
    scenario.zones = *rc::gen::inRange(1, 5);
    scenario.groups = *rc::gen::inRange(1, 24);
    scenario.perSecond = 19.0 * scenario.groups;
    scenario.lostTime = Duration(*rc::gen::inRange(0, 2'000));
    scenario.startSpread = Duration(*rc::gen::inRange(0, 900));
    scenario.seed = *rc::gen::arbitrary<std::uint32_t>();
    scenario.hasPhase = false;
    const Outcome before = Replay(scenario).run(Duration(2'500));
    scenario.hasPhase = true;
    const Outcome after = Replay(scenario).run(Duration(2'500));
    RC_ASSERT(after.started + after.refused == after.all);
    RC_ASSERT(after.onTime >= 0.8 * before.onTime - 10);
    RC_ASSERT(after.meanQueued <= before.meanQueued + 1);
}

TEST(StartPhaseEndTest, NodeThatStartsAmongRunningOnesHasNoPhase)
{
    StartPhase phase;
    const TimePoint start = timePoint(1'000'000);
    phase.begin(start);
    EXPECT_FALSE(phase.isActive(start)); // There is no other node.
    phase.setPeers({26, 54});
    EXPECT_TRUE(phase.isActive(start));
    phase.onRunningPeer();
    EXPECT_FALSE(phase.isActive(start + Duration(1)));
    phase.begin(start + Duration(100));
    EXPECT_FALSE(phase.isActive(start + Duration(100)));
}

TEST(StartPhaseEndTest, PhaseEndsAndDoesNotReturn)
{
    StartPhase phase;
    const TimePoint start = timePoint(1'000'000);
    EXPECT_FALSE(phase.isActive(start));
    phase.begin(start);
    phase.setPeers({1, 0});
    EXPECT_TRUE(phase.isActive(start + Duration(1'999)));
    EXPECT_FALSE(phase.isActive(start + Duration(2'000)));
    phase.begin(start + Duration(60'000));
    EXPECT_FALSE(phase.isActive(start + Duration(60'000)));
}

TEST(StartPhaseEndTest, CountsAreFew)
{
    RecentGrowth growth;
    for (int i = 0; i < 10'000; ++i)
        growth.add(i, timePoint(1'000'000 + i));
    EXPECT_LE(growth.size(), 20U);
}

TEST(StartPeersTest, NodesThatAreNotHeardCountForAShortTime)
{
    // Guards against servers left idle for nodes that did not start again.
    const TimePoint start = timePoint(1'000'000);
    MembershipRecord own {NodeId("a1"), ZoneId("a"), Address("h:1"), Address("h:2")};
    MembershipTable table(MembershipOptions {own, start});
    table.setRecord({NodeId("a2"), ZoneId("a"), Address("h:3"), Address("h:4")}, start);
    table.setRecord({NodeId("a3"), ZoneId("a"), Address("h:5"), Address("h:6")}, start);
    table.setRecord({NodeId("b1"), ZoneId("b"), Address("h:7"), Address("h:8")}, start);
    table.setRecord({NodeId("b2"), ZoneId("b"), Address("h:9"), Address("h:10")}, start);
    StartPeers peers = table.startPeers(start, start + Duration(100));
    EXPECT_EQ(peers.ownZone, 2U);
    EXPECT_EQ(peers.otherZones, 2U);
    Pulse pulse;
    pulse.node = NodeId("a2");
    pulse.life = 1;
    pulse.number = 1;
    pulse.taking = true;
    table.onPulse(pulse, start + Duration(200));
    ZoneDigest digest;
    digest.zone = ZoneId("b");
    digest.node = NodeId("b1");
    digest.number = 1;
    digest.taking = {{NodeId("b1"), true}, {NodeId("b2"), false}};
    table.onDigest(digest, start + Duration(300));
    peers = table.startPeers(start, start + Duration(400));
    EXPECT_EQ(peers.ownZone, 2U);
    EXPECT_EQ(peers.otherZones, 1U);
    peers = table.startPeers(start, start + Duration(600));
    EXPECT_EQ(peers.ownZone, 1U);
    EXPECT_EQ(peers.otherZones, 1U);
}

TEST(GroupRateTest, AgreesWithTheFiguresOfTheDeployment)
{
    // 9 groups of m0 serve about 110 requests per second, 18 of m1 about 470.
    const ServingConfigurationPtr large = Replay(longPrompts(1)).configuration();
    const EngineSpec &engine = *large->engineOf(ServiceId("engines"));
    EXPECT_NEAR(9 * groupRate(engine, engine.models.front()), 110, 6);
    const ServingConfigurationPtr small = Replay(Scenario()).configuration();
    const EngineSpec &other = *small->engineOf(ServiceId("engines"));
    EXPECT_NEAR(18 * groupRate(other, other.models.front()), 470, 20);
    EXPECT_EQ(groupRate(EngineSpec(), ServedModel()), 0);
}

} // namespace

} // namespace bramleypitch
