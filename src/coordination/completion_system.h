#pragma once

#include "coordination/event_type.h"
#include "coordination/fair_queue.h"
#include "coordination/node_state.h"
#include "coordination/retry_budget.h"

#include <map>

namespace bramleypitch {

/// A completion from its arrival to its final answer.
struct Completion
{
    RequestId id;
    OrganisationId organisation;
    ModelGroupId model;
    std::string prompt;
    std::uint64_t affinity = 0; ///< Hash of the prompt's beginning.
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0;
    TimePoint startBy; ///< Refused if not dispatched by then.
    TimePoint deadline;
    std::uint32_t delivered = 0; ///< Tokens the caller has.
    AttemptNumber attempt; ///< The newest attempt; 0 before the first.
    bool running = false;
    bool mayHaveRun = false; ///< A byte of some attempt may have reached a backend server.
    GroupId group; ///< Of the running attempt.
    GroupIndex groupIndex;
    VmId head;
    TimePoint dispatchedAt;
    TimePoint lastTokenAt; ///< Or when the running attempt was sent.
    std::uint32_t deliveredBefore = 0; ///< `delivered` when the running attempt began.
};

/// Queues completions, sends them to whole groups, and resumes those whose stream broke.
class CompletionSystem
{
public:
    explicit CompletionSystem(NodeState &state);

    void asked(const CompletionAsked &asked, TimePoint now, Actions &actions);
    void token(const EngineToken &token, TimePoint now, Actions &actions);
    void end(const EngineEnd &end, TimePoint now, Actions &actions);
    /// False if the request is none of this system's.
    bool broken(const AttemptBroken &broken, TimePoint now, Actions &actions);
    bool callerGone(RequestId request, TimePoint now, Actions &actions);
    /// Ends what is past its deadline, then sends what can be sent.
    void tick(TimePoint now, Actions &actions);
    /// Sends waiting completions while groups have room.
    void pump(TimePoint now, Actions &actions);

    /// Completions not yet finally answered.
    std::size_t open() const { return m_completions.size(); }
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
        double serviceMillis = 0; ///< Smoothed time from dispatch to end; 0 before the first.
    };

    std::optional<Refuse> admission(const CompletionAsked &asked,
                                    const OrganisationSpec *organisation,
                                    const ModelGroupSpec *model, TimePoint now);
    std::optional<Refuse> admissionByLoad(const CompletionAsked &asked,
                                          const OrganisationSpec &organisation,
                                          const ModelGroupSpec &model, TimePoint now);
    double expectedWaitMillis(const OrganisationSpec &organisation, const ModelGroupSpec &model,
                              double slots);
    void dispatch(Completion &completion, GroupIndex index, TimePoint now, Actions &actions);
    void endAttempt(Completion &completion, AttemptEnd end, TimePoint now);
    void avoidDomain(const Completion &completion, TimePoint now);
    void retryOrGiveUp(Completion &completion, TimePoint now, Actions &actions);
    void giveUp(Completion &completion, ErrorCode code, const std::string &message,
                Actions &actions);
    void expire(Completion &completion, TimePoint now, Actions &actions);
    /// Whether the running attempt's group has gone silent.
    bool hasStalled(const Completion &completion, TimePoint now);
    Completion *current(RequestId request, AttemptNumber attempt);
    Group *groupOf(const Completion &completion);
    FairQueue::Item queueItem(const Completion &completion) const;

    NodeState &m_state;
    std::map<RequestId, Completion> m_completions;
    std::map<OrganisationId, OrganisationLoad> m_organisations;
    std::map<ModelGroupId, ModelQueue> m_queues;
};

} // namespace bramleypitch
