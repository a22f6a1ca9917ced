#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"
#include "coordination/retry_budget.h"

#include <functional>
#include <map>

namespace bramleypitch {

/// Where a call to a plain service stands.
enum class CallPhase {
    Claiming, ///< Runs at most once; the ledger has not granted it yet.
    Waiting, ///< For a backend server with room.
    Running,
};

/// A call to a plain service from its arrival to its final answer.
struct ServiceCall
{
    ServiceAsked asked;
    OrganisationId organisation;
    bool once = false; ///< May run at most once.
    CallPhase phase = CallPhase::Waiting;
    TimePoint deadline;
    LedgerRequest claim; ///< For calls that may run at most once.
    OperationId ledgerOperation; ///< The claim request under way.
    TimePoint ledgerAskAgainAt;
    std::uint32_t ledgerTries = 0;
    AttemptNumber attempt;
    std::uint32_t retries = 0;
    bool mayHaveRun = false;
    GroupId server; ///< Of the running attempt.
    GroupIndex serverIndex;
    VmId vm;
};

/// A Record or Abandon that is sent until the ledger confirms it.
struct LedgerNotice
{
    LedgerRequest request;
    OperationId operation;
    std::uint32_t tries = 0;
    TimePoint askAgainAt;
    TimePoint giveUpAt;
};

/// Routes calls to plain services. A call that may run at most once is sent only after its claim
/// is durable in the ledger, by the one node that was granted it, and only once; every other call
/// may be repeated within its retry limit and budget.
class ServiceSystem
{
public:
    /// Asks the ledger; the answer comes back through ledgerAnswered(). `tries` counts what was
    /// asked before for the same purpose: any node can act as owner, so each try asks another.
    using LedgerHook = std::function<void(OperationId operation, const LedgerRequest &request,
                                          std::uint32_t tries, TimePoint now, Actions &actions)>;

    ServiceSystem(NodeState &state, LedgerHook askLedger);

    void asked(const ServiceAsked &asked, TimePoint now, Actions &actions);
    void ledgerAnswered(OperationId operation, const LedgerReply &reply, TimePoint now,
                        Actions &actions);
    void answered(const ServiceAnswered &answered, TimePoint now, Actions &actions);
    bool broken(const AttemptBroken &broken, TimePoint now, Actions &actions);
    bool callerGone(RequestId request, TimePoint now, Actions &actions);
    void tick(TimePoint now, Actions &actions);

    /// Calls not yet answered, and outcomes not yet recorded.
    std::size_t open() const { return m_calls.size() + m_notices.size(); }

private:
    std::optional<Refuse> admission(const ServiceAsked &asked, const OrganisationSpec *organisation,
                                    const ServiceSpec *service, TimePoint now) const;
    std::optional<Refuse> checkKey(const ServiceAsked &asked) const;
    void askClaim(ServiceCall &call, TimePoint now, Actions &actions);
    void claimAnswered(ServiceCall &call, const LedgerReply &reply, TimePoint now,
                       Actions &actions);
    void notify(LedgerRequest request, LedgerVerb verb, TimePoint now, Actions &actions);
    /// Whether a broken attempt may be followed by another; takes from the retry budget.
    bool mayRetry(const ServiceCall &call, const AttemptBroken &broken, TimePoint now);
    /// Ends a call at its deadline.
    void expire(ServiceCall &call, TimePoint now, Actions &actions);
    void repeatNotices(TimePoint now, Actions &actions);
    void askNotice(LedgerNotice &notice, TimePoint now, Actions &actions);
    void send(ServiceCall &call, TimePoint now, Actions &actions);
    void pump(TimePoint now, Actions &actions);
    void endAttempt(const ServiceCall &call, AttemptEnd end, TimePoint now);
    void refuse(const ServiceCall &call, ErrorCode code, const std::string &message, RunOutcome run,
                std::optional<Duration> retryAfter, Actions &actions);
    /// Ends a call that was never sent: frees its claim and refuses it.
    void giveUpUnsent(ServiceCall &call, ErrorCode code, const std::string &message, TimePoint now,
                      Actions &actions);
    void erase(RequestId request);
    Group *serverOf(const ServiceCall &call);

    NodeState &m_state;
    LedgerHook m_askLedger;
    std::map<RequestId, ServiceCall> m_calls;
    std::map<OperationId, RequestId> m_claims; ///< Claim requests under way.
    std::vector<LedgerNotice> m_notices;
    std::map<ServiceId, RetryBudget> m_retries;
};

} // namespace bramleypitch
