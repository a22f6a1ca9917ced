// The engines and services of the simulated deployment.

#include "world.h"

#include <algorithm>

namespace bramleypitch::test {

namespace {

constexpr std::int64_t probeTimeoutMs = 500;
constexpr std::int64_t loadTimeMs = 300; ///< If the VM does not hold the weights yet.
constexpr std::int64_t tokenIntervalMs = 20;
constexpr std::int64_t refusalDelayMs = 3; ///< Of an engine that does not accept a dispatch.

} // namespace

World::VmSlot *World::findVm(const Address &address)
{
    for (VmSlot &vm : m_vms) {
        if (vm.record.address == address)
            return &vm;
    }
    return nullptr;
}

bool World::vmReachable(const NodeSlot &slot, const VmSlot &vm) const
{
    const bool cut = m_now < slot.domainCutUntil
        && vm.record.zone == ZoneId("z" + std::to_string(slot.cutDomain));
    return !cut && m_now >= vm.deadUntil;
}

void World::reboot(VmSlot &vm, bool keepOrder)
{
    const bool isService = vm.record.domain == DomainId("service/pay");
    const std::string held = vm.report.heldModel;
    ++vm.bootCount;
    vm.report.boot = BootId(vm.record.id.value() + "/" + std::to_string(vm.bootCount));
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
    const std::uint64_t instance = m_nodes[node].instance;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    const std::int64_t requestDelay = delay();
    after(requestDelay, [=, this] {
        VmSlot *vm = findVm(probe.address);
        const bool responds = vmReachable(m_nodes[node], *vm) && m_now >= vm->pausedUntil;
        const std::int64_t replyDelay = delay();
        if (!responds || requestDelay + replyDelay > probeTimeoutMs) {
            after(std::max<std::int64_t>(1, probeTimeoutMs - requestDelay), [=, this] {
                deliver(node, instance, ProbeDone {probe.vm, false, {}, sentAt});
            });
            return;
        }
        recordServing(*vm);
        VmReport report = vm->report;
        report.running = vm->running;
        after(replyDelay, [=, this] {
            deliver(node, instance, ProbeDone {probe.vm, true, report, sentAt});
        });
    });
}

void World::executeOrder(VmSlot &vm, const SendOrder &order)
{
    if (order.kind == OrderKind::Prefetch) {
        vm.report.heldModel = order.model;
        return;
    }
    const bool isLoad = order.kind == OrderKind::Load;
    vm.report.generation = order.generation;
    vm.report.group = isLoad ? order.group : GroupId();
    vm.report.state = isLoad ? EngineState::Loading : EngineState::Empty;
    ++vm.bootCount; // Ends the streams of the previous order.
    vm.running = 0;
    if (!isLoad)
        return;
    const bool held = vm.report.heldModel == order.model;
    vm.report.heldModel = order.model;
    const std::uint64_t bootCount = vm.bootCount;
    after(held ? tokenIntervalMs : loadTimeMs, [this, address = order.address, bootCount] {
        VmSlot *loaded = findVm(address);
        if (loaded->bootCount == bootCount && loaded->report.state == EngineState::Loading)
            loaded->report.state = EngineState::Ready;
    });
}

void World::act(std::uint32_t node, const SendOrder &order)
{
    const std::uint64_t instance = m_nodes[node].instance;
    after(delay(), [=, this] {
        VmSlot *vm = findVm(order.address);
        if (!vmReachable(m_nodes[node], *vm) || m_now < vm->pausedUntil)
            return;
        const bool isOlder = order.generation < vm->report.generation;
        const bool refused = isOlder && m_options.checksFencing;
        const bool isRepeat =
            order.generation == vm->report.generation && order.group == vm->report.group;
        if (!refused && (!isRepeat || order.kind == OrderKind::Prefetch))
            executeOrder(*vm, order);
        after(delay(), [=, this] {
            deliver(node, instance, OrderDone {order.operation, order.vm, !refused});
        });
    });
}

std::string World::tokenText(const std::string &prompt, std::uint32_t index)
{
    return prompt + "#" + std::to_string(index);
}

void World::act(std::uint32_t node, const DispatchCompletion &dispatch)
{
    checkDispatch(node, dispatch);
    const std::uint64_t instance = m_nodes[node].instance;
    after(delay(), [=, this] {
        VmSlot *vm = findVm(dispatch.address);
        if (!vmReachable(m_nodes[node], *vm)) {
            deliver(node, instance,
                    AttemptFailed {dispatch.request, dispatch.attempt, false, false});
            return;
        }
        ++m_requestRuns[dispatch.request.value()];
        const bool current =
            vm->report.group == dispatch.group && vm->report.generation == dispatch.generation;
        const bool accepts =
            vm->report.state == EngineState::Ready && (current || !m_options.checksFencing);
        if (!accepts) {
            after(refusalDelayMs, [=, this] {
                deliver(node, instance,
                        AttemptFailed {dispatch.request, dispatch.attempt, true, true});
            });
            return;
        }
        checkColdAllowance(*vm);
        ++vm->running;
        runStream(node, instance, dispatch, vm->bootCount, dispatch.resumeFrom);
    });
}

void World::runStream(std::uint32_t node, std::uint64_t instance,
                      const DispatchCompletion &dispatch, std::uint64_t boot, std::uint32_t index)
{
    after(tokenIntervalMs, [=, this] {
        VmSlot *vm = findVm(dispatch.address);
        if (m_now < vm->pausedUntil) {
            runStream(node, instance, dispatch, boot, index);
            return;
        }
        const bool abandoned = m_nodes[node].instance != instance
            || m_cancelled.count({dispatch.request, dispatch.attempt}) > 0;
        if (vm->bootCount != boot || m_now < vm->deadUntil || abandoned) {
            if (vm->bootCount == boot && vm->running > 0)
                --vm->running;
            deliver(node, instance,
                    AttemptFailed {dispatch.request, dispatch.attempt, true, false});
            return;
        }
        const bool reachable = vmReachable(m_nodes[node], *vm);
        // Injects frames of another attempt and duplicate frames, as a faulty network or engine
        // may.
        if (reachable && !m_messageFaultsEnded && chance(0.03))
            deliver(node, instance,
                    EngineToken {dispatch.request, AttemptNumber(dispatch.attempt.value() - 1),
                                 index, "other attempt"});
        if (reachable && !m_messageFaultsEnded && index > 0 && chance(0.03))
            deliver(node, instance,
                    EngineToken {dispatch.request, dispatch.attempt, index - 1, "duplicate"});
        if (index < dispatch.maxTokens) {
            if (reachable)
                deliver(node, instance,
                        EngineToken {dispatch.request, dispatch.attempt, index,
                                     tokenText(dispatch.prompt, index)});
            runStream(node, instance, dispatch, boot, index + 1);
            return;
        }
        --vm->running;
        for (VmSlot &member : m_vms) {
            if (member.report.group == vm->report.group && !vm->report.group.value().empty())
                ++member.report.completed;
        }
        if (reachable)
            deliver(node, instance,
                    EngineEnd {dispatch.request, dispatch.attempt, dispatch.maxTokens});
    });
}

void World::act(std::uint32_t, const CancelAttempt &cancel)
{
    after(delay(), [=, this] { m_cancelled.insert({cancel.request, cancel.attempt}); });
}

void World::act(std::uint32_t node, const DispatchServiceCall &dispatch)
{
    checkService(node, dispatch);
    const std::uint64_t instance = m_nodes[node].instance;
    after(delay(), [=, this] {
        VmSlot *vm = findVm(dispatch.address);
        if (!vmReachable(m_nodes[node], *vm)) {
            deliver(node, instance,
                    AttemptFailed {dispatch.request, dispatch.attempt, false, false});
            return;
        }
        ++m_requestRuns[dispatch.request.value()];
        const std::uint32_t runs = ++m_paymentRuns[dispatch.idempotencyKey];
        if (runs > 1)
            reportViolation("payment once",
                            "key " + dispatch.idempotencyKey + " was executed again");
        if (!m_messageFaultsEnded && chance(0.05)) {
            after(delay(), [=, this] {
                deliver(node, instance,
                        AttemptFailed {dispatch.request, dispatch.attempt, true, false});
            });
            return;
        }
        CallOutcome outcome;
        outcome.status = 200;
        outcome.body = dispatch.idempotencyKey;
        after(delay() + 5, [=, this] {
            deliver(node, instance, ServiceResponded {dispatch.request, dispatch.attempt, outcome});
        });
    });
}

} // namespace bramleypitch::test
