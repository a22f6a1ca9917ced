#include "world.h"

#include "coordination/environment_func.h"

#include <algorithm>

namespace bramleypitch::test {

namespace {

constexpr std::int64_t tickIntervalMs = 20;
constexpr std::int64_t maxLongCompletionTokens = 200; ///< Generated in four seconds.
constexpr std::int64_t settleTimeMs = 20'000; ///< Without faults, at the end of a run.
constexpr std::uint32_t vmsPerDomain = 5;
constexpr std::uint32_t zoneCount = 3;

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

void replacePlaceholder(std::string &text, const std::string &placeholder, const std::string &value)
{
    text.replace(text.find(placeholder), placeholder.size(), value);
}

std::string documentText(const WorldOptions &options)
{
    std::string text = document;
    replacePlaceholder(text, "FENCING", options.checksFencing ? "true" : "false");
    replacePlaceholder(text, "WARM", std::to_string(options.warmAfter));
    return text;
}

} // namespace

World::World(WorldOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone) {
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
    publishFirstConfiguration();
    m_nodes.resize(options.nodes);
    for (std::uint32_t node = 0; node < options.nodes; ++node)
        startNode(node);
    after(options.requestInterval.count(), [this] { sendNextRequest(); });
}

void World::publishFirstConfiguration()
{
    Envelope envelope;
    envelope.environment = parseEnvironment(documentText(m_options));
    envelope.nonce = Nonce("first");
    swapStore(configurationKey(EnvironmentId("world"), Stage::Production), 0,
              serializeEnvelope(envelope), 0);
}

// --- Scheduling and message delivery.

void World::after(std::int64_t delay, Task task)
{
    m_tasks.push({m_now + delay, ++m_lastTaskOrder, std::move(task)});
}

void World::runUntil(std::int64_t time)
{
    while (!m_tasks.empty() && m_tasks.top().at <= time) {
        ScheduledTask next = m_tasks.top();
        m_tasks.pop();
        m_now = next.at;
        next.task();
    }
    m_now = time;
}

std::int64_t World::randomUpTo(std::int64_t max)
{
    return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(max + 1));
}

bool World::chance(double probability)
{
    constexpr std::int64_t scale = 1'000'000;
    return static_cast<double>(randomUpTo(scale - 1)) < probability * scale;
}

std::int64_t World::delay()
{
    if (!m_messageFaultsEnded && chance(m_options.lateMessageShare))
        return 100 + randomUpTo(2'500);
    return 1 + randomUpTo(8);
}

void World::deliver(std::uint32_t node, std::uint64_t instance, Event event)
{
    NodeSlot &slot = m_nodes[node];
    if (slot.instance != instance || !slot.node)
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
    const std::uint64_t instance = slot.instance;
    const Actions actions = slot.node->handle(event, nodeTime(slot));
    for (const Action &action : actions) {
        if (m_nodes[node].instance == instance)
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
    ++slot.instance;
    slot.clockOffset = randomUpTo(1'000'000);
    slot.pausedUntil = 0;
    slot.backlog.clear();
    slot.lease = 0;
    slot.highestRevision = 0;
    slot.stopping = false;
    NodeOptions options;
    const std::string name = "n" + std::to_string(node);
    options.node = NodeId(name);
    options.environment = EnvironmentId("world");
    options.zone = ZoneId("z" + std::to_string(node % zoneCount));
    options.entryAddress = Address(name);
    options.peerAddress = Address(name);
    options.seed = m_random();
    options.placement.orderLifetime = Duration(3'000);
    slot.node = std::make_unique<Node>(options);
    const std::uint64_t instance = slot.instance;
    struct Ticker
    {
        static void tick(World *world, std::uint32_t index, std::uint64_t instance)
        {
            NodeSlot &tickedSlot = world->m_nodes[index];
            if (tickedSlot.instance != instance || !tickedSlot.node)
                return;
            if (world->m_now >= tickedSlot.pausedUntil) {
                while (!tickedSlot.backlog.empty() && tickedSlot.instance == instance) {
                    const Event event = std::move(tickedSlot.backlog.front());
                    tickedSlot.backlog.pop_front();
                    world->handle(index, event);
                }
                if (tickedSlot.instance == instance)
                    world->handle(index, Tick {WallTime(world->m_now)});
            }
            world->after(tickIntervalMs,
                         [world, index, instance] { tick(world, index, instance); });
        }
    };
    after(randomUpTo(tickIntervalMs),
          [this, node, instance] { Ticker::tick(this, node, instance); });
}

// --- Answers to callers.

void World::act(std::uint32_t node, const ForwardToken &token)
{
    checkToken(node, token);
}

void World::act(std::uint32_t, const ForwardEnd &end)
{
    checkEnd(end);
}

void World::act(std::uint32_t, const ForwardServiceResponse &answer)
{
    CallerRequest &callerRequest = m_callerRequests.at(answer.request.value());
    if (answer.outcome.body != callerRequest.paymentKey)
        reportViolation("whole answer", "the answer belongs to another payment");
    callerRequest.ended = true;
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
    for (const auto &[id, callerRequest] : m_callerRequests) {
        if (callerRequest.node == node && callerRequest.instance == slot.instance
            && !callerRequest.ended)
            reportViolation("planned stop",
                            "request " + std::to_string(id)
                                + " was unanswered when the node stopped");
    }
    ++slot.instance;
    slot.node.reset();
    after(1'000, [this, node] { startNode(node); });
}

// --- Callers and operators.

void World::sendNextRequest()
{
    after(m_options.requestInterval.count(), [this] { sendNextRequest(); });
    const auto node = static_cast<std::uint32_t>(randomUpTo(m_options.nodes - 1));
    if (!m_nodes[node].node)
        return;
    const std::int64_t choice = randomUpTo(9);
    if (choice < 5) {
        CallerRequest callerRequest;
        callerRequest.node = node;
        callerRequest.instance = m_nodes[node].instance;
        callerRequest.requestedAt = m_now;
        callerRequest.prompt = "p" + std::to_string(++m_lastRequest);
        const bool isLong = chance(0.05);
        callerRequest.maxTokens =
            1 + static_cast<std::uint32_t>(randomUpTo(isLong ? maxLongCompletionTokens : 7));
        const RequestId request(m_lastRequest);
        m_callerRequests[m_lastRequest] = callerRequest;
        CompletionRequested callerEvent;
        callerEvent.request = request;
        callerEvent.key = "k";
        callerEvent.model = ModelGroupId("m");
        callerEvent.prompt = callerRequest.prompt;
        callerEvent.maxTokens = callerRequest.maxTokens;
        deliver(node, callerRequest.instance, callerEvent);
        return;
    }
    if (choice < 8 || m_payments == 0) {
        sendPayment(node, "pay" + std::to_string(++m_payments), true);
        return;
    }
    // Repeats an earlier payment, which may still be in progress on another node.
    const std::uint64_t recent = std::min<std::uint64_t>(m_payments, 4);
    const std::uint64_t number = m_payments - static_cast<std::uint64_t>(randomUpTo(recent - 1));
    sendPayment(node, "pay" + std::to_string(number), false);
}

void World::sendPayment(std::uint32_t node, const std::string &key, bool first)
{
    CallerRequest callerRequest;
    callerRequest.node = node;
    callerRequest.instance = m_nodes[node].instance;
    callerRequest.requestedAt = m_now;
    callerRequest.paymentKey = key;
    m_callerRequests[++m_lastRequest] = callerRequest;
    ServiceRequested callerEvent;
    callerEvent.request = RequestId(m_lastRequest);
    callerEvent.key = "k";
    callerEvent.service = ServiceId("pay");
    callerEvent.method = "POST";
    callerEvent.path = "/";
    callerEvent.idempotencyKey = key;
    callerEvent.firstAttempt = first;
    deliver(node, callerRequest.instance, callerEvent);
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
    const ZoneId zone("z" + std::to_string(step.target % zoneCount));
    const std::int64_t until = m_now + step.durationMs;
    NodeSlot &slot = m_nodes[node];
    switch (step.kind) {
    case StepKind::KillNode:
        if (!slot.node)
            return;
        ++slot.instance;
        slot.node.reset();
        after(500 + step.durationMs, [this, node] { startNode(node); });
        return;
    case StepKind::PauseNode:
        slot.pausedUntil = m_now + step.durationMs * 4;
        return;
    case StepKind::StopNode:
        if (slot.node && m_now >= slot.pausedUntil) {
            slot.stopping = true;
            handle(node, StopRequested {});
        }
        return;
    case StepKind::CutNodePlatform:
        slot.platformCutUntil = until;
        return;
    case StepKind::CutNodePeers:
        slot.peersCutUntil = until;
        return;
    case StepKind::IsolateNode:
        slot.platformCutUntil = slot.peersCutUntil = until + step.durationMs;
        return;
    case StepKind::LoseHome:
        slot.platformCutUntil = m_now + 14'000;
        after(8'000 + randomUpTo(2'500),
              [this, node] { m_nodes[node].peersCutUntil = m_now + 5'000; });
        return;
    case StepKind::CutNodeEngines:
        slot.cutDomain = (step.target / m_options.nodes) % zoneCount;
        slot.domainCutUntil = until;
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
    case StepKind::RestartVm:
        reboot(vm, true);
        return;
    case StepKind::LeaveVm: {
        vm.record.leaving = true;
        vm.leavingSince = m_now;
        const Address address = vm.record.address;
        after(4'000 + step.durationMs, [this, address] { findVm(address)->listed = false; });
        after(8'000 + step.durationMs, [this, address] {
            VmSlot *returningVm = findVm(address);
            reboot(*returningVm, false);
            returningVm->record.leaving = false;
            returningVm->leavingSince = -1;
            returningVm->listed = true;
        });
        return;
    }
    case StepKind::DrainZone:
        changeProduction([&](Envelope &envelope) {
            if (!isZoneOut(envelope, zone)) {
                envelope.zonesOut.push_back(zone);
                m_zoneDrainedSince[zone] = m_now;
            }
        });
        return;
    case StepKind::RestoreZone:
        m_zoneDrainedSince.erase(zone);
        changeProduction([&](Envelope &envelope) { std::erase(envelope.zonesOut, zone); });
        return;
    case StepKind::ChangeDocument:
        changeProduction([&](Envelope &envelope) {
            envelope.environment.organisations[0].weight = 1 + step.durationMs % 9;
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
        runUntil(m_now + 200 + randomUpTo(m_options.maxExtraStepDelay.count()));
    }
    runUntil(m_now + 14'000);
    m_messageFaultsEnded = true;
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone)
        apply({StepKind::RestoreZone, zone, 0});
    runUntil(m_now + settleTimeMs);
    checkSettled();
}

} // namespace bramleypitch::test
