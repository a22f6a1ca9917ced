#include "network/caller_connections.h"

#include "core/error_type.h"
#include "network/address_func.h"

#include <algorithm>
#include <utility>

namespace bramleypitch {

namespace {

constexpr int listenBacklog = 1'024;
constexpr Duration acceptPause {100}; ///< Without a free descriptor.
/// Time after a response for which a closed connection still accepts the bytes of its caller.
constexpr Duration lingerTime {1'000};
constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int contentTooLarge = 413;
constexpr int headersTooLarge = 431;
constexpr std::string_view lineEnd = "\r\n";

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

/// A caller's connection and its current request.
struct CallerConnections::Connection
{
    std::uint64_t id = 0;
    MemoryAccount::Holding unsent; ///< Bytes of responses that wait for the caller.
    MemoryAccount::Holding keptBody; ///< Body of a request, until it is answered.
    std::unique_ptr<StreamSocket> socket;
    MessageParser parser {MessageParser::Kind::Request};
    std::string body;
    std::size_t bodyBytes = 0; ///< Received of the current request.
    bool bodyDropped = false;
    ExchangeId exchange; ///< The request being answered; 0 while a request is read.
    bool reading = true; ///< Reading a request; false while one is being answered.
    bool closeAfterResponse = false; ///< Close the connection after the current response.
    bool closeWhenDrained = false; ///< Close as soon as everything written has been sent.
    bool inputEnded = false; ///< The caller has closed its writing side.
    bool continueSent = false; ///< 100 (Continue) was sent for the current request.
    bool isHeadRequest = false; ///< The method is HEAD, so the response has no body.
    /// When the last response was sent, or the first byte of the request in progress received.
    TimePoint timeoutStart;
    bool requestStarted = false; ///< At least one byte of the current request was received.
    /// Those in force when the connection was opened or last answered. A caller may still rely on
    /// them.
    Duration idleTimeout {0};
    Duration headerTimeout {0};
    TimePoint readAt; ///< When the caller last read something, or a byte began to wait.
    bool mayRepeat = false; ///< The requests of the responses that wait may be sent again.
    bool processingInput = false; ///< The loop over received bytes is on the call stack.
};

CallerConnections::CallerConnections(EventLoop &loop, CallerHooks hooks, MemoryAccount &account)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_account(account)
    , m_discard(loop, [this] { m_discarded.clear(); })
    , m_acceptAgain(loop, [this] {
        if (m_listener)
            evconnlistener_enable(m_listener);
    })
{
}

CallerConnections::~CallerConnections()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

void CallerConnections::listen(const Address &address)
{
    const sockaddr_in socketAddress = parseSocketAddress(address);
    m_listener = evconnlistener_new_bind(
        m_loop.base(), onAccepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress));
    if (!m_listener)
        throw bindFailure(address, errno);
    evconnlistener_set_error_cb(m_listener, onAcceptFailed);
}

void CallerConnections::onAcceptFailed(evconnlistener *listener, void *self)
{
    evconnlistener_disable(listener);
    static_cast<CallerConnections *>(self)->m_acceptAgain.startOnce(acceptPause);
}

void CallerConnections::onAccepted(evconnlistener *, evutil_socket_t descriptor, sockaddr *, int,
                                   void *self)
{
    auto *connections = static_cast<CallerConnections *>(self);
    auto owned = std::make_unique<Connection>();
    Connection *connection = owned.get();
    connection->id = ++connections->m_lastId;
    connection->unsent = MemoryAccount::Holding(connections->m_account, HeldKind::Unsent);
    connection->keptBody = MemoryAccount::Holding(connections->m_account, HeldKind::RequestBody);
    connections->startTimeout(*connection);
    connections->m_connections.emplace(connection->id, std::move(owned));
    SocketHooks hooks;
    hooks.onReadable = [connections, connection] { connections->onReadable(*connection); };
    hooks.onDrained = [connections, connection] {
        if (connection->closeWhenDrained) {
            connection->timeoutStart = connections->m_loop.now();
            connections->closeAfterReading(*connection);
        } else if (connection->reading && !connection->requestStarted) {
            connections->startTimeout(*connection);
            if (!connection->processingInput && !connection->socket->received().empty())
                connections->onReadable(*connection); // It was backed up.
        } else if (!connection->reading && connections->m_hooks.onDrained) {
            connections->m_hooks.onDrained(connection->exchange);
        }
    };
    hooks.onUnsentChanged = [connections, connection](std::size_t unsent) {
        if (connection->unsent.size() == 0 || unsent < connection->unsent.size())
            connection->readAt = connections->m_loop.now();
        connection->unsent.resize(unsent);
    };
    hooks.onClosed = [connections, connection](bool clean) {
        connections->onClosed(*connection, clean);
    };
    connection->socket =
        std::make_unique<StreamSocket>(connections->m_loop, descriptor, std::move(hooks));
    if (connections->m_kernelBuffer > 0)
        connection->socket->setKernelBuffer(connections->m_kernelBuffer);
}

void CallerConnections::onReadable(Connection &connection)
{
    const std::uint64_t id = connection.id;
    if (m_lingering.count(id)) {
        connection.socket->consume(connection.socket->received().size());
        return;
    }
    connection.processingInput = true;
    while (m_connections.count(id) && connection.reading && !connection.closeWhenDrained
           && !connection.socket->received().empty()) {
        if (!connection.requestStarted && isBackedUp(connection))
            break;
        if (!connection.requestStarted) {
            connection.requestStarted = true;
            connection.timeoutStart = m_loop.now();
        }
        const bool more =
            connection.parser.headComplete() ? readBody(connection) : readHead(connection);
        if (!more)
            break;
    }
    connection.processingInput = false;
}

bool CallerConnections::readHead(Connection &connection)
{
    std::string_view bytes = connection.socket->received();
    while (bytes.substr(0, lineEnd.size()) == lineEnd) { // RFC 9112, 2.2: skip leading empty lines.
        connection.socket->consume(lineEnd.size());
        bytes = connection.socket->received();
    }
    if (bytes.empty())
        return false;
    const std::optional<std::size_t> length = headLength(bytes);
    if (length.value_or(bytes.size()) > m_limits.maxHeaderBytes) {
        reject(connection, headersTooLarge, "header_bytes");
        return false;
    }
    if (hasAmbiguousLines(bytes.substr(0, length.value_or(bytes.size())))) {
        reject(connection, badRequest, "ambiguous_lines");
        return false;
    }
    if (!length)
        return false;
    connection.socket->consume(connection.parser.feed(bytes.substr(0, *length)));
    const MessageHead &head = connection.parser.head();
    if (connection.parser.failed()) {
        reject(connection, badRequest, connection.parser.fault());
        return false;
    }
    if (connection.parser.declaredLength().value_or(0) > m_limits.maxBodyBytes) {
        reject(connection, contentTooLarge, "body_bytes");
        return false;
    }
    if (connection.parser.complete()) {
        dispatch(connection);
    } else if (head.find("expect") && !connection.continueSent) {
        connection.continueSent = true;
        connection.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

bool CallerConnections::readBody(Connection &connection)
{
    const std::string_view bytes = connection.socket->received();
    connection.socket->consume(connection.parser.feed(bytes));
    if (connection.parser.failed()) {
        reject(connection, badRequest, connection.parser.fault());
        return false;
    }
    addToBody(connection, connection.parser.takeBody());
    if (connection.bodyBytes > m_limits.maxBodyBytes) {
        reject(connection, contentTooLarge, "body_bytes");
        return false;
    }
    if (connection.parser.complete())
        dispatch(connection);
    return true;
}

void CallerConnections::addToBody(Connection &connection, const std::string &part)
{
    connection.bodyBytes += part.size();
    const std::size_t held = m_account.held(HeldKind::RequestBody);
    const bool isOnlyBody = held == connection.keptBody.size();
    if (!isOnlyBody && held + part.size() > m_maxBodyMemory) {
        releaseBody(connection);
        connection.bodyDropped = true;
    }
    if (connection.bodyDropped)
        return;
    connection.body += part;
    connection.keptBody.resize(connection.keptBody.size() + part.size());
}

void CallerConnections::setCallerBounds(std::size_t unsent, std::size_t kernel)
{
    m_maxUnsent = unsent;
    m_kernelBuffer = kernel;
}

bool CallerConnections::isBackedUp(const Connection &connection) const
{
    return m_maxUnsent > 0 && connection.socket->unsentBytes() > m_maxUnsent;
}

void CallerConnections::releaseBody(Connection &connection)
{
    connection.keptBody.resize(0);
    connection.body = std::string();
}

void CallerConnections::dispatch(Connection &connection)
{
    const MessageHead head = connection.parser.head();
    connection.exchange = ExchangeId(++m_lastId);
    connection.reading = false;
    connection.isHeadRequest = head.method == "HEAD";
    connection.closeAfterResponse = !head.keepAlive;
    m_exchanges[connection.exchange] = &connection;
    if (connection.bodyDropped)
        m_hooks.onBodyDropped(connection.exchange, head);
    else
        m_hooks.onRequest(connection.exchange, head, std::exchange(connection.body, {}));
}

void CallerConnections::reject(Connection &connection, int status, const char *cause)
{
    if (m_hooks.onRejected)
        m_hooks.onRejected(status, cause);
    connection.reading = false;
    connection.closeAfterResponse = true;
    connection.exchange = ExchangeId(++m_lastId);
    m_exchanges[connection.exchange] = &connection;
    reply(connection.exchange, status, {{"Content-Type", "text/plain"}}, cause);
}

CallerConnections::Connection *CallerConnections::find(ExchangeId exchange) const
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : found->second;
}

bool CallerConnections::isLastResponse(const Connection &connection) const
{
    // RFC 9112, 9.6: no further request may be processed after a response has announced the close.
    // Line ends before a request are not a part of it.
    const bool hasNext =
        connection.socket->received().find_first_not_of(lineEnd) != std::string_view::npos;
    return connection.closeAfterResponse || (m_closing && !hasNext);
}

std::string CallerConnections::formatHead(const Connection &connection, int status,
                                          const HttpHeaders &headers) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append(lineEnd);
    if (connection.closeAfterResponse)
        text += "Connection: close\r\n";
    return text;
}

void CallerConnections::reply(ExchangeId exchange, int status, const HttpHeaders &headers,
                              std::string_view body)
{
    BlockBuffer blocks;
    blocks.append(body);
    reply(exchange, status, headers, std::move(blocks));
}

void CallerConnections::reply(ExchangeId exchange, int status, const HttpHeaders &headers,
                              BlockBuffer body)
{
    Connection *connection = find(exchange);
    if (!connection)
        return;
    connection->closeAfterResponse = isLastResponse(*connection);
    std::string text = formatHead(*connection, status, headers);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (connection->isHeadRequest)
        body.clear();
    // The head goes into one packet with the body if there is only one block of it.
    body.drain([&](const std::string &block) {
        connection->socket->write(std::exchange(text, std::string()) + block);
    });
    if (!text.empty())
        connection->socket->write(text);
    finishResponse(*connection);
}

void CallerConnections::setServer(ExchangeId exchange, const VmId &server)
{
    if (Connection *connection = find(exchange))
        connection->unsent.setServer(server);
}

void CallerConnections::setRepeatable(ExchangeId exchange, bool mayRepeat)
{
    if (Connection *connection = find(exchange)) // Earlier responses may still wait.
        connection->mayRepeat =
            mayRepeat && (connection->mayRepeat || connection->socket->unsentBytes() == 0);
}

std::vector<SlowCaller> CallerConnections::slowCallers() const
{
    std::vector<SlowCaller> callers;
    for (const auto &[id, connection] : m_connections) {
        if (connection->unsent.size() > 0)
            callers.push_back({id, connection->exchange, connection->unsent.size(),
                               connection->mayRepeat, connection->readAt});
    }
    return callers;
}

void CallerConnections::giveUp(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    Connection &connection = *found->second;
    const ExchangeId exchange = std::exchange(connection.exchange, ExchangeId());
    m_exchanges.erase(exchange);
    connection.socket->disable();
    connection.unsent.resize(0); // The bytes are freed with the connection.
    close(connection);
    if (exchange != ExchangeId())
        m_hooks.onDisconnected(exchange);
}

void CallerConnections::startChunkedResponse(ExchangeId exchange, int status,
                                             const HttpHeaders &headers)
{
    Connection *connection = find(exchange);
    if (!connection)
        return;
    connection->closeAfterResponse = isLastResponse(*connection);
    connection->socket->write(formatHead(*connection, status, headers)
                              + "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerConnections::sendChunk(ExchangeId exchange, std::string_view chunk)
{
    Connection *connection = find(exchange);
    if (!connection || chunk.empty() || connection->isHeadRequest)
        return;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = chunk.size(); left > 0; left /= digits.size())
        size.insert(size.begin(), digits[left % digits.size()]);
    std::string text = std::move(size);
    text.append(lineEnd).append(chunk).append(lineEnd);
    connection->socket->write(text);
}

void CallerConnections::endChunkedResponse(ExchangeId exchange)
{
    Connection *connection = find(exchange);
    if (!connection)
        return;
    if (!connection->isHeadRequest)
        connection->socket->write("0\r\n\r\n");
    finishResponse(*connection);
}

void CallerConnections::finishResponse(Connection &connection)
{
    m_exchanges.erase(connection.exchange);
    connection.exchange = ExchangeId();
    releaseBody(connection);
    startTimeout(connection);
    if (connection.closeAfterResponse) {
        connection.closeWhenDrained = true;
        if (connection.socket->unsentBytes() == 0)
            closeAfterReading(connection);
        return;
    }
    connection.parser.reset();
    connection.bodyBytes = 0;
    connection.bodyDropped = false;
    connection.continueSent = false;
    connection.requestStarted = false;
    connection.reading = true;
    if (!connection.processingInput && !connection.socket->received().empty())
        onReadable(connection); // Bytes of the next request were already received.
}

void CallerConnections::abortConnection(ExchangeId exchange)
{
    if (Connection *connection = find(exchange)) {
        m_exchanges.erase(exchange);
        connection->exchange = ExchangeId();
        close(*connection);
    }
}

std::size_t CallerConnections::unsentBytes(ExchangeId exchange) const
{
    const Connection *connection = find(exchange);
    return connection ? connection->socket->unsentBytes() : 0;
}

bool CallerConnections::isKeptForResponse(Connection &connection)
{
    const bool isAnswered = connection.exchange == ExchangeId();
    if (isAnswered ? connection.socket->unsentBytes() == 0
                   : !m_hooks.onInputEnded || !m_hooks.onInputEnded(connection.exchange))
        return false;
    connection.inputEnded = true;
    connection.reading = false;
    connection.closeAfterResponse = true;
    connection.closeWhenDrained = isAnswered;
    return true;
}

void CallerConnections::onClosed(Connection &connection, bool clean)
{
    if (clean && isKeptForResponse(connection))
        return;
    const ExchangeId exchange = connection.exchange;
    const bool hasExchange = exchange != ExchangeId();
    if (hasExchange)
        m_exchanges.erase(exchange);
    connection.exchange = ExchangeId();
    close(connection);
    if (hasExchange)
        m_hooks.onDisconnected(exchange);
}

void CallerConnections::close(Connection &connection)
{
    auto &connections = m_lingering.count(connection.id) ? m_lingering : m_connections;
    const auto found = connections.find(connection.id);
    if (found == connections.end())
        return;
    // Callbacks of the connection may still be on the call stack, so it is freed in the next event
    // loop iteration.
    found->second->socket->setReading(false);
    found->second->reading = false;
    releaseBody(*found->second);
    m_discarded.push_back(std::move(found->second));
    connections.erase(found);
    m_discard.startOnce(Duration(0));
}

void CallerConnections::closeAfterReading(Connection &connection)
{
    const auto found = m_connections.find(connection.id);
    if (found == m_connections.end())
        return;
    if (connection.inputEnded || m_loop.now() - connection.timeoutStart >= lingerTime) {
        close(connection);
        return;
    }
    connection.reading = false;
    connection.closeWhenDrained = false;
    connection.socket->consume(connection.socket->received().size());
    connection.socket->endWriting();
    m_lingering.insert(m_connections.extract(found));
}

void CallerConnections::startTimeout(Connection &connection) const
{
    connection.timeoutStart = m_loop.now();
    connection.idleTimeout = m_limits.idleTimeout;
    connection.headerTimeout = m_limits.headerTimeout;
}

bool CallerConnections::isIdle(const Connection &connection)
{
    return connection.reading && !connection.requestStarted
        && connection.socket->unsentBytes() == 0;
}

void CallerConnections::stopListening()
{
    if (m_listener)
        evconnlistener_free(m_listener);
    m_listener = nullptr;
    std::vector<Connection *> idle;
    for (const auto &[id, connection] : m_connections) {
        if (isIdle(*connection))
            idle.push_back(connection.get());
    }
    // A request that is on its way stays unread, so that its caller may repeat it elsewhere.
    for (Connection *connection : idle)
        close(*connection);
}

void CallerConnections::sweep(TimePoint now)
{
    std::vector<Connection *> idle;
    std::vector<Connection *> slow;
    for (const auto &[id, connection] : m_lingering) {
        if (now - connection->timeoutStart >= lingerTime)
            idle.push_back(connection.get());
    }
    for (const auto &[id, connection] : m_connections) {
        if (!connection->reading)
            continue;
        const Duration age = now - connection->timeoutStart;
        const Duration idleTimeout = std::max(connection->idleTimeout, m_limits.idleTimeout);
        const Duration headerTimeout = std::max(connection->headerTimeout, m_limits.headerTimeout);
        const Duration maxAge =
            connection->parser.headComplete() ? headerTimeout + idleTimeout : headerTimeout;
        if (connection->requestStarted && age > maxAge)
            slow.push_back(connection.get());
        else if (isIdle(*connection) && age > idleTimeout)
            idle.push_back(connection.get());
    }
    for (Connection *connection : idle)
        close(*connection);
    for (Connection *connection : slow)
        reject(*connection, requestTimeout, "slow_request");
}

} // namespace bramleypitch
