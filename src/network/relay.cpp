#include "network/relay.h"

#include "core/rendezvous_func.h"
#include "network/response_limits.h"
#include "network/retry_after_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bramleypitch {

namespace {

constexpr int ok = 200;
constexpr int noContent = 204;
constexpr int firstRedirect = 300;
constexpr int misdirectedRequest = 421;
constexpr int unavailable = 503;
/// Reading from the server is paused when more unsent bytes than this wait for a slow caller, until
/// all of them have been sent.
constexpr std::size_t maxUnsentBytes = 128 * 1024;
/// The same if there is no room for more.
constexpr std::size_t minUnsentBytes = 16 * 1024;
/// Time after which room for unfinished events is made by giving up an attempt.
constexpr Duration maxRoomWait {1'000};
/// What the kernel may hold for one caller or server, so that the rest is counted. A typical stream
/// fits in.
constexpr std::size_t kernelBytes = 256 * 1024;
/// When room is made, this part of the limit is freed in addition, so that it lasts for a while.
constexpr std::size_t slackPerLimit = 32;
constexpr Duration givenUpLogInterval {1'000};
/// For callers whose body was dropped for lack of memory.
constexpr Duration bodyMemoryRetry {1'000};
constexpr std::string_view eventStreamType = "text/event-stream";
constexpr std::size_t maxLoggedIdBytes = 64;

int toHttpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::UnknownPath:
        return 404;
    case ErrorCode::BackendFailed:
        return 502;
    case ErrorCode::DeadlineExceeded:
        return 504;
    default: // The request cannot be served now, e.g. for lack of capacity.
        return unavailable;
    }
}

const char *worthName(ResponseWorth worth)
{
    switch (worth) {
    case ResponseWorth::Replaceable:
        return "replaceable";
    case ResponseWorth::FinishedRepeatable:
        return "finished_repeatable";
    case ResponseWorth::UnfinishedOnly:
        return "unfinished_only";
    case ResponseWorth::FinishedOnly:
        return "finished_only";
    }
    return "unknown";
}

ExchangeId toExchangeId(RequestId id)
{
    return ExchangeId(id.value());
}

RequestId toRequestId(ExchangeId id)
{
    return RequestId(id.value());
}

ResponseEnd toResponseEnd(BodyEnd end)
{
    return end == BodyEnd::ConnectionClose ? ResponseEnd::ConnectionClose : ResponseEnd::Framed;
}

/// Hash of what a caller asks for; never 0.
std::uint64_t contentHash(const MessageHead &head, const std::string &body)
{
    const std::uint64_t hash = stableHash(body, stableHash(head.target, stableHash(head.method)));
    return std::max<std::uint64_t>(hash, 1);
}

/// Returns the headers of a server's response that are forwarded to the caller.
HttpHeaders forwardedHeaders(const MessageHead &head)
{
    HttpHeaders headers;
    for (const auto &[name, value] : head.headers) {
        if (!isHopByHop(head, name) && !sameHeader(name, "content-length"))
            headers.emplace_back(name, value);
    }
    return headers;
}

} // namespace

Relay::Relay(EventLoop &loop, RequestSystem &requests, RelayDialect dialect, RelayHooks hooks)
    : m_loop(loop)
    , m_requests(requests)
    , m_dialect(std::move(dialect))
    , m_hooks(std::move(hooks))
    , m_callers(loop,
                CallerHooks {
                    [this](ExchangeId id, const MessageHead &head, std::string body) {
                        onRequest(id, head, std::move(body));
                    },
                    [this](ExchangeId id) { onCallerDisconnected(id); },
                    [this](ExchangeId id) { onCallerDrained(id); },
                    [this](int status, const char *cause) {
                        m_hooks.decided({"",
                                         "request_rejected",
                                         {{"status", std::to_string(status)}, {"cause", cause}}});
                    },
                    [this](ExchangeId id, const MessageHead &head) { onBodyDropped(id, head); },
                    [this](ExchangeId id) {
                        return m_requests.onCallerInputEnded(toRequestId(id), m_loop.now());
                    }},
                m_account)
    , m_backends(
          loop, m_dialect.traceHeader,
          LinkHooks {[this](const VmId &server) { m_requests.onLinkFailed(server, m_loop.now()); },
                     [this](TimePoint openedAt) { m_requests.onLinkAnswered(openedAt); },
                     [this](const BackendRequest &request, const MessageHead &head) {
                         m_hooks.decided(
                             {request.traceId,
                              "response_discarded",
                              {{"server", request.server.value()},
                               {"status", std::to_string(head.status)},
                               {"has_id", head.find(m_dialect.traceHeader) ? "true" : "false"}}});
                     }})
{
}

void Relay::tick(TimePoint now)
{
    RequestActions actions;
    m_requests.tick(now, actions);
    perform(actions);
}

void Relay::startStop(TimePoint deadline, TimePoint closedAt, TimePoint now)
{
    m_callers.setClosing();
    m_requests.startStop(deadline, closedAt, now);
}

void Relay::sweep(TimePoint now)
{
    m_callers.sweep(now);
    m_backends.sweep(now);
    if (m_boundsSlowReaders) {
        makeRoom(0);
        readPaused(now);
    }
    findRoom(now);
    m_trimmer.tick(now);
}

Relay::OpenAttempt Relay::find(RequestId id, AttemptNumber attempt)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return {};
    Exchange &exchange = found->second;
    if (exchange.current.number == attempt)
        return {&exchange, &exchange.current};
    for (Attempt &stalled : exchange.stalled) {
        if (stalled.number == attempt)
            return {&exchange, &stalled};
    }
    return {};
}

std::optional<RequestArrival> Relay::readArrival(Exchange &exchange, const MessageHead &head) const
{
    exchange.head = head;
    std::optional<RequestArrival> arrival = m_dialect.readArrival(head);
    if (!arrival)
        return std::nullopt;
    exchange.isOfNode =
        arrival->attemptsLeft && !m_forwardKey.empty() && arrival->forwardKey == m_forwardKey;
    if (!exchange.isOfNode)
        arrival->attemptsLeft.reset();
    return arrival;
}

void Relay::onRequest(ExchangeId id, const MessageHead &head, std::string body)
{
    const TimePoint now = m_loop.now();
    const RequestId request = toRequestId(id);
    Exchange &exchange = m_exchanges[request];
    std::optional<RequestArrival> arrival = readArrival(exchange, head);
    exchange.body = std::move(body);
    exchange.arrivedAt = now;
    exchange.sequence = EventSequence(head.value(m_dialect.lastEventHeader));
    if (!arrival) {
        perform(RefuseRequest {request, ErrorCode::MalformedRequest, RunOutcome::NotRun, {}});
        return;
    }
    arrival->request = request;
    arrival->bodyBytes = exchange.body.size();
    arrival->content = contentHash(exchange.head, exchange.body);
    RequestActions actions;
    m_requests.onRequestArrived(*arrival, now, actions);
    exchange.mayRepeat = m_requests.mayRepeatRun(request);
    perform(actions);
}

void Relay::onBodyDropped(ExchangeId id, const MessageHead &head)
{
    const RequestId request = toRequestId(id);
    readArrival(m_exchanges[request], head);
    m_hooks.decided(
        {head.value(m_dialect.traceHeader), "request_refused", {{"cause", "body_memory"}}});
    perform(RefuseRequest {request, ErrorCode::NoCapacity, RunOutcome::NotRun, bodyMemoryRetry});
}

void Relay::onCallerDisconnected(ExchangeId id)
{
    RequestActions actions;
    m_requests.onCallerDisconnected(toRequestId(id), m_loop.now(), actions);
    perform(actions);
    m_exchanges.erase(toRequestId(id));
}

void Relay::onCallerDrained(ExchangeId id)
{
    const auto found = m_exchanges.find(toRequestId(id));
    if (found == m_exchanges.end() || !found->second.paused)
        return;
    Exchange &exchange = found->second;
    exchange.paused = false;
    exchange.allowance = 0;
    updateReading(exchange, exchange.current);
    m_requests.onReadingPaused(found->first, exchange.current.number, false, m_loop.now());
}

void Relay::onResponseHead(RequestId id, AttemptNumber attempt, const MessageHead &head)
{
    const OpenAttempt open = find(id, attempt);
    if (!open)
        return;
    const std::string type = head.value("content-type");
    open.attempt->isStream = head.status >= ok && head.status < firstRedirect
        && head.status != noContent
        && type.compare(0, eventStreamType.size(), eventStreamType) == 0;
    open.attempt->held = MemoryAccount::Holding(
        m_account, open.attempt->isStream ? HeldKind::UnfinishedEvent : HeldKind::ResponseBody,
        open.attempt->server);
    open.attempt->head = head;
    open.attempt->details = m_dialect.readResponse(head);
    const ResponseDetails &details = open.attempt->details;
    if (details.invalidRetryAfterCause)
        m_hooks.decided({open.exchange->head.value(m_dialect.traceHeader),
                         "retry_after_invalid",
                         {{"server", open.attempt->server.value()},
                          {"value", details.invalidRetryAfter},
                          {"cause", details.invalidRetryAfterCause}}});
    if (!details.invalidLimit.empty())
        m_hooks.decided(
            {open.exchange->head.value(m_dialect.traceHeader),
             "server_limit_invalid",
             {{"server", open.attempt->server.value()}, {"value", details.invalidLimit}}});
    RequestActions actions;
    m_requests.onServerNotice(id, attempt, details.notice, m_loop.now(), actions);
    perform(actions);
}

void Relay::onResponseBody(RequestId id, AttemptNumber attempt, const std::string &bytes)
{
    makeRoom(bytes.size());
    takeResponseBody(id, attempt, bytes);
    makeRoom(0); // Buffers grow by more than their bytes.
}

void Relay::takeResponseBody(RequestId id, AttemptNumber attempt, const std::string &bytes)
{
    const OpenAttempt open = find(id, attempt);
    if (!open)
        return;
    if (open.attempt->isStream) {
        forwardEvents(id, attempt, bytes);
        return;
    }
    Attempt &receiving = *open.attempt;
    receiving.bodyBytes += bytes.size();
    if (receiving.bodyBytes > ResponseLimits::bodyBytes) {
        abandonTooLarge(id, attempt, receiving.bodyBytes, ResponseLimits::bodyBytes);
        return;
    }
    receiving.body.append(bytes);
    receiving.held.resize(receiving.body.size());
    if (receiving.isPassedOn)
        passOnBody(id, *open.exchange);
    else if (receiving.bodyBytes > ResponseLimits::smallBytes
             && !m_account.hasRoom(receiving.server))
        makeRoomForBody(id, attempt);
}

bool Relay::mayPassOn(const Exchange &exchange, const Attempt &attempt)
{
    const int status = attempt.head.status;
    return status >= ok && status < firstRedirect && !attempt.details.notExecuted
        && !exchange.headSent;
}

void Relay::makeRoomForBody(RequestId id, AttemptNumber attempt)
{
    const OpenAttempt open = find(id, attempt);
    if (!mayPassOn(*open.exchange, *open.attempt)) {
        giveUp(id, attempt);
        return;
    }
    m_hooks.decided({open.exchange->head.value(m_dialect.traceHeader),
                     "response_passed_on",
                     {{"server", open.attempt->server.value()},
                      {"bytes", std::to_string(open.attempt->bodyBytes)},
                      {"held_by_server", std::to_string(m_account.heldBy(open.attempt->server))},
                      {"held", std::to_string(m_account.responseBytes())}}});
    Exchange &exchange = chooseAttempt(id, attempt);
    exchange.current.isPassedOn = true;
    startResponse(id, exchange);
    m_requests.onRepeatingRuledOut(id);
    passOnBody(id, exchange);
}

void Relay::passOnBody(RequestId id, Exchange &exchange)
{
    Attempt &attempt = exchange.current;
    attempt.held.resize(0);
    attempt.body.drain(
        [&](const std::string &block) { m_callers.sendChunk(toExchangeId(id), block); });
    pauseForCaller(id, exchange);
}

void Relay::pauseForCaller(RequestId id, Exchange &exchange)
{
    const bool hasRoom = m_account.hasRoom(exchange.current.server);
    std::size_t limit = hasRoom ? maxUnsentBytes : minUnsentBytes;
    if (m_boundsSlowReaders)
        limit = std::max(hasRoom ? std::min(maxUnsentBytes, m_allowance.limit) : m_allowance.first,
                         exchange.allowance);
    if (exchange.paused || m_callers.unsentBytes(toExchangeId(id)) <= limit)
        return;
    exchange.pausedAt = m_loop.now();
    exchange.paused = true;
    updateReading(exchange, exchange.current);
    m_requests.onReadingPaused(id, exchange.current.number, true, m_loop.now());
}

void Relay::setResponseMemory(std::size_t limit, bool boundsSlowReaders)
{
    m_account.setResponseLimit(limit);
    m_account.setReserve(boundsSlowReaders);
    m_boundsSlowReaders = boundsSlowReaders;
    m_allowance = callerAllowance(limit);
    const std::size_t kernel = boundsSlowReaders ? kernelBytes : 0;
    m_callers.setCallerBounds(boundsSlowReaders ? m_allowance.limit : 0, kernel);
    m_backends.setKernelBuffer(kernel);
}

void Relay::readPaused(TimePoint now)
{
    for (auto &[id, exchange] : m_exchanges) {
        if (!exchange.paused)
            continue;
        const std::size_t unsent = m_callers.unsentBytes(toExchangeId(id));
        const std::size_t allowed = nextAllowance(m_allowance, unsent, exchange.pausedAt,
                                                  m_account.hasRoom(exchange.current.server), now);
        if (allowed <= unsent)
            continue;
        exchange.allowance = allowed;
        exchange.paused = false;
        updateReading(exchange, exchange.current);
        m_requests.onReadingPaused(id, exchange.current.number, false, now);
    }
}

void Relay::collectHeld(std::vector<HeldItem> &items, std::vector<HeldResponse> &held) const
{
    const auto add = [&](HeldItem item, HeldResponse response) {
        if (response.bytes == 0)
            return;
        items.push_back(item);
        held.push_back(response);
    };
    for (const SlowCaller &caller : m_callers.slowCallers()) {
        const RequestId request = toRequestId(caller.exchange);
        const bool isFinished = caller.exchange == ExchangeId();
        const bool mayRepeat = isFinished ? caller.mayRepeat : m_requests.mayRepeatRun(request);
        add({HeldItem::Kind::Caller, caller.connection, request, {}},
            {caller.unsent, responseWorth(isFinished, mayRepeat), caller.readAt});
    }
    const TimePoint now = m_loop.now(); // Their callers do not read slowly.
    for (const auto &[id, exchange] : m_exchanges) {
        const bool mayRepeat = m_requests.mayRepeatRun(id);
        const auto addAttempt = [&, request = id](const Attempt &attempt) {
            add({HeldItem::Kind::Attempt, 0, request, attempt.number},
                {attempt.held.size(), responseWorth(false, mayRepeat), now});
        };
        addAttempt(exchange.current);
        std::for_each(exchange.stalled.begin(), exchange.stalled.end(), addAttempt);
        add({HeldItem::Kind::KeptResponse, 0, id, {}},
            {exchange.lastResponseHeld.size(), responseWorth(true, mayRepeat), now});
    }
}

void Relay::makeRoom(std::size_t bytes)
{
    const std::size_t excess = m_boundsSlowReaders ? m_account.excess(bytes) : 0;
    if (excess == 0)
        return;
    std::vector<HeldItem> items;
    std::vector<HeldResponse> held;
    collectHeld(items, held);
    const std::size_t slack = m_account.responseLimit() / slackPerLimit;
    std::size_t freed = 0;
    for (const std::size_t position : responsesToGiveUp(held, excess + slack)) {
        const bool isLastWorth = held[position].worth >= ResponseWorth::UnfinishedOnly;
        if (isLastWorth && freed >= excess)
            return; // Not for the slack alone.
        freed += held[position].bytes;
        noteGivenUp(worthName(held[position].worth), held[position].bytes);
        giveUp(items[position]);
    }
}

void Relay::giveUp(const HeldItem &item)
{
    switch (item.kind) {
    case HeldItem::Kind::Caller:
        m_callers.giveUp(item.connection);
        return;
    case HeldItem::Kind::Attempt:
        if (find(item.request, item.attempt))
            dropAttempt(item.request, item.attempt);
        return;
    case HeldItem::Kind::KeptResponse:
        if (m_exchanges.count(item.request) == 0)
            return;
        m_callers.abortConnection(toExchangeId(item.request));
        onCallerDisconnected(toExchangeId(item.request));
        return;
    }
}

void Relay::noteGivenUp(const std::string &cause, std::size_t bytes)
{
    const TimePoint now = m_loop.now();
    ++m_givenUpByCause[cause];
    GivenUp &unlogged = m_unlogged[cause];
    ++unlogged.responses;
    unlogged.bytes += bytes;
    if (unlogged.loggedAt && now - *unlogged.loggedAt < givenUpLogInterval)
        return;
    m_hooks.decided({"",
                     "held_given_up",
                     {{"cause", cause},
                      {"responses", std::to_string(unlogged.responses)},
                      {"bytes", std::to_string(unlogged.bytes)},
                      {"held", std::to_string(m_account.responseBytes())},
                      {"limit", std::to_string(m_account.responseLimit())}}});
    unlogged = {0, 0, now};
}

void Relay::updateReading(Exchange &exchange, Attempt &attempt)
{
    const bool isForCaller = &attempt == &exchange.current && exchange.paused;
    m_backends.setReading(attempt.handle, !isForCaller && !attempt.roomAwaitedAt);
}

bool Relay::isLargestOfServer(const Attempt &attempt) const
{
    const auto isLarger = [&](const Attempt &other) {
        return other.server == attempt.server
            && std::pair(other.held.size(), other.handle)
            > std::pair(attempt.held.size(), attempt.handle);
    };
    return std::none_of(m_exchanges.begin(), m_exchanges.end(), [&](const auto &entry) {
        const Exchange &exchange = entry.second;
        return isLarger(exchange.current)
            || std::any_of(exchange.stalled.begin(), exchange.stalled.end(), isLarger);
    });
}

void Relay::findRoom(TimePoint now)
{
    bool isOverdue = false;
    for (auto next = m_awaitingRoom.begin(); next != m_awaitingRoom.end();) {
        const auto [id, number] = *next;
        const OpenAttempt open = find(id, number);
        if (open && !m_account.hasRoom(open.attempt->server) && !isLargestOfServer(*open.attempt)) {
            isOverdue = isOverdue || now - *open.attempt->roomAwaitedAt > maxRoomWait;
            ++next;
            continue;
        }
        next = m_awaitingRoom.erase(next);
        if (!open)
            continue;
        open.attempt->roomAwaitedAt.reset();
        updateReading(*open.exchange, *open.attempt);
        m_requests.onReadingPaused(id, number, open.exchange->paused, now);
    }
    if (!isOverdue)
        return;
    // Requests that may have run and cannot be repeated are given up last.
    std::tuple<bool, std::size_t, std::size_t> most {false, 0, 0};
    std::optional<std::pair<RequestId, AttemptNumber>> given;
    for (const auto &[id, exchange] : m_exchanges) {
        const auto weigh = [&, exchangeId = id](const Attempt &attempt) {
            const std::tuple weight {m_requests.mayRepeatRun(exchangeId),
                                     m_account.heldBy(attempt.server), attempt.held.size()};
            if (attempt.held.size() > ResponseLimits::smallBytes && weight > most) {
                most = weight;
                given = {exchangeId, attempt.number};
            }
        };
        weigh(exchange.current);
        std::for_each(exchange.stalled.begin(), exchange.stalled.end(), weigh);
    }
    if (given)
        giveUp(given->first, given->second);
}

void Relay::giveUp(RequestId id, AttemptNumber attempt)
{
    const OpenAttempt open = find(id, attempt);
    if (m_boundsSlowReaders)
        noteGivenUp("no_room", open.attempt->held.size());
    else
        m_hooks.decided(
            {open.exchange->head.value(m_dialect.traceHeader),
             "response_given_up",
             {{"server", open.attempt->server.value()},
              {"bytes", std::to_string(open.attempt->held.size())},
              {"held_by_server", std::to_string(m_account.heldBy(open.attempt->server))},
              {"held", std::to_string(m_account.responseBytes())},
              {"limit", std::to_string(m_account.responseLimit())}}});
    dropAttempt(id, attempt);
}

void Relay::abandonTooLarge(RequestId id, AttemptNumber attempt, std::size_t bytes,
                            std::size_t limit)
{
    const OpenAttempt open = find(id, attempt);
    m_hooks.decided({open.exchange->head.value(m_dialect.traceHeader),
                     "response_too_large",
                     {{"server", open.attempt->server.value()},
                      {"bytes", std::to_string(bytes)},
                      {"limit", std::to_string(limit)}}});
    dropAttempt(id, attempt);
}

void Relay::dropAttempt(RequestId id, AttemptNumber attempt)
{
    const OpenAttempt open = find(id, attempt);
    open.attempt->body.clear();
    open.attempt->framing.reset();
    open.attempt->held.resize(0);
    m_backends.abandon(open.attempt->handle);
    handleAttemptFailure(id, attempt, AttemptFailure::Broken);
}

void Relay::startResponse(RequestId id, Exchange &exchange)
{
    if (exchange.headSent)
        return;
    exchange.headSent = true;
    const TimePoint now = m_loop.now();
    m_hooks.firstEvent(now - exchange.arrivedAt);
    m_callers.setServer(toExchangeId(id), exchange.current.server);
    m_callers.setRepeatable(toExchangeId(id), exchange.mayRepeat);
    m_callers.startChunkedResponse(toExchangeId(id), exchange.current.head.status,
                                   forwardedHeaders(exchange.current.head));
    m_requests.onStreamStarted(id, exchange.current.number, now);
}

Relay::Exchange &Relay::chooseAttempt(RequestId id, AttemptNumber attempt)
{
    RequestActions actions;
    m_requests.onAnswering(id, attempt, m_loop.now(), actions);
    perform(actions);
    return m_exchanges.at(id);
}

void Relay::forwardEvents(RequestId id, AttemptNumber attempt, const std::string &bytes)
{
    const OpenAttempt receiving = find(id, attempt);
    const TimePoint now = m_loop.now();
    const Forwarding forwarding = selectEvents(*receiving.exchange, *receiving.attempt,
                                               receiving.attempt->framing.take(bytes));
    if (m_boundsSlowReaders) // What is sent does not count twice.
        receiving.attempt->held.resize(receiving.attempt->framing.heldBytes());
    if (!forwarding.bytes.empty())
        sendEvents(id, chooseAttempt(id, attempt), forwarding);
    const OpenAttempt open = find(id, attempt);
    if (!open)
        return;
    if (forwarding.refused) {
        abandonUnusable(id, attempt, *forwarding.refused);
        return;
    }
    const std::size_t unfinished = open.attempt->framing.remainder().size();
    open.attempt->held.resize(open.attempt->framing.heldBytes());
    if (unfinished > ResponseLimits::eventBytes) {
        abandonTooLarge(id, attempt, unfinished, ResponseLimits::eventBytes);
    } else if (unfinished > ResponseLimits::smallBytes && !open.attempt->roomAwaitedAt
               && !m_account.hasRoom(open.attempt->server) && !isLargestOfServer(*open.attempt)) {
        open.attempt->roomAwaitedAt = now;
        m_awaitingRoom.emplace(id, attempt);
        updateReading(*open.exchange, *open.attempt);
        m_requests.onReadingPaused(id, attempt, true, now);
    }
}

Relay::Forwarding Relay::selectEvents(const Exchange &exchange, const Attempt &attempt,
                                      const EventBatch &batch)
{
    Forwarding forwarding;
    forwarding.sequence = exchange.sequence;
    std::size_t begin = 0;
    for (const EventMark &mark : batch.marks) {
        const std::size_t length = mark.end - std::exchange(begin, mark.end);
        const bool isFirst = attempt.events + forwarding.events == 0;
        if (mark.kind == EventKind::Comment && attempt.isResumed && isFirst)
            continue;
        if (mark.kind == EventKind::Other
            || (mark.kind == EventKind::Event && !forwarding.sequence.mayFollow(mark, isFirst))) {
            forwarding.refused = mark;
            break;
        }
        if (mark.kind == EventKind::Event) {
            ++forwarding.events;
            forwarding.sequence.add(mark);
        }
        forwarding.bytes.append(batch.bytes, mark.end - length, length);
    }
    return forwarding;
}

void Relay::abandonUnusable(RequestId id, AttemptNumber attempt, const EventMark &refused)
{
    const OpenAttempt open = find(id, attempt);
    m_hooks.decided({open.exchange->head.value(m_dialect.traceHeader),
                     "event_refused",
                     {{"server", open.attempt->server.value()},
                      {"id", refused.id.empty() ? "none" : refused.id.substr(0, maxLoggedIdBytes)},
                      {"last", open.exchange->sequence.lastEventId().substr(0, maxLoggedIdBytes)},
                      {"resumed", open.attempt->isResumed ? "true" : "false"}}});
    open.attempt->framing.reset();
    m_backends.abandon(open.attempt->handle);
    handleAttemptFailure(id, attempt, AttemptFailure::Unusable);
}

void Relay::sendEvents(RequestId id, Exchange &exchange, const Forwarding &forwarding)
{
    // The head is sent with the first complete event: until then the request can still be moved to
    // another server.
    startResponse(id, exchange);
    exchange.current.events += forwarding.events;
    m_callers.sendChunk(toExchangeId(id), forwarding.bytes);
    exchange.sequence = forwarding.sequence;
    m_requests.onEventForwarded(id, exchange.current.number, m_loop.now());
    if (!exchange.sequence.isResumable())
        m_requests.onResumingRuledOut(id);
    pauseForCaller(id, exchange);
}

std::optional<AttemptFailure> Relay::streamFailure(const Attempt &attempt, BodyEnd end)
{
    if (attempt.framing.isInsideEvent())
        return AttemptFailure::Broken;
    if (attempt.events > 0)
        return std::nullopt;
    if (attempt.isResumed)
        return AttemptFailure::Unusable;
    return end == BodyEnd::ConnectionClose ? std::optional(AttemptFailure::Broken) : std::nullopt;
}

void Relay::logDoubtfulEnd(const Exchange &exchange, const Attempt &attempt, BodyEnd end)
{
    const bool isInsideEvent = attempt.isStream && attempt.framing.isInsideEvent();
    if (end != BodyEnd::ConnectionClose && !isInsideEvent)
        return;
    const std::size_t unfinished = isInsideEvent ? attempt.framing.remainder().size() : 0;
    m_hooks.decided({exchange.head.value(m_dialect.traceHeader),
                     "response_end_doubtful",
                     {{"server", attempt.server.value()},
                      {"end", bodyEndName(end)},
                      {"status", std::to_string(attempt.head.status)},
                      {"stream", attempt.isStream ? "true" : "false"},
                      {"events", std::to_string(attempt.events)},
                      {"unfinished_bytes", std::to_string(unfinished)}}});
}

bool Relay::mayLackBody(const Attempt &attempt, BodyEnd end)
{
    const int status = attempt.head.status;
    return end == BodyEnd::ConnectionClose && attempt.bodyBytes == 0 && status >= ok
        && status < firstRedirect;
}

void Relay::handleResponseEnd(RequestId id, AttemptNumber attempt, BodyEnd end)
{
    const OpenAttempt open = find(id, attempt);
    if (!open)
        return;
    logDoubtfulEnd(*open.exchange, *open.attempt, end);
    if (open.attempt->isStream) {
        handleStreamEnd(id, attempt, end);
        return;
    }
    if (open.attempt->isPassedOn) {
        endChunkedResponse(id, attempt, end);
        return;
    }
    if (mayLackBody(*open.attempt, end)) {
        handleAttemptFailure(id, attempt, AttemptFailure::Broken);
        return;
    }
    const ResponseDetails details = open.attempt->details;
    const int status = open.attempt->head.status;
    const bool isRefusal = status == misdirectedRequest || details.notExecuted;
    if (isRefusal && !open.attempt->head.find(m_dialect.traceHeader)) {
        // It may be about another request.
        handleAttemptFailure(id, attempt, AttemptFailure::Unusable);
    } else if (status == misdirectedRequest) {
        handleAttemptFailure(id, attempt, AttemptFailure::Misdirected, details.faultyServer);
    } else if (details.notExecuted) {
        handleAttemptFailure(id, attempt,
                             details.notice.pause ? AttemptFailure::Paused
                                                  : AttemptFailure::NotExecuted,
                             details.faultyServer);
    } else if (open.exchange->headSent) {
        handleAttemptFailure(id, attempt, AttemptFailure::Unusable, details.faultyServer);
    } else {
        open.exchange->lastResponseHead = open.attempt->head;
        open.exchange->lastResponseBody = std::exchange(open.attempt->body, BlockBuffer());
        open.exchange->lastResponseHeld = std::move(open.attempt->held);
        open.exchange->lastResponseServer = open.attempt->server;
        RequestActions actions;
        m_requests.onResponse(id, attempt, status, m_loop.now(), actions, toResponseEnd(end));
        perform(actions);
    }
}

void Relay::handleStreamEnd(RequestId id, AttemptNumber attempt, BodyEnd end)
{
    const OpenAttempt open = find(id, attempt);
    if (const auto failure = streamFailure(*open.attempt, end)) {
        handleAttemptFailure(id, attempt, *failure);
        return;
    }
    Exchange &exchange = chooseAttempt(id, attempt);
    startResponse(id, exchange);
    m_callers.sendChunk(toExchangeId(id), exchange.current.framing.remainder());
    endChunkedResponse(id, attempt, end);
}

void Relay::endChunkedResponse(RequestId id, AttemptNumber attempt, BodyEnd end)
{
    const TimePoint now = m_loop.now();
    const Exchange &exchange = m_exchanges.at(id);
    m_callers.endChunkedResponse(toExchangeId(id));
    m_hooks.answered(now - exchange.arrivedAt);
    m_exchanges.erase(id);
    RequestActions actions;
    m_requests.onStreamEnded(id, attempt, now, actions, toResponseEnd(end));
    perform(actions);
}

void Relay::handleAttemptFailure(RequestId id, AttemptNumber attempt, AttemptFailure failure,
                                 const VmId &faultyServer)
{
    if (!find(id, attempt))
        return;
    RequestActions actions;
    m_requests.onAttemptFailed(id, attempt, failure, faultyServer, m_loop.now(), actions);
    perform(actions);
}

void Relay::perform(const RequestActions &actions)
{
    for (const RequestAction &action : actions)
        std::visit([this](const auto &item) { perform(item); }, action);
}

void Relay::perform(const DispatchAttempt &dispatch)
{
    const auto found = m_exchanges.find(dispatch.request);
    if (found == m_exchanges.end())
        return;
    Exchange &exchange = found->second;
    const RequestId id = dispatch.request;
    const AttemptNumber attempt = dispatch.attempt;
    if (dispatch.keepsPrevious)
        exchange.stalled.push_back(std::move(exchange.current));
    exchange.current = Attempt();
    exchange.current.number = attempt;
    exchange.current.server = dispatch.server;
    exchange.current.isResumed = exchange.headSent;
    exchange.paused = false;
    BackendRequest request;
    request.address = dispatch.address;
    request.server = dispatch.server;
    request.head = m_dialect.writeAttempt(exchange.head, dispatch, exchange.body.size(),
                                          exchange.sequence.lastEventId());
    request.body = exchange.body;
    request.traceId = exchange.head.value(m_dialect.traceHeader);
    request.isHeadRequest = exchange.head.method == "HEAD";
    request.needsNewConnection = dispatch.needsNewConnection;
    request.isToNode = !dispatch.node.value().empty();
    BackendHooks hooks;
    hooks.onResponseHead = [this, id, attempt](const MessageHead &head) {
        onResponseHead(id, attempt, head);
    };
    hooks.onResponseBody = [this, id, attempt](const std::string &bytes) {
        onResponseBody(id, attempt, bytes);
    };
    hooks.onResponseEnd = [this, id, attempt](BodyEnd end) { handleResponseEnd(id, attempt, end); };
    hooks.mayWrite = [this, id, attempt] {
        return m_requests.mayStillSend(id, attempt, m_loop.now());
    };
    hooks.takeGrant = [this, id, attempt] {
        return m_requests.onWriting(id, attempt, m_loop.now());
    };
    hooks.onSent = [this, id, attempt] { m_requests.onRequestSent(id, attempt); };
    hooks.onWithdrawn = [this, id, attempt] {
        handleAttemptFailure(id, attempt, AttemptFailure::Withdrawn);
    };
    hooks.onFailure = [this, id, attempt](bool sent) {
        handleAttemptFailure(id, attempt, sent ? AttemptFailure::Broken : AttemptFailure::Unsent);
    };
    exchange.current.handle = m_backends.send(std::move(request), std::move(hooks));
}

void Relay::perform(const AbandonAttempt &abandon)
{
    const OpenAttempt open = find(abandon.request, abandon.attempt);
    if (!open)
        return;
    m_backends.abandon(open.attempt->handle);
    Exchange &exchange = *open.exchange;
    if (exchange.current.number != abandon.attempt) {
        std::erase_if(exchange.stalled,
                      [&](const Attempt &stalled) { return stalled.number == abandon.attempt; });
    } else if (!exchange.stalled.empty()) {
        exchange.current = std::move(exchange.stalled.back());
        exchange.stalled.pop_back();
        exchange.paused = false;
    }
}

void Relay::perform(const DeliverResponse &deliver)
{
    const auto found = m_exchanges.find(deliver.request);
    if (found == m_exchanges.end())
        return;
    Exchange exchange = std::move(found->second);
    m_exchanges.erase(found);
    m_hooks.answered(m_loop.now() - exchange.arrivedAt);
    exchange.lastResponseHeld.resize(0);
    m_callers.setServer(toExchangeId(deliver.request), exchange.lastResponseServer);
    m_callers.setRepeatable(toExchangeId(deliver.request), exchange.mayRepeat);
    m_callers.reply(toExchangeId(deliver.request), exchange.lastResponseHead.status,
                    forwardedHeaders(exchange.lastResponseHead),
                    std::move(exchange.lastResponseBody));
}

void Relay::perform(const RefuseRequest &refuse)
{
    const auto found = m_exchanges.find(refuse.request);
    if (found == m_exchanges.end())
        return;
    HttpHeaders headers {{"Content-Type", "text/plain"}};
    const std::string traceId = found->second.head.value(m_dialect.traceHeader);
    if (!traceId.empty())
        headers.emplace_back(m_dialect.traceHeader, traceId);
    if (refuse.retryAfter)
        headers.emplace_back("Retry-After", formatRetryAfter(*refuse.retryAfter));
    if (found->second.isOfNode && refuse.run == RunOutcome::NotRun
        && toHttpStatus(refuse.code) == unavailable)
        headers.emplace_back(m_dialect.notExecutedHeader, "1");
    m_exchanges.erase(found);
    m_hooks.refused(refuse.code);
    m_callers.reply(toExchangeId(refuse.request), toHttpStatus(refuse.code), headers,
                    errorName(refuse.code));
}

void Relay::perform(const BreakResponse &breakResponse)
{
    m_exchanges.erase(breakResponse.request);
    m_callers.abortConnection(toExchangeId(breakResponse.request));
}

void Relay::perform(const LogDecision &note)
{
    m_hooks.decided(note);
}

} // namespace bramleypitch
