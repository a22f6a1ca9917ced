#pragma once

#include "coordination/event_type.h"
#include "coordination/fair_queue.h"
#include "coordination/node_state.h"
#include "coordination/retry_budget.h"

#include <map>

namespace bramleypitch {

/// A completion request, from its arrival to the final response.
struct Completion
{
    RequestId id;
    OrganisationId organisation;
    ModelGroupId model;
    std::string engineModel; ///< Name of the model at the backend servers.
    std::string prompt;
    std::uint64_t affinity = 0; ///< Hash of the start of the prompt, used for routing.
    std::uint32_t maxTokens = 0;
    std::uint32_t maxAttempts = 1; ///< As configured when it was accepted.
    std::uint32_t priority = 0;
    TimePoint dispatchDeadline; ///< Rejected if not dispatched by this time.
    TimePoint deadline; ///< The whole response must be complete by this time.
    std::uint32_t delivered = 0; ///< Number of tokens sent to the caller.
    AttemptNumber attempt; ///< Number of the latest attempt; 0 before the first.
    bool running = false; ///< An attempt is running.
    bool mayHaveRun = false; ///< Some bytes of an attempt may have reached a backend server.
    GroupId group; ///< Group of the running attempt.
    GroupIndex groupIndex;
    VmId head; ///< VM at the head of that group.
    TimePoint dispatchedAt; ///< Time when the running attempt was sent.
    TimePoint lastTokenAt; ///< Time of the last token, or of the dispatch if there is none yet.
    std::uint32_t deliveredAtDispatch =
        0; ///< Value of `delivered` when the running attempt started.
};

/// Queues completions, dispatches them to groups whose members are all available, and resumes those
/// whose stream broke off on another group.
class CompletionSystem
{
public:
    explicit CompletionSystem(NodeState &state);

    /// Admits or rejects a new completion.
    void onCompletionRequested(const CompletionRequested &asked, TimePoint now, Actions &actions);
    /// Forwards a token to the caller. Tokens that were already delivered are dropped.
    void onToken(const EngineToken &token, TimePoint now, Actions &actions);
    /// Finishes a completion whose stream ended after all tokens were received.
    void onEngineEnd(const EngineEnd &end, TimePoint now, Actions &actions);
    /// Retries or fails the completion of a failed attempt. Returns false if the request is not a
    /// completion.
    bool onAttemptFailed(const AttemptFailed &failure, TimePoint now, Actions &actions);
    /// Cancels a completion whose caller disconnected. Returns false if the request is not a
    /// completion.
    bool onCallerDisconnected(RequestId request, TimePoint now, Actions &actions);
    /// Ends completions that are past their deadline and attempts that stalled, then dispatches
    /// waiting completions.
    void tick(TimePoint now, Actions &actions);
    /// Dispatches waiting completions while groups have free slots.
    void dispatchWaiting(TimePoint now, Actions &actions);

    /// Number of completions without a final response.
    std::size_t open() const { return m_completions.size(); }
    /// Number of completions of a model group that wait in its queue.
    std::size_t waiting(const ModelGroupId &model) const;

private:
    struct OrganisationLoad
    {
        std::uint32_t running = 0;
        RetryBudget retries;
    };
    struct ModelQueue
    {
        FairQueue queue;
        double averageServiceMillis =
            0; ///< Mean time from dispatch to end, smoothed; 0 if unknown.
    };

    /// Returns the reason to reject a new completion, or nothing if it is admitted.
    std::optional<Refuse> checkAdmission(const CompletionRequested &asked,
                                         const OrganisationSpec *organisation,
                                         const ModelGroupSpec *model, TimePoint now);
    /// Returns the reason to reject a completion because of the load, or nothing.
    std::optional<Refuse> checkLoad(const CompletionRequested &asked,
                                    const OrganisationSpec &organisation,
                                    const ModelGroupSpec &model, TimePoint now);
    /// Estimates how long a new completion of the organisation waits in the queue, given `slots`
    /// slots for the model group.
    double expectedWaitMillis(const OrganisationSpec &organisation, const ModelGroupSpec &model,
                              double slots);
    void dispatch(Completion &completion, GroupIndex index, TimePoint now, Actions &actions);
    void endAttempt(Completion &completion, AttemptOutcome end, TimePoint now);
    /// Lowers the priority of all groups in the fabric domain of a failed attempt.
    void avoidFailedDomain(const Completion &completion, TimePoint now);
    /// Queues a completion for a retry, or rejects it if no retry is allowed.
    void retryOrReject(Completion &completion, TimePoint now, Actions &actions);
    /// Removes a completion and rejects it with an error.
    void rejectCompletion(Completion &completion, ErrorCode code, const std::string &message,
                          Actions &actions);
    /// Ends a completion past its deadline, or its attempt if that has stalled and may be repeated.
    void endIfExpired(Completion &completion, TimePoint now, Actions &actions);
    /// Whether attempts and the retry budget are left for another attempt.
    bool mayRepeat(const Completion &completion) const;
    /// Whether the running attempt has not produced a token for too long.
    bool isStalled(const Completion &completion, TimePoint now);
    /// Returns the completion if `attempt` is its running attempt, or null. Counts a dropped frame
    /// for a null result.
    Completion *findRunning(RequestId request, AttemptNumber attempt);
    /// Returns the group of the running attempt, or null if it no longer exists.
    Group *runningGroup(const Completion &completion);
    FairQueue::Item queueItem(const Completion &completion) const;

    NodeState &m_state;
    std::map<RequestId, Completion> m_completions;
    std::map<OrganisationId, OrganisationLoad> m_organisations;
    std::map<ModelGroupId, ModelQueue> m_queues;
};

} // namespace bramleypitch
