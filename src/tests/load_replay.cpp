#include "load_replay.h"

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr Duration step {5};
constexpr Duration tickInterval {25};
constexpr Duration pulseInterval {25};
constexpr Duration minPatience {2'000};
constexpr int patiencePerTarget = 4;
constexpr int patiencePerGap = 8;
constexpr int retryShare = 3;

NodeId nodeId(int index)
{
    return NodeId("n" + std::to_string(index));
}

} // namespace

EngineSpec LoadReplay::engine()
{
    EngineSpec spec;
    spec.slots = slots;
    spec.stride = 5;
    spec.stepMs = 6;
    spec.perSequenceMs = 0.24;
    spec.promptTokensPerMs = 46;
    spec.typicalPromptTokens = 700;
    spec.typicalCompletionTokens = 110;
    ServedModel model;
    model.name = ModelId("m");
    spec.models = {model};
    return spec;
}

double LoadReplay::slotSeconds(const LoadKind &kind)
{
    const EngineSpec spec = engine();
    return executionMs(spec, spec.models.front(), sizeOf(kind)) / 1'000;
}

LoadReplay::LoadReplay(std::vector<LoadKind> kinds, int groups, LateRequests lateRequests,
                       std::uint32_t seed)
    : m_kinds(std::move(kinds))
    , m_random(seed)
{
    ServingConfiguration configuration;
    configuration.version = 1;
    for (const LoadKind &kind : m_kinds) {
        RouteSpec route;
        route.name = RouteId(kind.name);
        route.host = "h";
        route.pathPrefix = "/" + kind.name;
        route.kind = RequestKind::Stream; // Stalled ones are not sent twice.
        route.timeout = kind.timeLimit;
        route.targetLatency = kind.targetLatency;
        route.targetGap = kind.targetGap;
        route.priority = kind.priority;
        route.services = {{ServiceId("engines"), 1}};
        configuration.routes.push_back(route);
        const OrganisationId organisation(kind.organisation);
        if (!configuration.keys.count(kind.organisation)) {
            configuration.keys[kind.organisation] = configuration.organisations.size();
            configuration.organisations.push_back({organisation, std::nullopt});
        }
        m_outcomes[kind.name] = {};
    }
    ServedService engines;
    engines.name = ServiceId("engines");
    engines.engine = engine();
    configuration.services[engines.name] = engines;
    const auto shared = std::make_shared<ServingConfiguration>(configuration);
    for (int i = 0; i < nodeCount; ++i) {
        RequestOptions options;
        options.node = nodeId(i);
        options.zone = ZoneId("z");
        options.lateRequests = lateRequests;
        Node &node = m_nodes.emplace_back();
        node.backends = std::make_unique<BackendTable>();
        node.requests = std::make_unique<RequestSystem>(options, *node.backends);
        node.requests->setConfiguration(shared);
        node.requests->setNodes({nodeCount, static_cast<std::uint32_t>(i)});
        for (int group = 0; group < groups; ++group) {
            BackendReport report;
            report.id = VmId("s" + std::to_string(group));
            report.service = ServiceId("engines");
            report.address = Address("127.0.0.1:1");
            report.zone = ZoneId("z");
            report.model = ModelId("m");
            report.group = {GroupId("g" + std::to_string(group)), Generation(1), 0,
                            MemberState::Open};
            node.backends->update(report, m_now);
        }
    }
    m_now += Duration(10'000);
}

std::size_t LoadReplay::waiting() const
{
    std::size_t sum = 0;
    for (const Node &node : m_nodes)
        sum += node.requests->waiting();
    return sum;
}

void LoadReplay::run(double factor, Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end; m_now += step) {
        for (Node &node : m_nodes)
            node.requests->setConfigurationProof(m_now);
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            const double mean =
                factor * m_kinds[kind].perSecond * static_cast<double>(step.count()) / 1'000;
            std::poisson_distribution<int> arrivals(std::max(mean, 1e-12));
            for (int i = arrivals(m_random); i > 0; --i)
                arrive(kind, m_now, false);
        }
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            const auto [kind, firstAt] = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            arrive(kind, firstAt, true);
        }
        execute();
        if (milliseconds(m_now) % pulseInterval.count() == 0)
            exchangePulses();
        if (milliseconds(m_now) % tickInterval.count() != 0)
            continue;
        for (int node = 0; node < nodeCount; ++node) {
            RequestActions actions;
            m_nodes[node].requests->tick(m_now, actions);
            perform(node, actions);
        }
        m_mostWaiting = std::max(m_mostWaiting, waiting());
        // Callers that get no event give up.
        std::vector<RequestId> gone;
        for (const auto &[id, attempt] : m_tries) {
            const LoadKind &kind = m_kinds[attempt.kind];
            const Duration patience = std::max({minPatience, patiencePerTarget * kind.targetLatency,
                                                patiencePerGap * kind.targetGap});
            if (!attempt.hasStarted && m_now > attempt.arrivedAt + patience)
                gone.push_back(id);
        }
        for (const RequestId id : gone) {
            const Try left = m_tries.at(id);
            m_tries.erase(id);
            ++m_outcomes[m_kinds[left.kind].name].gaveUp;
            RequestActions actions;
            m_nodes[left.node].requests->onCallerDisconnected(id, m_now, actions);
            perform(left.node, actions);
        }
    }
}

void LoadReplay::arrive(std::size_t index, TimePoint firstAt, bool isSecond)
{
    const LoadKind &kind = m_kinds[index];
    const int node = static_cast<int>(m_random() % nodeCount);
    RequestArrival arrival;
    arrival.request = RequestId(++m_lastRequest);
    arrival.traceId = "t" + std::to_string(m_lastRequest);
    arrival.host = "h";
    arrival.path = "/" + kind.name;
    arrival.key = kind.organisation;
    arrival.model = ModelId("m");
    arrival.promptTokens = kind.promptTokens;
    arrival.completionTokens = kind.completionTokens;
    arrival.timeLimit = kind.timeLimit - (m_now - firstAt);
    if (!isSecond)
        ++m_outcomes[kind.name].callers;
    m_tries[arrival.request] = {index, firstAt, m_now, isSecond, node, false};
    RequestActions actions;
    m_nodes[node].requests->onRequestArrived(arrival, m_now, actions);
    perform(node, actions);
}

void LoadReplay::perform(int node, const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
            m_servers[dispatch->server].queue.push_back(
                {dispatch->server, node, dispatch->request, dispatch->attempt, false});
            startExecutions(dispatch->server);
        } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
            const auto found = m_tries.find(refusal->request);
            if (found == m_tries.end())
                continue;
            const Try refused = found->second;
            m_tries.erase(found);
            const LoadKind &kind = m_kinds[refused.kind];
            KindOutcome &outcome = m_outcomes[kind.name];
            ++outcome.refusals;
            outcome.longestHold = std::max(outcome.longestHold, m_now - refused.arrivedAt);
            if (!refusal->retryAfter) {
                ++outcome.refusedWithoutRetryAfter;
                continue;
            }
            outcome.retryAfters.push_back(*refusal->retryAfter);
            const Duration left = kind.timeLimit - (m_now - refused.firstAt);
            if (!refused.isSecond && refusal->run == RunOutcome::NotRun)
                m_returns.emplace(m_now + std::min(*refusal->retryAfter, left / retryShare),
                                  std::pair(refused.kind, refused.firstAt));
        }
    }
}

void LoadReplay::startExecutions(const VmId &id)
{
    const EngineSpec spec = engine();
    const ServedModel &model = spec.models.front();
    Server &server = m_servers[id];
    while (server.running < slots && !server.queue.empty()) {
        Execution execution = server.queue.front();
        server.queue.pop_front();
        const auto found = m_tries.find(execution.request);
        if (found == m_tries.end())
            continue; // Its caller has gone.
        const LoadKind &kind = m_kinds[found->second.kind];
        ++server.running;
        m_executions.emplace(m_now + ofMs(firstEventMs(spec, model, kind.promptTokens)), execution);
        execution.isEnd = true;
        m_executions.emplace(m_now + ofMs(executionMs(spec, model, sizeOf(kind))), execution);
    }
}

void LoadReplay::execute()
{
    while (!m_executions.empty() && m_executions.begin()->first <= m_now) {
        const Execution execution = m_executions.begin()->second;
        m_executions.erase(m_executions.begin());
        if (execution.isEnd) {
            --m_servers[execution.server].running;
            startExecutions(execution.server);
        }
        const auto found = m_tries.find(execution.request);
        if (found == m_tries.end())
            continue;
        const LoadKind &kind = m_kinds[found->second.kind];
        RequestSystem &requests = *m_nodes[execution.node].requests;
        if (!execution.isEnd) {
            found->second.hasStarted = true;
            m_outcomes[kind.name].inTime +=
                m_now - found->second.firstAt <= kind.targetLatency ? 1 : 0;
            requests.onStreamStarted(execution.request, execution.attempt, m_now);
            requests.onEventForwarded(execution.request, execution.attempt, m_now);
            continue;
        }
        m_outcomes[kind.name].served += m_now - found->second.firstAt <= kind.timeLimit ? 1 : 0;
        m_tries.erase(found);
        RequestActions actions;
        requests.onEventForwarded(execution.request, execution.attempt, m_now);
        requests.onStreamEnded(execution.request, execution.attempt, m_now, actions);
        perform(execution.node, actions);
    }
}

void LoadReplay::exchangePulses()
{
    for (int sender = 0; sender < nodeCount; ++sender) {
        const RunningCounts counts = m_nodes[sender].backends->ownRunning();
        for (int receiver = 0; receiver < nodeCount; ++receiver) {
            if (receiver != sender)
                m_nodes[receiver].backends->setPeerRunning(nodeId(sender), counts);
        }
    }
}

} // namespace bramleypitch
