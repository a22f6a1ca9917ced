#include "coordination/service_system.h"

#include "coordination/environment_func.h"
#include "coordination/ledger_func.h"
#include "coordination/refusal_func.h"
#include "coordination/route_func.h"
#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr Duration failureAvoidTime {1'000};
constexpr Duration ledgerRetryDelay {100}; ///< Pause after an Unavailable reply.
constexpr Duration noticeLifetime {60'000}; ///< How long a Record or Abandon is repeated.

/// Returns whether a call that this node has not sent may have run. Earlier attempts of the caller
/// with the same key count too. They are known only to the ledger and the caller.
RunOutcome runOutcomeIfUnsent(const ServiceRequested &asked)
{
    if (asked.idempotencyKey.empty() || asked.firstAttempt)
        return RunOutcome::NotRun;
    return RunOutcome::MayHaveRun;
}

Refuse makeUnsentRefusal(const ServiceRequested &asked, ErrorCode code, std::string message,
                         std::optional<Duration> retryAfter = std::nullopt)
{
    Refuse refuse = makeRefusal(asked.request, code, std::move(message), retryAfter);
    refuse.run = runOutcomeIfUnsent(asked);
    return refuse;
}

} // namespace

ServiceSystem::ServiceSystem(NodeState &state, LedgerHook sendLedgerRequest)
    : m_state(state)
    , m_sendLedgerRequest(std::move(sendLedgerRequest))
{
}

void ServiceSystem::onServiceRequested(const ServiceRequested &asked, TimePoint now,
                                       Actions &actions)
{
    m_state.counters.add(Counter::ServiceCallsAsked);
    const OrganisationSpec *organisation = m_state.envelope
        ? findOrganisationByKey(m_state.envelope->environment, asked.key)
        : nullptr;
    const ServiceSpec *service =
        m_state.envelope ? findService(m_state.envelope->environment, asked.service) : nullptr;
    if (std::optional<Refuse> refuse = checkAdmission(asked, organisation, service, now)) {
        m_state.counters.add(Counter::ServiceCallsRefused);
        actions.emplace_back(std::move(*refuse));
        return;
    }
    ServiceCall call;
    call.asked = asked;
    call.organisation = organisation->name;
    call.once = runsAtMostOnce(*service, asked.method, asked.path);
    call.deadline = now + service->deadline;
    m_retries[asked.service].addRequest();
    ServiceCall &stored = m_calls.emplace(asked.request, std::move(call)).first->second;
    if (!stored.once) {
        dispatchWaiting(now, actions);
        return;
    }
    stored.phase = CallPhase::Claiming;
    LedgerRequest &claim = stored.claim;
    claim.key = ledgerKey(organisation->name.value(), asked.service.value(), asked.idempotencyKey);
    claim.digest = callDigest(asked.method, asked.path, asked.body);
    claim.claim = ClaimId(
        m_state.options.node.value() + "/" + std::to_string(m_state.lease.incarnation.value()) + "/"
        + std::to_string(asked.request.value()) + "/" + std::to_string(m_state.random()));
    claim.when = m_state.wall;
    requestClaim(stored, now, actions);
}

std::optional<Refuse> ServiceSystem::checkAdmission(const ServiceRequested &asked,
                                                    const OrganisationSpec *organisation,
                                                    const ServiceSpec *service, TimePoint now) const
{
    if (std::optional<Refuse> refuse = nodeRefusal(m_state, now)) {
        refuse->request = asked.request;
        refuse->run = runOutcomeIfUnsent(asked);
        return refuse;
    }
    if (!organisation)
        return makeUnsentRefusal(asked, ErrorCode::Unauthorized,
                                 "API key does not belong to any organisation");
    if (!service)
        return makeUnsentRefusal(asked, ErrorCode::UnknownService,
                                 "unknown service: " + asked.service.value());
    const bool once = runsAtMostOnce(*service, asked.method, asked.path);
    if (once) {
        if (std::optional<Refuse> refuse = checkIdempotencyKey(asked))
            return refuse;
    }
    const auto openCalls = std::count_if(m_calls.begin(), m_calls.end(), [&](const auto &entry) {
        return entry.second.organisation == organisation->name;
    });
    if (static_cast<std::uint32_t>(openCalls) >= organisation->maxQueued)
        return makeUnsentRefusal(asked, ErrorCode::QueueFull,
                                 "the organisation has too many calls in progress",
                                 defaultRetryAfter);
    return std::nullopt;
}

std::optional<Refuse> ServiceSystem::checkIdempotencyKey(const ServiceRequested &asked) const
{
    if (asked.idempotencyKey.empty())
        return makeUnsentRefusal(
            asked, ErrorCode::IdempotencyKeyMissing,
            "this call may run at most once and requires an Idempotency-Key header");
    const std::optional<WallTime> created = creationTime(asked.idempotencyKey);
    const std::int64_t oldestCreation =
        m_state.wall.value() - m_state.options.ledger.retention.count();
    if (created && created->value() < oldestCreation) {
        Refuse refuse = makeUnsentRefusal(
            asked, ErrorCode::IdempotencyKeyExpired,
            "the idempotency key is older than the retention period of the ledger");
        refuse.run = RunOutcome::MayHaveRun;
        return refuse;
    }
    return std::nullopt;
}

void ServiceSystem::requestClaim(ServiceCall &call, TimePoint now, Actions &actions)
{
    m_claimRequests.erase(call.claimOperation);
    call.claimOperation = m_state.newOperation();
    call.claimRetryAt = now + m_state.options.ledgerRequestTimeout;
    m_claimRequests[call.claimOperation] = call.asked.request;
    m_sendLedgerRequest(call.claimOperation, call.claim, call.claimTries++, now, actions);
}

void ServiceSystem::onLedgerReply(OperationId operation, const LedgerReply &reply, TimePoint now,
                                  Actions &actions)
{
    const auto claim = m_claimRequests.find(operation);
    if (claim != m_claimRequests.end()) {
        const RequestId request = claim->second;
        m_claimRequests.erase(claim);
        onClaimReply(m_calls.at(request), reply, now, actions);
        return;
    }
    if (reply.answer == LedgerAnswer::Unavailable)
        return;
    m_notices.erase(
        std::remove_if(m_notices.begin(), m_notices.end(),
                       [&](const LedgerNotice &notice) { return notice.operation == operation; }),
        m_notices.end());
}

void ServiceSystem::onClaimReply(ServiceCall &call, const LedgerReply &reply, TimePoint now,
                                 Actions &actions)
{
    const RequestId request = call.asked.request;
    switch (reply.answer) {
    case LedgerAnswer::Granted:
    case LedgerAnswer::Recorded:
        call.phase = CallPhase::Waiting;
        dispatchWaiting(now, actions);
        return;
    case LedgerAnswer::Unavailable:
        // The same claim is requested again from another node, until the deadline.
        call.claimRetryAt = now + ledgerRetryDelay;
        m_state.counters.add(Counter::LedgerUnavailable);
        return;
    case LedgerAnswer::Repeat:
        m_state.counters.add(Counter::LedgerRepeats);
        m_state.counters.add(Counter::ServiceCallsAnswered);
        actions.emplace_back(ForwardServiceResponse {request, reply.outcome, true});
        break;
    case LedgerAnswer::InProgress:
        refuse(call, ErrorCode::InProgress,
               "the first call with this idempotency key has no outcome yet",
               RunOutcome::MayHaveRun, defaultRetryAfter, actions);
        break;
    case LedgerAnswer::KeyReused:
        refuse(call, ErrorCode::IdempotencyKeyReused,
               "the idempotency key was already used for a different call", RunOutcome::NotRun,
               std::nullopt, actions);
        break;
    case LedgerAnswer::Full:
        refuse(call, ErrorCode::LedgerFull, "the ledger is full", runOutcomeIfUnsent(call.asked),
               defaultRetryAfter, actions);
        break;
    }
    erase(request);
}

void ServiceSystem::startNotice(LedgerRequest request, LedgerVerb verb, TimePoint now,
                                Actions &actions)
{
    request.verb = verb;
    LedgerNotice notice;
    notice.request = std::move(request);
    notice.expiresAt = now + noticeLifetime;
    m_notices.push_back(std::move(notice));
    sendNotice(m_notices.back(), now, actions);
}

void ServiceSystem::sendNotice(LedgerNotice &notice, TimePoint now, Actions &actions)
{
    notice.operation = m_state.newOperation();
    notice.retryAt = now + m_state.options.ledgerRequestTimeout;
    m_sendLedgerRequest(notice.operation, notice.request, notice.tries++, now, actions);
}

Group *ServiceSystem::runningServer(const ServiceCall &call)
{
    // The index may have been reused for another server.
    Group *server = m_state.groups.find(call.serverIndex);
    return server && server->placed.id == call.server ? server : nullptr;
}

void ServiceSystem::dispatchWaiting(TimePoint now, Actions &actions)
{
    if (!m_state.envelope)
        return;
    for (auto &[request, call] : m_calls) {
        if (call.phase == CallPhase::Waiting)
            send(call, now, actions);
    }
}

void ServiceSystem::send(ServiceCall &call, TimePoint now, Actions &actions)
{
    if (now >= call.deadline)
        return; // The next tick ends the call.
    const std::optional<GroupIndex> index =
        chooseGroup(m_state, call.asked.service.value(), call.asked.request.value(), now);
    if (!index)
        return;
    Group &server = *m_state.groups.find(*index);
    const Vm &vm = *m_state.vms.find(server.placed.members.front());
    call.phase = CallPhase::Running;
    call.attempt = AttemptNumber(call.attempt.value() + 1);
    call.server = server.placed.id;
    call.serverIndex = *index;
    call.vm = vm.record.id;
    ++server.ownRunning;
    m_state.counters.add(Counter::AttemptsSent);
    DispatchServiceCall dispatch;
    dispatch.request = call.asked.request;
    dispatch.attempt = call.attempt;
    dispatch.vm = call.vm;
    dispatch.address = vm.record.address;
    dispatch.method = call.asked.method;
    dispatch.path = call.asked.path;
    dispatch.contentType = call.asked.contentType;
    dispatch.body = call.asked.body;
    dispatch.idempotencyKey = call.asked.idempotencyKey;
    dispatch.timeLimit = call.deadline - now;
    actions.emplace_back(std::move(dispatch));
}

void ServiceSystem::endAttempt(const ServiceCall &call, AttemptOutcome end, TimePoint now)
{
    if (Group *server = runningServer(call))
        onAttemptEnded(*server, end, now);
}

void ServiceSystem::onServiceResponse(const ServiceResponded &event, TimePoint now,
                                      Actions &actions)
{
    const auto found = m_calls.find(event.request);
    if (found == m_calls.end() || found->second.phase != CallPhase::Running
        || found->second.attempt != event.attempt) {
        m_state.counters.add(Counter::FramesDropped);
        return;
    }
    ServiceCall &call = found->second;
    endAttempt(call, AttemptOutcome::Completed, now);
    m_state.counters.add(Counter::ServiceCallsAnswered);
    actions.emplace_back(ForwardServiceResponse {event.request, event.outcome, false});
    if (call.once) {
        call.claim.outcome = event.outcome;
        if (call.claim.outcome.body.size() > maxOutcomeBytes) {
            call.claim.outcome.body.resize(maxOutcomeBytes);
            call.claim.outcome.cut = true;
        }
        startNotice(call.claim, LedgerVerb::Record, now, actions);
    }
    erase(event.request);
    dispatchWaiting(now, actions);
}

bool ServiceSystem::mayRetry(const ServiceCall &call, const AttemptFailed &failure, TimePoint now)
{
    const ServiceSpec *spec = findService(m_state.envelope->environment, call.asked.service);
    // Retrying a call that was not sent is always safe. A call that may have been sent is retried
    // only if running it twice is harmless.
    const bool repeatable = !call.once && call.asked.method != "POST";
    if (failure.sent && !repeatable)
        return false;
    if (!spec || call.retries >= spec->retryLimit || now >= call.deadline)
        return false;
    if (m_retries[call.asked.service].tryConsume())
        return true;
    m_state.counters.add(Counter::RetriesDenied);
    return false;
}

bool ServiceSystem::onAttemptFailed(const AttemptFailed &failure, TimePoint now, Actions &actions)
{
    const auto found = m_calls.find(failure.request);
    if (found == m_calls.end())
        return false;
    ServiceCall &call = found->second;
    if (call.phase != CallPhase::Running || call.attempt != failure.attempt) {
        m_state.counters.add(Counter::FramesDropped);
        return true;
    }
    m_state.counters.add(Counter::AttemptsBroken);
    if (Group *server = runningServer(call))
        server->avoidUntil = now + failureAvoidTime;
    m_state.vms.suspect(call.vm, now);
    endAttempt(call, failure.sent ? AttemptOutcome::NoResponse : AttemptOutcome::NotSent, now);
    call.mayHaveRun = call.mayHaveRun || failure.sent;
    if (mayRetry(call, failure, now)) {
        ++call.retries;
        call.phase = CallPhase::Waiting;
        m_state.counters.add(Counter::ServiceCallsRetried);
        dispatchWaiting(now, actions);
        return true;
    }
    if (!call.mayHaveRun) {
        rejectUnsent(call, ErrorCode::BackendFailed, "no backend server could be reached", now,
                     actions);
        return true;
    }
    refuse(call, ErrorCode::BackendFailed, "the backend server did not send a complete response",
           RunOutcome::MayHaveRun, defaultRetryAfter, actions);
    erase(failure.request);
    return true;
}

bool ServiceSystem::onCallerDisconnected(RequestId request, TimePoint now, Actions &actions)
{
    const auto found = m_calls.find(request);
    if (found == m_calls.end())
        return false;
    ServiceCall &call = found->second;
    // A call that was sent and may run at most once continues, so that its outcome is recorded.
    if (call.once && call.phase == CallPhase::Running)
        return true;
    m_state.counters.add(Counter::CallersGone);
    if (call.phase == CallPhase::Running) {
        actions.emplace_back(CancelAttempt {request, call.attempt});
        endAttempt(call, AttemptOutcome::NoResponse, now);
    }
    if (call.once)
        startNotice(call.claim, LedgerVerb::Abandon, now, actions);
    erase(request);
    return true;
}

void ServiceSystem::refuse(const ServiceCall &call, ErrorCode code, const std::string &message,
                           RunOutcome run, std::optional<Duration> retryAfter, Actions &actions)
{
    m_state.counters.add(Counter::ServiceCallsRefused);
    Refuse refuse = makeUnsentRefusal(call.asked, code, message, retryAfter);
    refuse.run = run;
    actions.emplace_back(std::move(refuse));
}

void ServiceSystem::rejectUnsent(ServiceCall &call, ErrorCode code, const std::string &message,
                                 TimePoint now, Actions &actions)
{
    RunOutcome run = RunOutcome::NotRun;
    // Until the ledger replies, an earlier request with this key may have run.
    if (call.once && call.phase == CallPhase::Claiming)
        run = runOutcomeIfUnsent(call.asked);
    refuse(call, code, message, run, defaultRetryAfter, actions);
    if (call.once)
        startNotice(call.claim, LedgerVerb::Abandon, now, actions);
    erase(call.asked.request);
}

void ServiceSystem::erase(RequestId request)
{
    const auto found = m_calls.find(request);
    m_claimRequests.erase(found->second.claimOperation);
    m_calls.erase(found);
}

void ServiceSystem::endIfExpired(ServiceCall &call, TimePoint now, Actions &actions)
{
    if (call.phase == CallPhase::Running) {
        actions.emplace_back(CancelAttempt {call.asked.request, call.attempt});
        endAttempt(call, AttemptOutcome::NoResponse, now);
        call.mayHaveRun = true;
    }
    if (call.mayHaveRun) {
        refuse(call, ErrorCode::DeadlineExceeded,
               "the response was not complete before the deadline", RunOutcome::MayHaveRun,
               defaultRetryAfter, actions);
        erase(call.asked.request);
    } else if (call.phase == CallPhase::Claiming) {
        rejectUnsent(call, ErrorCode::LedgerUnavailable,
                     "the ledger gave no definite reply before the deadline", now, actions);
    } else {
        rejectUnsent(call, ErrorCode::NoCapacity,
                     "no backend server had a free slot before the deadline", now, actions);
    }
}

void ServiceSystem::retryNotices(TimePoint now, Actions &actions)
{
    for (LedgerNotice &notice : m_notices) {
        if (now >= notice.retryAt)
            sendNotice(notice, now, actions);
    }
    std::erase_if(m_notices, [&](const LedgerNotice &notice) { return now >= notice.expiresAt; });
}

void ServiceSystem::tick(TimePoint now, Actions &actions)
{
    std::vector<RequestId> requests;
    requests.reserve(m_calls.size());
    for (const auto &[request, call] : m_calls)
        requests.push_back(request);
    for (const RequestId request : requests) {
        ServiceCall &call = m_calls.at(request);
        if (now >= call.deadline)
            endIfExpired(call, now, actions);
        else if (call.phase == CallPhase::Claiming && now >= call.claimRetryAt)
            requestClaim(call, now, actions);
    }
    retryNotices(now, actions);
    dispatchWaiting(now, actions);
}

} // namespace bramleypitch
