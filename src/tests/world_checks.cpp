#include "coordination/environment_func.h"
#include "coordination/placement_func.h"
#include "world.h"

#include <set>

namespace bramleypitch::test {

namespace {

/// Maximum age in milliseconds of a member's confirmation when its group is dispatched to.
constexpr std::int64_t memberFreshness = 1'500;
/// Time in milliseconds that nodes have to react where a promise says "within a few seconds".
constexpr std::int64_t reactionTimeLimit = 4'000;
/// Time in milliseconds after which nodes know that a VM is cold: the maximum age of its
/// confirmation plus the usual maximum delay of a message.
constexpr std::int64_t coldDetectionTimeLimit = 2'000;
/// Time limit of an answer in milliseconds: the longest deadline of the document plus one second.
constexpr std::int64_t answerTimeLimit = 7'000;
constexpr std::uint32_t coldAllowance = 1;

} // namespace

void World::reportViolation(const std::string &promise, const std::string &what)
{
    m_violations.push_back({promise, what + " at " + std::to_string(m_now)});
}

void World::recordServing(VmSlot &vm)
{
    if (vm.report.state == EngineState::Ready)
        vm.lastServedAt[{vm.report.group, vm.report.generation}] = m_now;
}

void World::checkDispatch(std::uint32_t node, const DispatchCompletion &dispatch)
{
    ++m_dispatchCount;
    const VmSlot *head = findVm(dispatch.address);
    for (const VmId &member : m_allPlacedGroups.at(dispatch.group).members) {
        VmSlot *vm = findVm(Address(member.value()));
        const auto served = vm->lastServedAt.find({dispatch.group, dispatch.generation});
        if (served == vm->lastServedAt.end() || served->second < m_now - memberFreshness)
            reportViolation("whole group",
                            dispatch.group.value() + " was dispatched to without "
                                + member.value());
        if (dispatch.generation.value() < vm->highestDispatched)
            reportViolation("one group a VM",
                            member.value() + " was dispatched to for an older group");
        vm->highestDispatched = std::max(vm->highestDispatched, dispatch.generation.value());
        const bool nodeInformed = m_nodes[node].platformCutUntil < m_now - reactionTimeLimit
            && m_outageUntil < m_now - reactionTimeLimit;
        if (vm->leavingSince >= 0 && nodeInformed && m_now - vm->leavingSince > reactionTimeLimit)
            reportViolation("leaving server", member.value() + " received a new completion");
    }
    const auto drained = m_zoneDrainedSince.find(head->record.zone);
    const bool platformHealthy = m_outageUntil < m_now - reactionTimeLimit;
    if (drained != m_zoneDrainedSince.end() && platformHealthy
        && m_now - drained->second > reactionTimeLimit)
        reportViolation("zone out",
                        head->record.zone.value() + " received a new completion from n"
                            + std::to_string(node));
}

void World::checkColdAllowance(const VmSlot &vm)
{
    const bool cold = vm.report.completed < m_options.warmAfter;
    if (cold && vm.running >= coldAllowance && m_now - vm.coldSince > coldDetectionTimeLimit)
        reportViolation("cold server",
                        vm.record.id.value() + " received more than its cold allowance");
}

void World::checkPlacement(const std::string &key, const std::string &value)
{
    if (key.rfind(placementKey(DomainId()), 0) != 0)
        return;
    std::set<VmId> seen;
    for (const PlacedGroup &group : parsePlacement(value).groups) {
        m_allPlacedGroups[group.id] = group;
        for (const VmId &member : group.members) {
            if (!seen.insert(member).second)
                reportViolation("one group a VM", member.value() + " is placed in two groups");
        }
    }
}

void World::checkService(std::uint32_t node, const DispatchServiceCall &dispatch)
{
    const VmSlot *vm = findVm(dispatch.address);
    const auto drained = m_zoneDrainedSince.find(vm->record.zone);
    const bool platformHealthy = m_outageUntil < m_now - reactionTimeLimit;
    if (drained != m_zoneDrainedSince.end() && platformHealthy
        && m_now - drained->second > reactionTimeLimit)
        reportViolation("zone out", vm->record.zone.value() + " received a new service call");
    const bool nodeInformed =
        m_nodes[node].platformCutUntil < m_now - reactionTimeLimit && platformHealthy;
    if (vm->leavingSince >= 0 && nodeInformed && m_now - vm->leavingSince > reactionTimeLimit)
        reportViolation("leaving server", vm->record.id.value() + " received a new service call");
    if (m_callerRequests.at(dispatch.request.value()).paymentKey != dispatch.idempotencyKey)
        reportViolation("whole answer", "a service call was sent with the key of another call");
}

void World::checkToken(std::uint32_t, const ForwardToken &token)
{
    CallerRequest &callerRequest = m_callerRequests.at(token.request.value());
    if (callerRequest.ended)
        reportViolation("whole answer", "a token arrived after the final answer");
    if (token.text != tokenText(callerRequest.prompt, callerRequest.delivered))
        reportViolation("whole answer",
                        "got " + token.text + " for token "
                            + std::to_string(callerRequest.delivered) + " of "
                            + callerRequest.prompt);
    ++callerRequest.delivered;
}

void World::checkEnd(const ForwardEnd &end)
{
    CallerRequest &callerRequest = m_callerRequests.at(end.request.value());
    if (callerRequest.delivered != callerRequest.maxTokens || callerRequest.ended)
        reportViolation("whole answer",
                        callerRequest.prompt + " ended after "
                            + std::to_string(callerRequest.delivered));
    callerRequest.ended = true;
    ++m_completionsAnswered;
}

void World::checkRefusal(const Refuse &refuse)
{
    CallerRequest &callerRequest = m_callerRequests.at(refuse.request.value());
    if (callerRequest.ended)
        reportViolation("whole answer", "a refusal arrived after the final answer");
    callerRequest.ended = true;
    if (refuse.run == RunOutcome::NotRun)
        m_refusedAsNotRun.push_back(refuse.request.value());
}

void World::checkRevision(std::uint32_t node, std::int64_t revision)
{
    NodeSlot &slot = m_nodes[node];
    if (revision <= slot.highestRevision)
        reportViolation("configuration",
                        "n" + std::to_string(node) + " reverted to configuration revision "
                            + std::to_string(revision));
    slot.highestRevision = revision;
}

void World::checkSettled()
{
    const std::string key = configurationKey(EnvironmentId("world"), Stage::Production);
    for (std::uint32_t node = 0; node < m_options.nodes; ++node) {
        const NodeSlot &slot = m_nodes[node];
        if (slot.node && !slot.stopping
            && slot.node->state().envelopeRevision.value() != m_store.at(key).revision)
            reportViolation("configuration",
                            "n" + std::to_string(node) + " does not have the newest configuration");
    }
    for (const std::uint64_t request : m_refusedAsNotRun) {
        if (m_requestRuns.count(request) > 0)
            reportViolation("not run",
                            "request " + std::to_string(request) + " reached a backend server");
        const std::string &payment = m_callerRequests.at(request).paymentKey;
        if (payment.empty())
            continue;
        // An earlier request with the same key must not have reached a backend server either.
        for (const auto &[earlier, callerRequest] : m_callerRequests) {
            if (earlier < request && callerRequest.paymentKey == payment
                && m_requestRuns.count(earlier))
                reportViolation("not run",
                                "key " + payment + " had already reached a backend server");
        }
    }
    // A node that was not restarted since has answered each request within the time limit.
    for (const auto &[id, callerRequest] : m_callerRequests) {
        const NodeSlot &slot = m_nodes[callerRequest.node];
        const bool isOverdue = m_now - callerRequest.requestedAt > answerTimeLimit;
        if (isOverdue && !callerRequest.ended && slot.instance == callerRequest.instance)
            reportViolation("whole answer",
                            "request " + std::to_string(id) + " was never answered");
    }
}

} // namespace bramleypitch::test
