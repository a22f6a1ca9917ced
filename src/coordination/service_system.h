#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"
#include "coordination/retry_budget.h"

#include <functional>
#include <map>

namespace bramleypitch {

/// State of a call to a plain service.
enum class CallPhase {
    Claiming, ///< Waits for the ledger to grant its claim.
    Waiting, ///< Waits for a backend server with a free slot.
    Running, ///< Sent to a backend server.
};

/// A call to a plain service, from its arrival to the final response.
struct ServiceCall
{
    ServiceRequested asked;
    OrganisationId organisation;
    bool once = false; ///< The call may run at most once.
    CallPhase phase = CallPhase::Waiting;
    TimePoint deadline;
    LedgerRequest claim; ///< For calls that may run at most once.
    OperationId claimOperation; ///< The claim request in progress.
    TimePoint claimRetryAt; ///< Time when the claim request is repeated.
    std::uint32_t claimTries = 0; ///< Number of claim requests sent.
    AttemptNumber attempt; ///< Number of the latest attempt; 0 before the first.
    std::uint32_t retries = 0; ///< Number of attempts after the first.
    bool mayHaveRun = false; ///< Some bytes of an attempt may have reached a backend server.
    GroupId server; ///< Backend server of the running attempt.
    GroupIndex serverIndex;
    VmId vm; ///< VM of that backend server.
};

/// A Record or Abandon request that is repeated until the ledger confirms it.
struct LedgerNotice
{
    LedgerRequest request;
    OperationId operation;
    std::uint32_t tries = 0; ///< Number of requests sent.
    TimePoint retryAt; ///< Time when the request is repeated.
    TimePoint expiresAt; ///< The request is dropped at this time.
};

/// Routes calls to plain services. A call that may run at most once is sent only after its claim is
/// durable in the ledger, only by the node to which the claim was granted, and only once. All other
/// calls may be retried within their retry limit and the retry budget.
class ServiceSystem
{
public:
    /// Sends a request to the ledger; the reply is passed to onLedgerReply(). `tries` is the
    /// number of earlier tries of the same request. Any node can act as owner, so each try goes to
    /// another node.
    using LedgerHook = std::function<void(OperationId operation, const LedgerRequest &request,
                                          std::uint32_t tries, TimePoint now, Actions &actions)>;

    ServiceSystem(NodeState &state, LedgerHook sendLedgerRequest);

    /// Admits or rejects a new call.
    void onServiceRequested(const ServiceRequested &asked, TimePoint now, Actions &actions);
    /// Handles the reply to a ledger request of this system.
    void onLedgerReply(OperationId operation, const LedgerReply &reply, TimePoint now,
                       Actions &actions);
    /// Forwards the response of a backend server to the caller, and records it for calls that may
    /// run at most once.
    void onServiceResponse(const ServiceResponded &event, TimePoint now, Actions &actions);
    /// Retries or fails the call of a failed attempt. Returns false if the request is not a service
    /// call.
    bool onAttemptFailed(const AttemptFailed &failure, TimePoint now, Actions &actions);
    /// Handles a caller that disconnected. Returns false if the request is not a service call.
    bool onCallerDisconnected(RequestId request, TimePoint now, Actions &actions);
    /// Ends calls past their deadline, repeats ledger requests and sends waiting calls.
    void tick(TimePoint now, Actions &actions);

    /// Number of calls without a response plus ledger notices that are not confirmed yet.
    std::size_t open() const { return m_calls.size() + m_notices.size(); }

private:
    /// Returns the reason to reject a new call, or nothing if it is admitted.
    std::optional<Refuse> checkAdmission(const ServiceRequested &asked,
                                         const OrganisationSpec *organisation,
                                         const ServiceSpec *service, TimePoint now) const;
    /// Returns the reason to reject the idempotency key of a call, or nothing if it is valid.
    std::optional<Refuse> checkIdempotencyKey(const ServiceRequested &asked) const;
    /// Sends or repeats the claim request of a call.
    void requestClaim(ServiceCall &call, TimePoint now, Actions &actions);
    /// Handles the reply to a claim request.
    void onClaimReply(ServiceCall &call, const LedgerReply &reply, TimePoint now, Actions &actions);
    /// Creates a ledger notice and sends it for the first time.
    void startNotice(LedgerRequest request, LedgerVerb verb, TimePoint now, Actions &actions);
    /// Whether a failed attempt may be retried. If so, consumes a retry of the budget.
    bool mayRetry(const ServiceCall &call, const AttemptFailed &failure, TimePoint now);
    /// Ends a call that has reached its deadline.
    void endIfExpired(ServiceCall &call, TimePoint now, Actions &actions);
    /// Repeats unconfirmed ledger notices that are due, and drops those past their lifetime.
    void retryNotices(TimePoint now, Actions &actions);
    /// Sends or repeats a ledger notice.
    void sendNotice(LedgerNotice &notice, TimePoint now, Actions &actions);
    /// Sends a waiting call to a backend server if one has a free slot.
    void send(ServiceCall &call, TimePoint now, Actions &actions);
    /// Sends waiting calls while backend servers have free slots.
    void dispatchWaiting(TimePoint now, Actions &actions);
    void endAttempt(const ServiceCall &call, AttemptOutcome end, TimePoint now);
    void refuse(const ServiceCall &call, ErrorCode code, const std::string &message, RunOutcome run,
                std::optional<Duration> retryAfter, Actions &actions);
    /// Ends a call that was never sent: abandons its claim and rejects it.
    void rejectUnsent(ServiceCall &call, ErrorCode code, const std::string &message, TimePoint now,
                      Actions &actions);
    void erase(RequestId request);
    /// Returns the backend server of the running attempt, or null if it no longer exists.
    Group *runningServer(const ServiceCall &call);

    NodeState &m_state;
    LedgerHook m_sendLedgerRequest;
    std::map<RequestId, ServiceCall> m_calls;
    std::map<OperationId, RequestId> m_claimRequests; ///< Claim requests in progress.
    std::vector<LedgerNotice> m_notices;
    std::map<ServiceId, RetryBudget> m_retries;
};

} // namespace bramleypitch
