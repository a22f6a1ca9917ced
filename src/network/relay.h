#pragma once

#include "network/backend_connections.h"
#include "network/caller_connections.h"
#include "network/event_framing.h"
#include "network/event_sequence.h"
#include "network/memory_account.h"
#include "network/memory_shedding.h"
#include "request/request_system.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleypitch {

/// Details of a backend server's response beyond its status.
struct ResponseDetails
{
    bool notExecuted = false; ///< The server states that it did not run the request.
    VmId faultyServer; ///< The server named as the cause of a failure; empty if none is.
    ServerNotice notice;
    std::string invalidRetryAfter; ///< A Retry-After that is not honoured as it is; else empty.
    const char *invalidRetryAfterCause = nullptr;
    std::string invalidLimit; ///< A limit of the server that cannot be used; else empty.
};

/// Reads and writes the protocol-specific parts of requests and responses, such as header names. It
/// makes no routing decisions.
struct RelayDialect
{
    /// Extracts the properties that routing decisions depend on; none if a mandatory one is
    /// missing.
    std::function<std::optional<RequestArrival>(const MessageHead &)> readArrival;
    /// Writes the request head of an attempt. `lastEvent` is the id of the event after which a
    /// stream is resumed; empty if it is not resumed.
    std::function<std::string(const MessageHead &, const DispatchAttempt &, std::size_t bodyLength,
                              const std::string &lastEvent)>
        writeAttempt;
    std::function<ResponseDetails(const MessageHead &)> readResponse;
    std::string traceHeader; ///< Name of the header with the request's id, in both directions.
    std::string lastEventHeader; ///< Of requests that resume a stream: the id of its last event.
    std::string notExecutedHeader; ///< Of responses to requests that did not run.
};

/// Callbacks for the log and the metrics of requests.
struct RelayHooks
{
    std::function<void(const LogDecision &)> decided;
    std::function<void(Duration sinceArrival)> firstEvent;
    std::function<void(Duration sinceArrival)> answered;
    std::function<void(ErrorCode)> refused;
};

/// Forwards requests and responses between callers and backend servers as decided by the
/// RequestSystem, which receives only the data that its decisions depend on.
class Relay
{
public:
    Relay(EventLoop &loop, RequestSystem &requests, RelayDialect dialect, RelayHooks hooks);

    CallerConnections &callers() { return m_callers; }
    const CallerConnections &callers() const { return m_callers; }
    /// Counts the bytes that callers and servers make the node hold.
    MemoryAccount &account() { return m_account; }
    const MemoryAccount &account() const { return m_account; }
    /// Sets the key that other nodes show with the requests that they pass on to this one. Requests
    /// without it are those of callers, whatever their headers say. Until it is set, all are.
    void setForwardKey(std::string key) { m_forwardKey = std::move(key); }
    /// Limits the bytes of responses that are held. With `boundsSlowReaders`, each caller has a
    /// share of them, streams to slow callers are read to their end while there is room, and
    /// responses are given up in the order of memory_shedding if the limit would be exceeded.
    void setResponseMemory(std::size_t limit, bool boundsSlowReaders);
    /// Number of responses that were given up for lack of room, by cause.
    const std::map<std::string, std::uint64_t> &givenUp() const { return m_givenUpByCause; }
    /// Re-evaluates waiting requests after time has passed or servers or configuration have
    /// changed.
    void tick(TimePoint now);
    /// The node stops now; see RequestSystem::startStop. Connections are closed after their next
    /// response.
    void startStop(TimePoint deadline, TimePoint closedAt, TimePoint now);
    /// Closes connections that are idle, too slow or time out while connecting, and finds room for
    /// responses that wait for it.
    void sweep(TimePoint now);
    /// Number of connections opened to backend servers.
    std::uint64_t connectionsOpened() const { return m_backends.opened(); }

private:
    /// An attempt and what was received of its response.
    struct Attempt
    {
        AttemptNumber number; ///< 0 before the first attempt.
        AttemptHandle handle;
        VmId server;
        MessageHead head;
        ResponseDetails details; ///< Read from the head.
        BlockBuffer body; ///< Of a response that is not a stream.
        std::size_t bodyBytes = 0; ///< Received of it.
        bool isPassedOn = false; ///< The body is passed on to the caller as it arrives.
        MemoryAccount::Holding held; ///< The body or the unfinished event.
        std::optional<TimePoint> roomAwaitedAt; ///< Reading is paused for lack of room since then.
        bool isStream = false; ///< The response is a stream of events.
        bool isResumed = false; ///< It continues a response that has begun.
        EventFraming framing;
        std::size_t events = 0; ///< Forwarded events, without comments.
    };
    /// A caller's request and the state of its response.
    struct Exchange
    {
        MessageHead head;
        std::string body;
        TimePoint arrivedAt;
        bool isOfNode = false; ///< Another node has passed it on.
        Attempt current;
        std::vector<Attempt> stalled; ///< Kept open beside the attempt that may replace them.
        MessageHead lastResponseHead; ///< Of the last complete response, kept for DeliverResponse.
        BlockBuffer lastResponseBody;
        MemoryAccount::Holding lastResponseHeld;
        VmId lastResponseServer;
        bool headSent = false; ///< The head of the response was sent to the caller.
        bool paused = false; ///< Reading from the server is paused for a slow caller.
        TimePoint pausedAt;
        std::size_t allowance = 0; ///< Bytes that may wait for the caller beyond the usual ones.
        bool mayRepeat = false; ///< The caller may send the request again after it has run.
        EventSequence sequence; ///< The events sent to the caller.
    };
    /// An open attempt with its exchange; null if there is none.
    struct OpenAttempt
    {
        Exchange *exchange = nullptr;
        Attempt *attempt = nullptr;
        explicit operator bool() const { return attempt != nullptr; }
    };

    /// Reads the head of a request, which is another node's if it shows this node's key.
    std::optional<RequestArrival> readArrival(Exchange &exchange, const MessageHead &head) const;
    void onRequest(ExchangeId id, const MessageHead &head, std::string body);
    /// Refuses a request whose body was dropped for lack of memory.
    void onBodyDropped(ExchangeId id, const MessageHead &head);
    void onCallerDisconnected(ExchangeId id);
    void onCallerDrained(ExchangeId id);
    void onResponseHead(RequestId id, AttemptNumber attempt, const MessageHead &head);
    void onResponseBody(RequestId id, AttemptNumber attempt, const std::string &bytes);
    void takeResponseBody(RequestId id, AttemptNumber attempt, const std::string &bytes);
    /// Passes on what was received of the body if it cannot be kept for lack of room, or gives the
    /// attempt up if its response may be replaced by another one.
    void makeRoomForBody(RequestId id, AttemptNumber attempt);
    /// Passes on what was received of the body.
    void passOnBody(RequestId id, Exchange &exchange);
    /// Whether the body may be passed on before it is complete.
    static bool mayPassOn(const Exchange &exchange, const Attempt &attempt);
    /// Pauses reading from the server if too many bytes wait for the caller.
    void pauseForCaller(RequestId id, Exchange &exchange);
    /// Reads a further part of responses whose servers would cut them off otherwise.
    void readPaused(TimePoint now);
    /// Gives up held responses, the least valuable first, so that `bytes` more can be held.
    void makeRoom(std::size_t bytes);
    /// Something that bytes are held for: what waits for a caller, the attempt of a request, or its
    /// response that is kept in case no attempt has a better one.
    struct HeldItem
    {
        enum class Kind { Caller, Attempt, KeptResponse };
        Kind kind = Kind::Caller;
        std::uint64_t connection = 0;
        RequestId request;
        AttemptNumber attempt;
    };
    /// Collects what bytes are held for. Both lists have the same order.
    void collectHeld(std::vector<HeldItem> &items, std::vector<HeldResponse> &held) const;
    void giveUp(const HeldItem &item);
    /// Counts a response that is given up, and logs at most one line per cause and second.
    void noteGivenUp(const std::string &cause, std::size_t bytes);
    /// Reads from the server of the attempt unless its caller or lack of room forbids it.
    void updateReading(Exchange &exchange, Attempt &attempt);
    /// Resumes reading where there is room for unfinished events. If there is none for too long,
    /// gives up the attempt that holds most at the server that holds most.
    void findRoom(TimePoint now);
    /// Whether the attempt holds more than all others of its server, so that it may be completed
    /// without room. Otherwise none of them could.
    bool isLargestOfServer(const Attempt &attempt) const;
    /// Ends an attempt for lack of room.
    void giveUp(RequestId id, AttemptNumber attempt);
    void forwardEvents(RequestId id, AttemptNumber attempt, const std::string &bytes);
    /// What is forwarded of a batch of events.
    struct Forwarding
    {
        std::string bytes;
        std::size_t events = 0; ///< Without comments.
        EventSequence sequence; ///< After these events.
        std::optional<EventMark> refused; ///< The first event that is not a part of the stream.
    };
    /// Selects the events that are a part of the stream, up to the first one that is not. Comments
    /// before the first event of an attempt that resumes it are left out.
    static Forwarding selectEvents(const Exchange &exchange, const Attempt &attempt,
                                   const EventBatch &batch);
    void sendEvents(RequestId id, Exchange &exchange, const Forwarding &forwarding);
    /// Ends an attempt whose response is not the stream that it began as or should continue.
    void abandonUnusable(RequestId id, AttemptNumber attempt, const EventMark &refused);
    /// Ends an attempt whose response exceeds a limit. Logs the size and the limit in bytes.
    void abandonTooLarge(RequestId id, AttemptNumber attempt, std::size_t bytes, std::size_t limit);
    /// Ends an attempt whose response is not kept.
    void dropAttempt(RequestId id, AttemptNumber attempt);
    void startResponse(RequestId id, Exchange &exchange);
    /// The response to the attempt can be forwarded: ends the other attempts of the exchange.
    /// Returns the exchange, of which the attempt is now the current one.
    Exchange &chooseAttempt(RequestId id, AttemptNumber attempt);
    /// Whether a success may have been broken off before its body: its head states no end of the
    /// body, and its connection ended before the first byte.
    static bool mayLackBody(const Attempt &attempt, BodyEnd end);
    void handleResponseEnd(RequestId id, AttemptNumber attempt, BodyEnd end);
    void handleStreamEnd(RequestId id, AttemptNumber attempt, BodyEnd end);
    /// The response that was passed on as it arrived is complete.
    void endChunkedResponse(RequestId id, AttemptNumber attempt, BodyEnd end);
    /// Why a stream whose body has ended is not complete; none if it is. It was broken off inside
    /// an event, or before its first event by the end of the connection alone. A run that goes on
    /// where another one broke off and has no event does not show that nothing was missing.
    static std::optional<AttemptFailure> streamFailure(const Attempt &attempt, BodyEnd end);
    /// Logs a response whose completeness its framing does not show.
    void logDoubtfulEnd(const Exchange &exchange, const Attempt &attempt, BodyEnd end);
    void handleAttemptFailure(RequestId id, AttemptNumber attempt, AttemptFailure failure,
                              const VmId &faultyServer = VmId());
    OpenAttempt find(RequestId id, AttemptNumber attempt);

    void perform(const RequestActions &actions);
    void perform(const DispatchAttempt &dispatch);
    void perform(const AbandonAttempt &abandon);
    void perform(const DeliverResponse &deliver);
    void perform(const RefuseRequest &refuse);
    void perform(const BreakResponse &breakResponse);
    void perform(const LogDecision &note);

    EventLoop &m_loop;
    RequestSystem &m_requests;
    RelayDialect m_dialect;
    RelayHooks m_hooks;
    MemoryAccount m_account;
    HeapTrimmer m_trimmer;
    CallerConnections m_callers;
    BackendConnections m_backends;
    std::string m_forwardKey;
    bool m_boundsSlowReaders = false;
    CallerAllowance m_allowance;
    std::map<std::string, std::uint64_t> m_givenUpByCause;
    /// What was given up since the last line of the log.
    struct GivenUp
    {
        std::uint64_t responses = 0;
        std::uint64_t bytes = 0;
        std::optional<TimePoint> loggedAt;
    };
    std::map<std::string, GivenUp> m_unlogged;
    std::map<RequestId, Exchange> m_exchanges;
    /// Attempts of which reading is paused for lack of room.
    std::set<std::pair<RequestId, AttemptNumber>> m_awaitingRoom;
};

} // namespace bramleypitch
