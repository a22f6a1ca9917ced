#pragma once

#include "network/backend_connections.h"
#include "network/caller_connections.h"
#include "network/event_framing.h"
#include "request/request_system.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bramleypitch {

/// What a backend server's answer says beside its status.
struct AnswerSigns
{
    bool notExecuted = false; ///< The request did not run there.
    VmId faultyServer; ///< The server that the answer blames; empty for none.
};

/// How requests and answers are written: the names of headers. It decides nothing.
struct RelayDialect
{
    /// Reads what decisions depend on; none where the request lacks what every request must have.
    std::function<std::optional<RequestArrival>(const MessageHead &)> readArrival;
    /// The head of an attempt, with the length of the body; `lastEvent` is empty unless a stream
    /// goes on behind an event.
    std::function<std::string(const MessageHead &, const DispatchAttempt &, std::size_t bodyLength,
                              const std::string &lastEvent)>
        writeAttempt;
    std::function<AnswerSigns(const MessageHead &)> readAnswer;
    std::string traceHeader; ///< Carries the request's id, both ways.
};

/// Counts and times of requests, for the metrics page.
struct RelayHooks
{
    std::function<void(const NoteDecision &)> decided;
    std::function<void(Duration sinceArrival)> firstEvent;
    std::function<void(Duration sinceArrival)> answered;
    std::function<void(ErrorCode)> refused;
};

/// Moves the bytes of requests and answers between callers and backend servers, as the
/// request system decides. It tells the system only what decisions depend on.
class Relay
{
public:
    Relay(EventLoop &loop, RequestSystem &requests, RelayDialect dialect, RelayHooks hooks);

    CallerConnections &callers() { return m_callers; }
    /// Time passed, or servers or configuration changed: whatever waits is looked at again.
    void tick(TimePoint now);
    /// Closes connections that are idle, slow or cannot be made.
    void sweep(TimePoint now);
    std::uint64_t connectionsOpened() const { return m_backends.opened(); }

private:
    struct Exchange
    {
        MessageHead head;
        std::string body;
        TimePoint arrivedAt;
        AttemptNumber attempt;
        AttemptHandle handle;
        MessageHead answerHead;
        std::string answerBody;
        MessageHead keptHead; ///< Of the whole answer that is delivered if no better one comes.
        std::string keptBody;
        bool isStream = false; ///< The present attempt's answer is a stream of events.
        bool started = false; ///< The head of the answer went to the caller.
        bool paused = false; ///< The server's bytes are held back for a slow caller.
        EventFraming framing;
        std::string lastEvent; ///< The id of the last event that went to the caller.
    };

    void requestCame(ExchangeId id, const MessageHead &head, std::string body);
    void callerGone(ExchangeId id);
    void callerDrained(ExchangeId id);
    void headCame(RequestId id, AttemptNumber attempt, const MessageHead &head);
    void bodyCame(RequestId id, AttemptNumber attempt, const std::string &bytes);
    void passEvents(RequestId id, Exchange &exchange, const std::string &bytes);
    void startAnswer(RequestId id, Exchange &exchange);
    void answerEnded(RequestId id, AttemptNumber attempt);
    void attemptBroken(RequestId id, AttemptNumber attempt, bool sent);
    Exchange *find(RequestId id, AttemptNumber attempt);

    void perform(const RequestActions &actions);
    void perform(const DispatchAttempt &dispatch);
    void perform(const AbandonAttempt &abandon);
    void perform(const DeliverAnswer &deliver);
    void perform(const RefuseRequest &refuse);
    void perform(const BreakAnswer &broken);
    void perform(const NoteDecision &note);

    EventLoop &m_loop;
    RequestSystem &m_requests;
    RelayDialect m_dialect;
    RelayHooks m_hooks;
    CallerConnections m_callers;
    BackendConnections m_backends;
    std::map<RequestId, Exchange> m_exchanges;
};

} // namespace bramleypitch
