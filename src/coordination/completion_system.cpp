#include "coordination/completion_system.h"

#include "coordination/environment_func.h"
#include "coordination/refusal_func.h"
#include "coordination/route_func.h"
#include "core/rendezvous_func.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// Length of the prompt prefix whose hash is the affinity, so that prefix caches are hit.
constexpr std::size_t affinityPrefixBytes = 256;
constexpr Duration failureAvoidTime {1'000};
constexpr double serviceTimeSmoothing = 0.1;

/// How the running attempt ends if it is cancelled now.
AttemptOutcome cancelledAttemptEnd(const Completion &completion)
{
    return completion.delivered > completion.deliveredAtDispatch ? AttemptOutcome::Abandoned
                                                                 : AttemptOutcome::NoResponse;
}

} // namespace

CompletionSystem::CompletionSystem(NodeState &state)
    : m_state(state)
{
}

void CompletionSystem::onCompletionRequested(const CompletionRequested &asked, TimePoint now,
                                             Actions &actions)
{
    m_state.counters.add(Counter::CompletionsAsked);
    const OrganisationSpec *organisation = m_state.envelope
        ? findOrganisationByKey(m_state.envelope->environment, asked.key)
        : nullptr;
    const ModelGroupSpec *model =
        m_state.envelope ? findModelGroup(m_state.envelope->environment, asked.model) : nullptr;
    if (std::optional<Refuse> refuse = checkAdmission(asked, organisation, model, now)) {
        refuse->request = asked.request;
        m_state.counters.add(Counter::CompletionsRefused);
        actions.emplace_back(std::move(*refuse));
        return;
    }
    Completion completion;
    completion.id = asked.request;
    completion.organisation = organisation->name;
    completion.model = asked.model;
    completion.engineModel = model->model;
    completion.prompt = asked.prompt;
    completion.affinity = stableHash(std::string_view(asked.prompt).substr(0, affinityPrefixBytes));
    completion.maxTokens = asked.maxTokens;
    completion.maxAttempts = model->maxAttempts;
    completion.priority = asked.priority;
    completion.dispatchDeadline =
        now + asked.firstTokenDeadline.value_or(model->firstTokenDeadline);
    completion.deadline = now + model->deadline;
    m_organisations[organisation->name].retries.addRequest();
    m_queues[asked.model].queue.push(organisation->name, organisation->weight,
                                     queueItem(completion));
    m_completions.emplace(asked.request, std::move(completion));
    dispatchWaiting(now, actions);
}

FairQueue::Item CompletionSystem::queueItem(const Completion &completion) const
{
    return {completion.id, static_cast<double>(completion.maxTokens), completion.priority};
}

std::optional<Refuse> CompletionSystem::checkAdmission(const CompletionRequested &asked,
                                                       const OrganisationSpec *organisation,
                                                       const ModelGroupSpec *model, TimePoint now)
{
    if (std::optional<Refuse> refuse = nodeRefusal(m_state, now))
        return refuse;
    if (!organisation)
        return makeRefusal(asked.request, ErrorCode::Unauthorized,
                           "API key does not belong to any organisation");
    if (!model)
        return makeRefusal(asked.request, ErrorCode::UnknownModel,
                           "unknown model group: " + asked.model.value());
    if (m_state.options.baselinePolicy)
        return std::nullopt;
    return checkLoad(asked, *organisation, *model, now);
}

std::optional<Refuse> CompletionSystem::checkLoad(const CompletionRequested &asked,
                                                  const OrganisationSpec &organisation,
                                                  const ModelGroupSpec &model, TimePoint now)
{
    const TargetCapacity capacity = targetCapacity(m_state, model.name.value(), now);
    if (capacity.slots == 0 && capacity.coldOnOtherNodes > 0) {
        m_state.counters.add(Counter::ColdRefusals);
        return makeRefusal(
            asked.request, ErrorCode::NoCapacity,
            "groups are in cold start and accept requests only through other entries",
            defaultRetryAfter);
    }
    if (capacity.openGroups == 0)
        return makeRefusal(asked.request, ErrorCode::NoCapacity, "no complete group is in service",
                           defaultRetryAfter);
    const std::size_t waiting = m_queues[model.name].queue.waiting(organisation.name);
    const double wait = expectedWaitMillis(organisation, model, capacity.slots);
    const Duration deadline = asked.firstTokenDeadline.value_or(model.firstTokenDeadline);
    const Duration excess = Duration(std::llround(wait)) - deadline;
    const Duration retryAfter = std::max(defaultRetryAfter, excess);
    if (waiting >= organisation.maxQueued)
        return makeRefusal(asked.request, ErrorCode::QueueFull,
                           "the organisation has too many requests in the queue", retryAfter);
    if (excess > Duration(0))
        return makeRefusal(asked.request, ErrorCode::DeadlineUnreachable,
                           "the response cannot start before the first-token deadline", retryAfter);
    return std::nullopt;
}

double CompletionSystem::expectedWaitMillis(const OrganisationSpec &organisation,
                                            const ModelGroupSpec &model, double slots)
{
    ModelQueue &entry = m_queues[model.name];
    const double waiting = static_cast<double>(entry.queue.waiting(organisation.name));
    const double active = entry.queue.activeWeight(organisation.name, organisation.weight);
    const double share = slots * organisation.weight / active;
    if (share <= 0)
        return 0;
    return waiting * entry.averageServiceMillis / share;
}

void CompletionSystem::dispatchWaiting(TimePoint now, Actions &actions)
{
    if (!m_state.envelope)
        return;
    const auto mayRun = [&](const OrganisationId &name) {
        for (const OrganisationSpec &spec : m_state.envelope->environment.organisations) {
            if (spec.name == name)
                return m_organisations[name].running < spec.maxRunning;
        }
        return true; // Requests of an organisation removed from the document still run.
    };
    for (auto &[model, entry] : m_queues) {
        while (entry.queue.waiting() > 0) {
            // The choice of a group depends on the request, so the request is popped first and put
            // back if no group has a free slot.
            const std::optional<FairQueue::Item> item = entry.queue.pop(mayRun);
            if (!item)
                break;
            Completion &completion = m_completions.at(item->request);
            const std::optional<GroupIndex> index =
                chooseGroup(m_state, model.value(), completion.affinity, now);
            if (!index) {
                entry.queue.pushRetry(completion.organisation, *item);
                break;
            }
            dispatch(completion, *index, now, actions);
        }
    }
}

void CompletionSystem::dispatch(Completion &completion, GroupIndex index, TimePoint now,
                                Actions &actions)
{
    Group &group = *m_state.groups.find(index);
    const Vm &head = *m_state.vms.find(group.placed.members.front());
    completion.attempt = AttemptNumber(completion.attempt.value() + 1);
    completion.running = true;
    completion.group = group.placed.id;
    completion.groupIndex = index;
    completion.head = head.record.id;
    completion.dispatchedAt = now;
    completion.lastTokenAt = now;
    completion.deliveredAtDispatch = completion.delivered;
    ++group.ownRunning;
    ++m_organisations[completion.organisation].running;
    m_state.counters.add(Counter::AttemptsSent);
    if (completion.delivered > 0)
        m_state.counters.add(Counter::CompletionsResumed);
    DispatchCompletion action;
    action.request = completion.id;
    action.attempt = completion.attempt;
    action.vm = head.record.id;
    action.address = head.record.address;
    action.group = group.placed.id;
    action.generation = group.placed.generation;
    action.model = completion.engineModel;
    action.prompt = completion.prompt;
    action.maxTokens = completion.maxTokens;
    action.resumeFrom = completion.delivered;
    action.priority = completion.priority;
    action.timeLimit = completion.deadline - now;
    actions.emplace_back(std::move(action));
}

Group *CompletionSystem::runningGroup(const Completion &completion)
{
    // The index may have been reused for another group.
    Group *group = m_state.groups.find(completion.groupIndex);
    return group && group->placed.id == completion.group ? group : nullptr;
}

Completion *CompletionSystem::findRunning(RequestId request, AttemptNumber attempt)
{
    const auto found = m_completions.find(request);
    if (found == m_completions.end() || !found->second.running
        || found->second.attempt != attempt) {
        m_state.counters.add(Counter::FramesDropped);
        return nullptr;
    }
    return &found->second;
}

void CompletionSystem::onToken(const EngineToken &token, TimePoint now, Actions &actions)
{
    Completion *completion = findRunning(token.request, token.attempt);
    if (!completion)
        return;
    if (token.index < completion->delivered) {
        m_state.counters.add(Counter::FramesDropped);
        return;
    }
    if (token.index > completion->delivered || completion->delivered >= completion->maxTokens) {
        // Missing or surplus tokens cannot be corrected within this attempt.
        actions.emplace_back(CancelAttempt {token.request, token.attempt});
        onAttemptFailed({token.request, token.attempt, true, false}, now, actions);
        return;
    }
    ++completion->delivered;
    completion->mayHaveRun = true;
    completion->lastTokenAt = now;
    m_state.counters.add(Counter::TokensDelivered);
    actions.emplace_back(ForwardToken {token.request, token.text});
}

void CompletionSystem::onEngineEnd(const EngineEnd &end, TimePoint now, Actions &actions)
{
    Completion *completion = findRunning(end.request, end.attempt);
    if (!completion)
        return;
    if (end.count != completion->delivered) {
        onAttemptFailed({end.request, end.attempt, true, false}, now, actions);
        return;
    }
    const Duration elapsed = now - completion->dispatchedAt;
    if (Group *group = runningGroup(*completion))
        updateTokenTime(*group, elapsed, completion->delivered - completion->deliveredAtDispatch);
    double &averageMillis = m_queues[completion->model].averageServiceMillis;
    const auto millis = static_cast<double>(elapsed.count());
    averageMillis = averageMillis == 0
        ? millis
        : averageMillis + serviceTimeSmoothing * (millis - averageMillis);
    endAttempt(*completion, AttemptOutcome::Completed, now);
    m_state.counters.add(Counter::CompletionsWhole);
    actions.emplace_back(ForwardEnd {end.request, completion->delivered});
    m_completions.erase(end.request);
    dispatchWaiting(now, actions);
}

void CompletionSystem::endAttempt(Completion &completion, AttemptOutcome end, TimePoint now)
{
    completion.running = false;
    if (Group *group = runningGroup(completion))
        onAttemptEnded(*group, end, now);
    --m_organisations[completion.organisation].running;
}

bool CompletionSystem::onAttemptFailed(const AttemptFailed &failure, TimePoint now,
                                       Actions &actions)
{
    const auto found = m_completions.find(failure.request);
    if (found == m_completions.end())
        return false;
    Completion &completion = found->second;
    if (!completion.running || completion.attempt != failure.attempt) {
        m_state.counters.add(Counter::FramesDropped);
        return true;
    }
    m_state.counters.add(Counter::AttemptsBroken);
    completion.mayHaveRun = completion.mayHaveRun || failure.sent;
    avoidFailedDomain(completion, now);
    // A failed attempt closes the serve gate of the group at once, until the next successful probe.
    // A server that refused the attempt itself is alive, so its gate stays open.
    if (!failure.refused)
        m_state.vms.suspect(completion.head, now);
    endAttempt(completion, failure.sent ? cancelledAttemptEnd(completion) : AttemptOutcome::NotSent,
               now);
    retryOrReject(completion, now, actions);
    dispatchWaiting(now, actions);
    return true;
}

void CompletionSystem::avoidFailedDomain(const Completion &completion, TimePoint now)
{
    // Groups in the same fabric domain tend to fail together, so the next attempt should go to
    // another domain.
    const Vm *head = m_state.vms.find(completion.head);
    for (const GroupIndex index : m_state.groups.groupsOfTarget(completion.model.value())) {
        Group *group = m_state.groups.find(index);
        const Vm *other = m_state.vms.find(group->placed.members.front());
        if (head && other && head->record.domain == other->record.domain)
            group->avoidUntil = now + failureAvoidTime;
    }
}

void CompletionSystem::retryOrReject(Completion &completion, TimePoint now, Actions &actions)
{
    if (completion.attempt.value() >= completion.maxAttempts || now >= completion.deadline) {
        rejectCompletion(completion, ErrorCode::BackendFailed, "all allowed attempts failed",
                         actions);
        return;
    }
    if (!m_organisations[completion.organisation].retries.tryConsume()) {
        m_state.counters.add(Counter::RetriesDenied);
        rejectCompletion(completion, ErrorCode::BackendFailed, "the retry budget is exhausted",
                         actions);
        return;
    }
    m_queues[completion.model].queue.pushRetry(completion.organisation, queueItem(completion));
}

void CompletionSystem::rejectCompletion(Completion &completion, ErrorCode code,
                                        const std::string &message, Actions &actions)
{
    const RequestId request = completion.id;
    m_queues[completion.model].queue.remove(completion.organisation, request);
    m_state.counters.add(completion.delivered > 0 ? Counter::CompletionsBroken
                                                  : Counter::CompletionsRefused);
    Refuse refuse = makeRefusal(request, code, message, defaultRetryAfter);
    refuse.run = completion.mayHaveRun ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
    m_completions.erase(request);
    actions.emplace_back(std::move(refuse));
}

bool CompletionSystem::onCallerDisconnected(RequestId request, TimePoint now, Actions &actions)
{
    const auto found = m_completions.find(request);
    if (found == m_completions.end())
        return false;
    Completion &completion = found->second;
    m_state.counters.add(Counter::CallersGone);
    m_queues[completion.model].queue.remove(completion.organisation, request);
    if (completion.running) {
        actions.emplace_back(CancelAttempt {request, completion.attempt});
        endAttempt(completion, cancelledAttemptEnd(completion), now);
    }
    m_completions.erase(found);
    dispatchWaiting(now, actions);
    return true;
}

bool CompletionSystem::isStalled(const Completion &completion, TimePoint now)
{
    if (!completion.running)
        return false;
    const Duration silence = now - completion.lastTokenAt;
    if (silence >= m_state.options.stallTimeout)
        return true;
    const Group *group = runningGroup(completion);
    if (!group)
        return silence >= m_state.options.memberMissingStallTimeout;
    const GateState gate =
        gateState(*group, m_state.vms, *m_state.envelope, m_state.options.placement, now);
    return gate == GateState::MemberMissing && silence >= m_state.options.memberMissingStallTimeout;
}

bool CompletionSystem::mayRepeat(const Completion &completion) const
{
    const auto organisation = m_organisations.find(completion.organisation);
    return completion.attempt.value() < completion.maxAttempts
        && organisation != m_organisations.end() && organisation->second.retries.permitsRetry();
}

void CompletionSystem::endIfExpired(Completion &completion, TimePoint now, Actions &actions)
{
    if (!completion.running && completion.attempt.value() == 0
        && now >= completion.dispatchDeadline) {
        rejectCompletion(completion, ErrorCode::DeadlineUnreachable,
                         "no group had a free slot before the first-token deadline", actions);
        return;
    }
    // If no other attempt may follow, the silent server is waited for: it may go on.
    if (now < completion.deadline && isStalled(completion, now) && mayRepeat(completion)) {
        const RequestId request = completion.id;
        const AttemptNumber attempt = completion.attempt;
        actions.emplace_back(CancelAttempt {request, attempt});
        onAttemptFailed({request, attempt, true, false}, now, actions);
        return;
    }
    if (now < completion.deadline)
        return;
    if (completion.running) {
        actions.emplace_back(CancelAttempt {completion.id, completion.attempt});
        completion.mayHaveRun = true;
        endAttempt(completion, cancelledAttemptEnd(completion), now);
    }
    rejectCompletion(completion, ErrorCode::DeadlineExceeded,
                     "the response was not complete before the deadline", actions);
}

void CompletionSystem::tick(TimePoint now, Actions &actions)
{
    std::vector<RequestId> requests;
    for (const auto &[request, completion] : m_completions)
        requests.push_back(request);
    for (const RequestId request : requests) {
        const auto found = m_completions.find(request);
        if (found != m_completions.end())
            endIfExpired(found->second, now, actions);
    }
    dispatchWaiting(now, actions);
}

std::size_t CompletionSystem::waiting(const ModelGroupId &model) const
{
    const auto found = m_queues.find(model);
    return found == m_queues.end() ? 0 : found->second.queue.waiting();
}

} // namespace bramleypitch
