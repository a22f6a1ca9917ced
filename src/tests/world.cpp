#include "world.h"

#include "coordination/environment_func.h"

#include <algorithm>

namespace bramleypitch::test {

namespace {

constexpr std::int64_t tickMillis = 20;
constexpr std::int64_t storeLimit = 1'500; ///< After this a call to the store has failed.
constexpr std::int64_t probeLimit = 500;
constexpr std::int64_t leaseMillis = 10'000;
constexpr std::int64_t loadMillis = 300;
constexpr std::int64_t tokenMillis = 20;
constexpr std::int64_t streamDelay = 3;
constexpr std::int64_t longTokens = 200; ///< Of a long completion, four seconds.
constexpr std::int64_t settleMillis = 20'000; ///< Calm at the end of a run.
constexpr std::uint32_t vmsPerDomain = 5;
constexpr std::uint32_t zones = 3;

const char *const document = R"({
  "environment": "world",
  "availability_zones": [
    {"name": "z0", "region": "r"}, {"name": "z1", "region": "r"}, {"name": "z2", "region": "r"}],
  "organisations": [{"name": "o", "keys": ["k"], "max_queued": 1000, "max_running": 1000}],
  "model_groups": [{"name": "m", "model": "weights", "span": 2, "concurrency": 8,
    "cold_allowance": 1, "warm_after": WARM, "deadline_ms": 6000,
    "first_token_deadline_ms": 2000, "fabric_domains": ["d0", "d1", "d2"],
    "checks_fencing": FENCING}],
  "services": [{"name": "pay", "once": [{"method": "POST", "path_prefix": "/"}],
    "warm_after": 0, "deadline_ms": 3000}]})";

void fillIn(std::string &text, const std::string &mark, const std::string &value)
{
    text.replace(text.find(mark), mark.size(), value);
}

std::string documentText(const WorldOptions &options)
{
    std::string text = document;
    fillIn(text, "FENCING", options.checksFencing ? "true" : "false");
    fillIn(text, "WARM", std::to_string(options.warmAfter));
    return text;
}

} // namespace

World::World(WorldOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::uint32_t zone = 0; zone < zones; ++zone) {
        for (std::uint32_t i = 0; i <= vmsPerDomain; ++i) {
            const bool isService = i == vmsPerDomain;
            VmSlot vm;
            const std::string name = "v" + std::to_string(zone) + std::to_string(i);
            vm.record.id = VmId(name);
            vm.record.address = Address(name);
            vm.record.zone = ZoneId("z" + std::to_string(zone));
            vm.record.domain =
                isService ? DomainId("service/pay") : DomainId("d" + std::to_string(zone));
            vm.report.boot = BootId(name + "/0");
            vm.report.state = isService ? EngineState::Ready : EngineState::Empty;
            m_vms.push_back(vm);
        }
    }
    publishFirst();
    m_nodes.resize(options.nodes);
    for (std::uint32_t node = 0; node < options.nodes; ++node)
        startNode(node);
    after(options.requestEvery.count(), [this] { ask(); });
}

void World::publishFirst()
{
    Envelope envelope;
    envelope.environment = parseEnvironment(documentText(m_options));
    envelope.nonce = Nonce("first");
    swapStore(configurationKey(EnvironmentId("world"), Stage::Production), 0,
              serializeEnvelope(envelope), 0);
}

// --- The passing of time and messages.

void World::after(std::int64_t delay, Task task)
{
    m_tasks.push({m_now + delay, ++m_order, std::move(task)});
}

void World::runUntil(std::int64_t time)
{
    while (!m_tasks.empty() && m_tasks.top().at <= time) {
        Scheduled next = m_tasks.top();
        m_tasks.pop();
        m_now = next.at;
        next.task();
    }
    m_now = time;
}

std::int64_t World::randomUpTo(std::int64_t most)
{
    return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most + 1));
}

bool World::chance(double probability)
{
    constexpr std::int64_t scale = 1'000'000;
    return static_cast<double>(randomUpTo(scale - 1)) < probability * scale;
}

std::int64_t World::delay()
{
    if (!m_calm && chance(m_options.lateness))
        return 100 + randomUpTo(2'500);
    return 1 + randomUpTo(8);
}

void World::deliver(std::uint32_t node, std::uint64_t life, Event event)
{
    NodeSlot &slot = m_nodes[node];
    if (slot.life != life || !slot.node)
        return;
    if (m_now < slot.pausedUntil) {
        slot.backlog.push_back(std::move(event));
        return;
    }
    handle(node, event);
}

void World::handle(std::uint32_t node, const Event &event)
{
    NodeSlot &slot = m_nodes[node];
    const std::uint64_t life = slot.life;
    const Actions actions = slot.node->handle(event, nodeTime(slot));
    for (const Action &action : actions) {
        if (m_nodes[node].life == life)
            perform(node, action);
    }
}

void World::perform(std::uint32_t node, const Action &action)
{
    std::visit([&](const auto &specific) { act(node, specific); }, action);
}

void World::startNode(std::uint32_t node)
{
    NodeSlot &slot = m_nodes[node];
    ++slot.life;
    slot.offset = randomUpTo(1'000'000);
    slot.pausedUntil = 0;
    slot.backlog.clear();
    slot.lease = 0;
    slot.highestRevision = 0;
    slot.stopping = false;
    NodeOptions options;
    const std::string name = "n" + std::to_string(node);
    options.node = NodeId(name);
    options.environment = EnvironmentId("world");
    options.zone = ZoneId("z" + std::to_string(node % zones));
    options.entryAddress = Address(name);
    options.peerAddress = Address(name);
    options.seed = m_random();
    options.placement.orderLifetime = Duration(3'000);
    slot.node = std::make_unique<Node>(options);
    const std::uint64_t life = slot.life;
    struct Ticker
    {
        static void tick(World *world, std::uint32_t index, std::uint64_t life)
        {
            NodeSlot &ticked = world->m_nodes[index];
            if (ticked.life != life || !ticked.node)
                return;
            if (world->m_now >= ticked.pausedUntil) {
                while (!ticked.backlog.empty() && ticked.life == life) {
                    const Event event = std::move(ticked.backlog.front());
                    ticked.backlog.pop_front();
                    world->handle(index, event);
                }
                if (ticked.life == life)
                    world->handle(index, Tick {WallTime(world->m_now)});
            }
            world->after(tickMillis, [world, index, life] { tick(world, index, life); });
        }
    };
    after(randomUpTo(tickMillis), [this, node, life] { Ticker::tick(this, node, life); });
}

// --- The store.

bool World::platformReachable(const NodeSlot &slot) const
{
    return m_now >= m_outageUntil && m_now >= slot.noPlatformUntil;
}

bool World::swapStore(const std::string &key, std::int64_t expected, const std::string &value,
                      std::int64_t lease)
{
    const auto found = m_store.find(key);
    const std::int64_t held = found == m_store.end() ? 0 : found->second.revision;
    if (held != expected)
        return false;
    m_store[key] = {value, ++m_revision, lease};
    checkPlacement(key, value);
    return true;
}

std::vector<SharedValue> World::readPrefix(const std::string &prefix, std::int64_t above) const
{
    std::vector<SharedValue> values;
    for (const auto &[key, entry] : m_store) {
        if (key.rfind(prefix, 0) == 0 && entry.revision > above)
            values.push_back({key, Revision(entry.revision), entry.value});
    }
    return values;
}

void World::expireLeases()
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (m_now < it->second) {
            ++it;
            continue;
        }
        std::erase_if(m_store, [&](const auto &entry) { return entry.second.lease == it->first; });
        it = m_leases.erase(it);
    }
}

void World::callStore(std::uint32_t node, const std::function<Event()> &execute,
                      const Event &failure)
{
    const std::uint64_t life = m_nodes[node].life;
    const std::int64_t sentAt = m_now;
    const bool reaches = platformReachable(m_nodes[node]);
    if (!reaches) {
        after(storeLimit, [=, this] { deliver(node, life, failure); });
        return;
    }
    after(delay(), [=, this] {
        expireLeases();
        const Event reply = execute();
        const bool lost =
            !platformReachable(m_nodes[node]) || (m_now < m_loseRepliesUntil && chance(0.5));
        const std::int64_t back = delay();
        const bool late = m_now + back - sentAt > storeLimit;
        if (lost || late)
            after(std::max<std::int64_t>(1, sentAt + storeLimit - m_now),
                  [=, this] { deliver(node, life, failure); });
        else
            after(back, [=, this] { deliver(node, life, reply); });
    });
}

void World::act(std::uint32_t node, const ReadShared &read)
{
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    callStore(
        node,
        [=, this]() -> Event {
            return SharedRead {read.operation, true, readPrefix(sharedPrefix, read.above.value()),
                               sentAt};
        },
        SharedRead {read.operation, false, {}, sentAt});
}

void World::act(std::uint32_t node, const ReadNodes &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            NodesRead done {read.operation, true, {}};
            for (const SharedValue &value : readPrefix(nodePrefix(EnvironmentId("world")), 0)) {
                NodeRecord record;
                record.node = NodeId(value.value);
                record.incarnation = Incarnation(value.revision.value());
                record.entryAddress = record.peerAddress = Address(value.value);
                done.nodes.push_back(record);
            }
            return done;
        },
        NodesRead {read.operation, false, {}});
}

void World::act(std::uint32_t node, const ReadKey &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            const auto found = m_store.find(read.key);
            if (found == m_store.end())
                return KeyRead {read.operation, true, Revision(0), {}};
            return KeyRead {read.operation, true, Revision(found->second.revision),
                            found->second.value};
        },
        KeyRead {read.operation, false, {}, {}});
}

void World::act(std::uint32_t node, const CompareAndSwap &swap)
{
    // A lost reply is read back by the daemon; here the outcome simply stays unknown, which is
    // the harder case, or is found out.
    callStore(
        node,
        [=, this]() -> Event {
            if (swapStore(swap.key, swap.expected.value(), swap.value, 0))
                return SwapDone {swap.operation, SwapOutcome::Written, Revision(m_revision), {}};
            const Entry &held = m_store[swap.key];
            return SwapDone {swap.operation, SwapOutcome::Conflict, Revision(held.revision),
                             held.value};
        },
        SwapDone {swap.operation, SwapOutcome::Unknown, {}, {}});
}

void World::act(std::uint32_t node, const RenewLease &renew)
{
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    const std::uint64_t life = m_nodes[node].life;
    const std::string key = nodePrefix(EnvironmentId("world")) + "n" + std::to_string(node);
    callStore(
        node,
        [=, this]() -> Event {
            NodeSlot &slot = m_nodes[node];
            LeaseRenewed failed {renew.operation, false, {}, sentAt, {}};
            if (slot.life != life)
                return failed;
            if (slot.lease == 0 || !m_leases.count(slot.lease)) {
                if (m_store.count(key))
                    return failed;
                slot.lease = ++m_lastLease;
                swapStore(key, 0, "n" + std::to_string(node), slot.lease);
            }
            m_leases[slot.lease] = m_now + leaseMillis;
            return LeaseRenewed {renew.operation, true, Incarnation(m_store[key].revision), sentAt,
                                 Duration(leaseMillis)};
        },
        LeaseRenewed {renew.operation, false, {}, sentAt, {}});
}

void World::act(std::uint32_t node, const ReleaseLease &)
{
    if (platformReachable(m_nodes[node]) && m_nodes[node].lease != 0)
        m_leases[m_nodes[node].lease] = m_now;
}

void World::act(std::uint32_t node, const ReadVmList &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            VmListRead done {read.operation, true, {}};
            for (const VmSlot &vm : m_vms) {
                if (vm.listed)
                    done.vms.push_back(vm.record);
            }
            return done;
        },
        VmListRead {read.operation, false, {}});
}

// --- Other nodes.

bool World::peersReach(std::uint32_t from, std::uint32_t to) const
{
    return m_nodes[to].node && m_now >= m_nodes[from].noPeersUntil
        && m_now >= m_nodes[to].noPeersUntil;
}

void World::act(std::uint32_t node, const SendHeartbeat &send)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(send.to.value().substr(1)));
    const std::uint64_t life = m_nodes[node].life;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    after(delay(), [=, this] {
        if (!peersReach(node, to) || m_now < m_nodes[to].pausedUntil)
            return;
        handle(to, HeartbeatReceived {send.heartbeat, nodeTime(m_nodes[to]), false});
        if (!m_nodes[to].node)
            return;
        const Heartbeat reply = m_nodes[to].node->heartbeatReply(nodeTime(m_nodes[to]));
        after(delay(), [=, this] {
            if (peersReach(to, node))
                deliver(node, life, HeartbeatReceived {reply, sentAt, true});
        });
    });
}

void World::act(std::uint32_t node, const PullShared &pull)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(pull.peer.value().substr(1)));
    const std::uint64_t life = m_nodes[node].life;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    after(delay(), [=, this] {
        if (!peersReach(node, to) || m_now < m_nodes[to].pausedUntil)
            return;
        const NodeState &state = m_nodes[to].node->state();
        SharedPulled pulled;
        pulled.values = state.shared.since(pull.above);
        pulled.newest = state.shared.newest();
        pulled.known = state.shared.known();
        pulled.evidenceAge = nodeTime(m_nodes[to]) - state.shared.evidence();
        pulled.sentAt = sentAt;
        after(delay(), [=, this] {
            if (peersReach(to, node))
                deliver(node, life, pulled);
        });
    });
}

void World::act(std::uint32_t node, const SendLedger &ask)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(ask.peer.value().substr(1)));
    const std::uint64_t life = m_nodes[node].life;
    after(delay(), [=, this] {
        if (!peersReach(node, to))
            return;
        const std::uint64_t id = ++m_lastLedgerAsk;
        m_ledgerAsks[id] = {node, ask.operation};
        (void)life;
        deliver(to, m_nodes[to].life, LedgerAsked {OperationId(id), ask.segment, ask.request});
    });
}

void World::act(std::uint32_t node, const AnswerLedger &answer)
{
    const auto found = m_ledgerAsks.find(answer.operation.value());
    if (found == m_ledgerAsks.end())
        return;
    const std::uint32_t asker = found->second.first;
    const OperationId operation = found->second.second;
    m_ledgerAsks.erase(found);
    const std::uint64_t life = m_nodes[asker].life;
    after(delay(), [=, this] {
        if (peersReach(node, asker))
            deliver(asker, life, LedgerAnswered {operation, answer.reply});
    });
}

// --- Engines and services.

World::VmSlot *World::vmOf(const Address &address)
{
    for (VmSlot &vm : m_vms) {
        if (vm.record.address == address)
            return &vm;
    }
    return nullptr;
}

bool World::vmReachable(const NodeSlot &slot, const VmSlot &vm) const
{
    const bool cut =
        m_now < slot.noDomainUntil && vm.record.zone == ZoneId("z" + std::to_string(slot.noDomain));
    return !cut && m_now >= vm.deadUntil;
}

void World::reboot(VmSlot &vm, bool keepOrder)
{
    const bool isService = vm.record.domain == DomainId("service/pay");
    const std::string held = vm.report.heldModel;
    ++vm.boots;
    vm.report.boot = BootId(vm.record.id.value() + "/" + std::to_string(vm.boots));
    vm.report.completed = 0;
    vm.coldSince = m_now;
    if (keepOrder || isService)
        return;
    vm.report.group = GroupId();
    vm.report.generation = Generation(0);
    vm.report.state = EngineState::Empty;
    vm.report.heldModel = held;
    vm.running = 0;
}

void World::act(std::uint32_t node, const SendProbe &probe)
{
    const std::uint64_t life = m_nodes[node].life;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    const std::int64_t there = delay();
    after(there, [=, this] {
        VmSlot *vm = vmOf(probe.address);
        const bool answers = vmReachable(m_nodes[node], *vm) && m_now >= vm->pausedUntil;
        const std::int64_t back = delay();
        if (!answers || there + back > probeLimit) {
            after(std::max<std::int64_t>(1, probeLimit - there), [=, this] {
                deliver(node, life, ProbeDone {probe.vm, false, {}, sentAt});
            });
            return;
        }
        noteServing(*vm);
        VmReport report = vm->report;
        report.running = vm->running;
        after(back, [=, this] { deliver(node, life, ProbeDone {probe.vm, true, report, sentAt}); });
    });
}

void World::obey(VmSlot &vm, const SendOrder &order)
{
    if (order.kind == OrderKind::Prefetch) {
        vm.report.heldModel = order.model;
        return;
    }
    const bool load = order.kind == OrderKind::Load;
    vm.report.generation = order.generation;
    vm.report.group = load ? order.group : GroupId();
    vm.report.state = load ? EngineState::Loading : EngineState::Empty;
    ++vm.boots; // Ends the streams of the old order.
    vm.running = 0;
    if (!load)
        return;
    const bool held = vm.report.heldModel == order.model;
    vm.report.heldModel = order.model;
    const std::uint64_t boots = vm.boots;
    after(held ? tokenMillis : loadMillis, [this, address = order.address, boots] {
        VmSlot *loaded = vmOf(address);
        if (loaded->boots == boots && loaded->report.state == EngineState::Loading)
            loaded->report.state = EngineState::Ready;
    });
}

void World::act(std::uint32_t node, const SendOrder &order)
{
    const std::uint64_t life = m_nodes[node].life;
    after(delay(), [=, this] {
        VmSlot *vm = vmOf(order.address);
        if (!vmReachable(m_nodes[node], *vm) || m_now < vm->pausedUntil)
            return;
        const bool old = order.generation < vm->report.generation;
        const bool refused = old && m_options.checksFencing;
        const bool same =
            order.generation == vm->report.generation && order.group == vm->report.group;
        if (!refused && (!same || order.kind == OrderKind::Prefetch))
            obey(*vm, order);
        after(delay(), [=, this] {
            deliver(node, life, OrderDone {order.operation, order.vm, !refused});
        });
    });
}

std::string World::tokenText(const std::string &prompt, std::uint32_t index)
{
    return prompt + "#" + std::to_string(index);
}

void World::act(std::uint32_t node, const DispatchEngine &dispatch)
{
    checkDispatch(node, dispatch);
    const std::uint64_t life = m_nodes[node].life;
    after(delay(), [=, this] {
        VmSlot *vm = vmOf(dispatch.address);
        if (!vmReachable(m_nodes[node], *vm)) {
            deliver(node, life, AttemptBroken {dispatch.request, dispatch.attempt, false, false});
            return;
        }
        ++m_requestRuns[dispatch.request.value()];
        const bool current =
            vm->report.group == dispatch.group && vm->report.generation == dispatch.generation;
        const bool takes =
            vm->report.state == EngineState::Ready && (current || !m_options.checksFencing);
        if (!takes) {
            after(streamDelay, [=, this] {
                deliver(node, life, AttemptBroken {dispatch.request, dispatch.attempt, true, true});
            });
            return;
        }
        checkArrival(*vm);
        ++vm->running;
        runStream(node, life, dispatch, vm->boots, dispatch.resumeFrom);
    });
}

void World::runStream(std::uint32_t node, std::uint64_t life, const DispatchEngine &dispatch,
                      std::uint64_t boot, std::uint32_t index)
{
    after(tokenMillis, [=, this] {
        VmSlot *vm = vmOf(dispatch.address);
        if (m_now < vm->pausedUntil) {
            runStream(node, life, dispatch, boot, index);
            return;
        }
        const bool callerLeft = m_nodes[node].life != life
            || m_cancelled.count({dispatch.request, dispatch.attempt}) > 0;
        if (vm->boots != boot || m_now < vm->deadUntil || callerLeft) {
            if (vm->boots == boot && vm->running > 0)
                --vm->running;
            deliver(node, life, AttemptBroken {dispatch.request, dispatch.attempt, true, false});
            return;
        }
        const bool reaches = vmReachable(m_nodes[node], *vm);
        // Frames of other attempts and frames twice, as a confused network or engine has them.
        if (reaches && !m_calm && chance(0.03))
            deliver(node, life,
                    EngineToken {dispatch.request, AttemptNumber(dispatch.attempt.value() - 1),
                                 index, "crossed"});
        if (reaches && !m_calm && index > 0 && chance(0.03))
            deliver(node, life,
                    EngineToken {dispatch.request, dispatch.attempt, index - 1, "twice"});
        if (index < dispatch.maxTokens) {
            if (reaches)
                deliver(node, life,
                        EngineToken {dispatch.request, dispatch.attempt, index,
                                     tokenText(dispatch.prompt, index)});
            runStream(node, life, dispatch, boot, index + 1);
            return;
        }
        --vm->running;
        for (VmSlot &member : m_vms) {
            if (member.report.group == vm->report.group && !vm->report.group.value().empty())
                ++member.report.completed;
        }
        if (reaches)
            deliver(node, life, EngineEnd {dispatch.request, dispatch.attempt, dispatch.maxTokens});
    });
}

void World::act(std::uint32_t, const CancelAttempt &cancel)
{
    after(delay(), [=, this] { m_cancelled.insert({cancel.request, cancel.attempt}); });
}

void World::act(std::uint32_t node, const DispatchService &dispatch)
{
    checkService(node, dispatch);
    const std::uint64_t life = m_nodes[node].life;
    after(delay(), [=, this] {
        VmSlot *vm = vmOf(dispatch.address);
        if (!vmReachable(m_nodes[node], *vm)) {
            deliver(node, life, AttemptBroken {dispatch.request, dispatch.attempt, false, false});
            return;
        }
        ++m_requestRuns[dispatch.request.value()];
        const std::uint32_t runs = ++m_paymentRuns[dispatch.idempotencyKey];
        if (runs > 1)
            breach("payment once", "key " + dispatch.idempotencyKey + " ran again");
        if (!m_calm && chance(0.05)) {
            after(delay(), [=, this] {
                deliver(node, life,
                        AttemptBroken {dispatch.request, dispatch.attempt, true, false});
            });
            return;
        }
        CallOutcome outcome;
        outcome.status = 200;
        outcome.body = dispatch.idempotencyKey;
        after(delay() + 5, [=, this] {
            deliver(node, life, ServiceAnswered {dispatch.request, dispatch.attempt, outcome});
        });
    });
}

// --- Answers to callers.

void World::act(std::uint32_t node, const AnswerToken &token)
{
    checkToken(node, token);
}

void World::act(std::uint32_t, const AnswerEnd &end)
{
    checkEnd(end);
}

void World::act(std::uint32_t, const AnswerService &answer)
{
    Asked &asked = m_asked.at(answer.request.value());
    if (answer.outcome.body != asked.paymentKey)
        breach("whole answer", "the answer to another payment came");
    asked.ended = true;
}

void World::act(std::uint32_t, const Refuse &refuse)
{
    checkRefusal(refuse);
}

void World::act(std::uint32_t node, const LogChange &change)
{
    if (change.event == "configuration_in_force")
        checkRevision(node, std::stoll(change.detail));
}

void World::act(std::uint32_t node, const Stopped &)
{
    NodeSlot &slot = m_nodes[node];
    for (const auto &[id, asked] : m_asked) {
        if (asked.node == node && asked.life == slot.life && !asked.ended)
            breach("planned stop", "request " + std::to_string(id) + " was cut off");
    }
    ++slot.life;
    slot.node.reset();
    after(1'000, [this, node] { startNode(node); });
}

// --- Callers and operators.

void World::ask()
{
    after(m_options.requestEvery.count(), [this] { ask(); });
    const auto node = static_cast<std::uint32_t>(randomUpTo(m_options.nodes - 1));
    if (!m_nodes[node].node)
        return;
    const std::int64_t dice = randomUpTo(9);
    if (dice < 5) {
        Asked asked;
        asked.node = node;
        asked.life = m_nodes[node].life;
        asked.askedAt = m_now;
        asked.prompt = "p" + std::to_string(++m_lastRequest);
        const bool isLong = chance(0.05);
        asked.maxTokens = 1 + static_cast<std::uint32_t>(randomUpTo(isLong ? longTokens : 7));
        const RequestId request(m_lastRequest);
        m_asked[m_lastRequest] = asked;
        CompletionAsked come;
        come.request = request;
        come.key = "k";
        come.model = ModelGroupId("m");
        come.prompt = asked.prompt;
        come.maxTokens = asked.maxTokens;
        deliver(node, asked.life, come);
        return;
    }
    if (dice < 8 || m_payments == 0) {
        sendPayment(node, "pay" + std::to_string(++m_payments), true);
        return;
    }
    // Half of the repeats come at once, on another node.
    const std::uint64_t recent = std::min<std::uint64_t>(m_payments, 4);
    const std::uint64_t number = m_payments - static_cast<std::uint64_t>(randomUpTo(recent - 1));
    sendPayment(node, "pay" + std::to_string(number), false);
}

void World::sendPayment(std::uint32_t node, const std::string &key, bool first)
{
    Asked asked;
    asked.node = node;
    asked.life = m_nodes[node].life;
    asked.askedAt = m_now;
    asked.paymentKey = key;
    m_asked[++m_lastRequest] = asked;
    ServiceAsked come;
    come.request = RequestId(m_lastRequest);
    come.key = "k";
    come.service = ServiceId("pay");
    come.method = "POST";
    come.path = "/";
    come.idempotencyKey = key;
    come.firstAttempt = first;
    deliver(node, asked.life, come);
    if (first && chance(0.3)) {
        const auto other = static_cast<std::uint32_t>(randomUpTo(m_options.nodes - 1));
        after(randomUpTo(50), [=, this] {
            if (m_nodes[other].node)
                sendPayment(other, key, false);
        });
    }
}

void World::changeProduction(const std::function<void(Envelope &)> &change)
{
    const std::string key = configurationKey(EnvironmentId("world"), Stage::Production);
    Entry &entry = m_store.at(key);
    Envelope envelope = parseEnvelope(entry.value);
    change(envelope);
    swapStore(key, entry.revision, serializeEnvelope(envelope), 0);
}

void World::apply(const Step &step)
{
    const std::uint32_t node = step.target % m_options.nodes;
    VmSlot &vm = m_vms[step.target % m_vms.size()];
    const ZoneId zone("z" + std::to_string(step.target % zones));
    const std::int64_t until = m_now + step.lasts;
    NodeSlot &slot = m_nodes[node];
    switch (step.kind) {
    case StepKind::KillNode:
        if (!slot.node)
            return;
        ++slot.life;
        slot.node.reset();
        after(500 + step.lasts, [this, node] { startNode(node); });
        return;
    case StepKind::PauseNode:
        slot.pausedUntil = m_now + step.lasts * 4;
        return;
    case StepKind::StopNode:
        if (slot.node && m_now >= slot.pausedUntil) {
            slot.stopping = true;
            handle(node, StopAsked {});
        }
        return;
    case StepKind::CutNodePlatform:
        slot.noPlatformUntil = until;
        return;
    case StepKind::CutNodePeers:
        slot.noPeersUntil = until;
        return;
    case StepKind::IsolateNode:
        slot.noPlatformUntil = slot.noPeersUntil = until + step.lasts;
        return;
    case StepKind::LoseHome:
        slot.noPlatformUntil = m_now + 14'000;
        after(8'000 + randomUpTo(2'500),
              [this, node] { m_nodes[node].noPeersUntil = m_now + 5'000; });
        return;
    case StepKind::CutNodeEngines:
        slot.noDomain = (step.target / m_options.nodes) % zones;
        slot.noDomainUntil = until;
        return;
    case StepKind::PlatformOutage:
        m_outageUntil = until;
        return;
    case StepKind::LoseReplies:
        m_loseRepliesUntil = until;
        return;
    case StepKind::KillVm:
        reboot(vm, false);
        vm.deadUntil = until;
        return;
    case StepKind::PauseVm:
        vm.pausedUntil = until;
        return;
    case StepKind::KillDomain:
        for (VmSlot &member : m_vms) {
            if (member.record.zone == zone) {
                reboot(member, false);
                member.deadUntil = until;
            }
        }
        return;
    case StepKind::ColdVm:
        reboot(vm, true);
        return;
    case StepKind::LeaveVm: {
        vm.record.leaving = true;
        vm.leavingSince = m_now;
        const Address address = vm.record.address;
        after(4'000 + step.lasts, [this, address] { vmOf(address)->listed = false; });
        after(8'000 + step.lasts, [this, address] {
            VmSlot *back = vmOf(address);
            reboot(*back, false);
            back->record.leaving = false;
            back->leavingSince = -1;
            back->listed = true;
        });
        return;
    }
    case StepKind::DrainZone:
        changeProduction([&](Envelope &envelope) {
            if (!zoneIsOut(envelope, zone)) {
                envelope.zonesOut.push_back(zone);
                m_zoneOutSince[zone] = m_now;
            }
        });
        return;
    case StepKind::RestoreZone:
        m_zoneOutSince.erase(zone);
        changeProduction([&](Envelope &envelope) { std::erase(envelope.zonesOut, zone); });
        return;
    case StepKind::ChangeDocument:
        changeProduction([&](Envelope &envelope) {
            envelope.environment.organisations[0].weight = 1 + step.lasts % 9;
        });
        return;
    default:
        return;
    }
}

void World::run(const std::vector<Step> &steps)
{
    runUntil(m_now + 6'000);
    for (const Step &step : steps) {
        apply(step);
        runUntil(m_now + 200 + randomUpTo(m_options.stepGap.count()));
    }
    runUntil(m_now + 14'000);
    m_calm = true;
    for (std::uint32_t zone = 0; zone < zones; ++zone)
        apply({StepKind::RestoreZone, zone, 0});
    runUntil(m_now + settleMillis);
    checkSettled();
}

} // namespace bramleypitch::test
