#include "network/backend_connections.h"

#include "core/rendezvous_func.h"
#include "network/response_limits.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bramleypitch {

namespace {

/// A server that does not accept a connection within this time is down, or its network path loses
/// packets.
constexpr Duration connectTimeout {400};
/// Idle timeout for connections to servers that do not state one in a Keep-Alive header.
constexpr Duration defaultIdleTimeout {4'000};
/// An idle connection expires this long before the server's own timeout, because a request sent
/// later could arrive after the server has closed the connection.
constexpr Duration idleTimeoutMargin {1'000};
constexpr Duration maxIdleTimeout {3'600'000};
constexpr std::size_t maxIdlePerServer = 32;
/// Bounds the memory for the ids of the requests that a connection has carried.
constexpr std::size_t maxRequestsPerConnection = 256;
constexpr int firstFinalStatus = 200;
constexpr std::string_view timeoutParameter = "timeout=";

Duration idleTimeoutFrom(const MessageHead &head)
{
    const std::string value = head.value("keep-alive");
    const std::size_t at = value.find(timeoutParameter);
    if (at == std::string::npos)
        return defaultIdleTimeout;
    int seconds = 0;
    const char *begin = value.data() + at + timeoutParameter.size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec == std::errc::result_out_of_range)
        return maxIdleTimeout;
    return std::clamp<Duration>(std::chrono::seconds(seconds) - idleTimeoutMargin, Duration(0),
                                maxIdleTimeout);
}

} // namespace

/// A connection to a server and the attempt that it currently carries, if any.
struct BackendConnections::Connection
{
    std::uint64_t id = 0;
    VmId server;
    std::unique_ptr<StreamSocket> socket;
    MessageParser parser {MessageParser::Kind::Response};
    AttemptHandle attempt; ///< 0 while the connection is idle.
    BackendRequest request;
    BackendHooks hooks;
    bool isWritten = false; ///< A byte of the request was passed to the socket.
    bool hasAnswered = false; ///< Any response was received on it.
    bool headDelivered = false; ///< The head of the response was passed to the hooks.
    bool discardingResponse = false; ///< The response being received belongs to another request.
    std::vector<std::uint64_t> carriedIds; ///< Hashes of the ids of the requests written to it.
    int otherResponses = 0; ///< Responses before that to the attempt.
    std::size_t otherBytes = 0; ///< Body bytes of these that were discarded.
    bool reusable = true; ///< May return to the pool after the current attempt.
    TimePoint openedAt;
    TimePoint idleUntil;

    bool hasCarried(const std::string &traceId) const
    {
        return std::find(carriedIds.begin(), carriedIds.end(), stableHash(traceId))
            != carriedIds.end();
    }
};

BackendConnections::BackendConnections(EventLoop &loop, std::string traceHeader, LinkHooks hooks)
    : m_loop(loop)
    , m_traceHeader(std::move(traceHeader))
    , m_linkHooks(std::move(hooks))
    , m_discard(loop, [this] { m_discarded.clear(); })
    , m_report(loop, [this] { reportWithdrawn(); })
{
}

BackendConnections::~BackendConnections() = default;

BackendConnections::Connection *BackendConnections::takeIdle(const BackendRequest &request)
{
    const TimePoint now = m_loop.now();
    // discard() erases the list with its last connection.
    for (auto found = m_idle.find(request.server); found != m_idle.end() && !found->second.empty();
         found = m_idle.find(request.server)) {
        Connection *connection = found->second.back();
        found->second.pop_back();
        if (now < connection->idleUntil && !connection->hasCarried(request.traceId))
            return connection;
        discard(*connection);
    }
    return nullptr;
}

AttemptHandle BackendConnections::send(BackendRequest request, BackendHooks hooks)
{
    Connection *connection = request.needsNewConnection ? nullptr : takeIdle(request);
    const bool isNew = connection == nullptr;
    if (isNew) {
        auto owned = std::make_unique<Connection>();
        connection = owned.get();
        connection->id = ++m_lastId;
        connection->server = request.server;
        connection->openedAt = m_loop.now();
        m_connections.emplace(connection->id, std::move(owned));
    }
    connection->attempt = AttemptHandle(++m_lastId);
    connection->isWritten = false;
    connection->request = std::move(request);
    connection->hooks = std::move(hooks);
    m_attempts[connection->attempt] = connection;
    if (isNew) {
        ++m_opened;
        SocketHooks socketHooks;
        socketHooks.onConnected = [this, connection] { onConnected(*connection); };
        socketHooks.onDrained = [connection] { onDrained(*connection); };
        socketHooks.onReadable = [this, connection] { onReadable(*connection); };
        socketHooks.onClosed = [this, connection](bool clean) { onClosed(*connection, clean); };
        connection->socket = std::make_unique<StreamSocket>(m_loop, connection->request.address,
                                                            std::move(socketHooks));
        if (m_kernelBuffer > 0)
            connection->socket->setKernelBuffer(m_kernelBuffer);
    } else {
        begin(*connection);
    }
    return connection->attempt;
}

void BackendConnections::onConnected(Connection &connection)
{
    if (!connection.hooks.mayWrite || connection.hooks.mayWrite())
        begin(connection);
    else
        withdraw(connection);
}

void BackendConnections::withdraw(Connection &connection)
{
    connection.socket->disable();
    // Later, since the attempt may not have been returned to its sender yet.
    m_withdrawn.push_back(connection.attempt);
    m_report.startOnce(Duration(0));
}

void BackendConnections::reportWithdrawn()
{
    for (const AttemptHandle attempt : std::exchange(m_withdrawn, {})) {
        const auto found = m_attempts.find(attempt);
        if (found == m_attempts.end())
            continue;
        const BackendHooks hooks = std::move(found->second->hooks);
        discard(*found->second);
        guardCallback("withdrawn", hooks.onWithdrawn);
    }
}

void BackendConnections::begin(Connection &connection)
{
    if (!connection.hooks.takeGrant || !connection.hooks.takeGrant()) {
        withdraw(connection);
        return;
    }
    connection.isWritten = true;
    connection.parser.reset(connection.request.isHeadRequest);
    connection.headDelivered = false;
    connection.discardingResponse = false;
    connection.otherResponses = 0;
    connection.otherBytes = 0;
    connection.carriedIds.push_back(stableHash(connection.request.traceId));
    // Not kept: the connection may be idle for long afterwards.
    std::string bytes = std::exchange(connection.request.head, {});
    bytes += std::exchange(connection.request.body, {});
    connection.socket->write(bytes);
    onDrained(connection);
}

void BackendConnections::onDrained(Connection &connection)
{
    if (!connection.isWritten || connection.socket->unsentBytes() > 0 || !connection.hooks.onSent)
        return;
    // Called once.
    std::exchange(connection.hooks.onSent, nullptr)();
}

void BackendConnections::onReadable(Connection &connection)
{
    if (connection.attempt == AttemptHandle()) {
        // Bytes on an idle connection belong to no request.
        discard(connection);
        return;
    }
    processInput(connection);
}

void BackendConnections::processInput(Connection &connection)
{
    const AttemptHandle attempt = connection.attempt;
    while (m_attempts.count(attempt) && !connection.socket->received().empty()) {
        const std::string_view bytes = connection.socket->received();
        connection.socket->consume(connection.parser.feed(bytes));
        if (connection.parser.failed()) {
            fail(connection);
            return;
        }
        if (!connection.parser.headComplete())
            continue;
        const MessageHead &head = connection.parser.head();
        if (!connection.headDelivered && head.status >= firstFinalStatus) {
            connection.headDelivered = true;
            if (!connection.hasAnswered && !connection.request.isToNode && m_linkHooks.onAnswered)
                m_linkHooks.onAnswered(connection.openedAt);
            connection.hasAnswered = true;
            const ResponseOwner owner = responseOwner(connection);
            if (owner == ResponseOwner::Conflicting) {
                fail(connection);
                return;
            }
            connection.discardingResponse = owner == ResponseOwner::Other;
            if (connection.discardingResponse || !head.find(m_traceHeader))
                connection.reusable = false;
            if (!connection.discardingResponse)
                connection.hooks.onResponseHead(head);
            else if (m_linkHooks.onDiscarded)
                m_linkHooks.onDiscarded(connection.request, head);
        }
        if (!m_attempts.count(attempt))
            return;
        std::string body = connection.parser.takeBody();
        if (connection.discardingResponse)
            connection.otherBytes += body.size();
        else if (!body.empty() && connection.headDelivered)
            connection.hooks.onResponseBody(std::move(body));
        if (!m_attempts.count(attempt))
            return;
        if (connection.otherBytes > ResponseLimits::otherBytes) {
            fail(connection);
            return;
        }
        if (!connection.parser.complete())
            continue;
        if (!connection.headDelivered || connection.discardingResponse) {
            // An interim (1xx) response, or one to another request: wait for the right one.
            if (++connection.otherResponses > ResponseLimits::otherResponses) {
                fail(connection);
                return;
            }
            connection.parser.reset(connection.request.isHeadRequest);
            connection.headDelivered = false;
            connection.discardingResponse = false;
            continue;
        }
        finish(connection);
        return;
    }
}

BackendConnections::ResponseOwner
BackendConnections::responseOwner(const Connection &connection) const
{
    bool namesAttempt = false;
    bool namesOther = false;
    for (const auto &[name, value] : connection.parser.head().headers) {
        if (!sameHeader(name, m_traceHeader))
            continue;
        const bool isOwn = value == connection.request.traceId;
        namesAttempt = namesAttempt || isOwn;
        namesOther = namesOther || !isOwn;
    }
    if (namesAttempt && namesOther)
        return ResponseOwner::Conflicting;
    const bool isFirstOfConnection = connection.carriedIds.size() == 1;
    return namesAttempt || (!namesOther && isFirstOfConnection) ? ResponseOwner::Attempt
                                                                : ResponseOwner::Other;
}

void BackendConnections::finish(Connection &connection)
{
    const BackendHooks hooks = std::move(connection.hooks);
    connection.hooks = BackendHooks();
    m_attempts.erase(connection.attempt);
    connection.attempt = AttemptHandle();
    auto &idle = m_idle[connection.server];
    const MessageHead &head = connection.parser.head();
    const BodyEnd end = connection.parser.bodyEnd();
    const bool reuse = connection.reusable && head.keepAlive
        && connection.socket->unsentBytes() == 0 && connection.socket->received().empty()
        && idle.size() < maxIdlePerServer
        && connection.carriedIds.size() < maxRequestsPerConnection;
    connection.idleUntil = m_loop.now() + idleTimeoutFrom(head);
    if (reuse)
        idle.push_back(&connection);
    else
        discard(connection);
    hooks.onResponseEnd(end);
}

void BackendConnections::fail(Connection &connection)
{
    const BackendHooks hooks = std::move(connection.hooks);
    const bool sent = connection.isWritten;
    if (!connection.hasAnswered && !connection.request.isToNode && m_linkHooks.onFailed)
        m_linkHooks.onFailed(connection.server);
    discard(connection);
    hooks.onFailure(sent);
}

void BackendConnections::onClosed(Connection &connection, bool clean)
{
    if (connection.attempt == AttemptHandle()) {
        discard(connection);
        return;
    }
    if (clean && connection.headDelivered && !connection.discardingResponse) {
        const AttemptHandle attempt = connection.attempt;
        connection.parser.close();
        std::string body = connection.parser.takeBody();
        if (!body.empty())
            connection.hooks.onResponseBody(std::move(body));
        if (!m_attempts.count(attempt))
            return;
        if (connection.parser.complete()) {
            connection.reusable = false;
            finish(connection);
            return;
        }
    }
    fail(connection);
}

void BackendConnections::discard(Connection &connection)
{
    const auto found = m_connections.find(connection.id);
    if (found == m_connections.end())
        return;
    auto &idle = m_idle[connection.server];
    idle.erase(std::remove(idle.begin(), idle.end(), &connection), idle.end());
    if (idle.empty())
        m_idle.erase(connection.server);
    m_attempts.erase(connection.attempt);
    connection.attempt = AttemptHandle();
    // Nothing is read or written any more, but callbacks of the connection may still be on the call
    // stack, so it is freed in the next event loop iteration.
    connection.socket->disable();
    m_discarded.push_back(std::move(found->second));
    m_connections.erase(found);
    m_discard.startOnce(Duration(0));
}

void BackendConnections::abandon(AttemptHandle handle)
{
    const auto found = m_attempts.find(handle);
    if (found != m_attempts.end())
        discard(*found->second);
}

void BackendConnections::setReading(AttemptHandle handle, bool reading)
{
    const auto found = m_attempts.find(handle);
    if (found != m_attempts.end())
        found->second->socket->setReading(reading);
}

void BackendConnections::sweep(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, connection] : m_connections) {
        const bool idle = connection->attempt == AttemptHandle();
        // The time may have passed without the process, which then has not seen the connection
        // open.
        const bool connectTimedOut =
            now - connection->openedAt > connectTimeout && connection->socket->isConnecting();
        if (connectTimedOut || (idle && now >= connection->idleUntil))
            expired.push_back(id);
    }
    for (const std::uint64_t id : expired) {
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
            continue;
        if (found->second->attempt == AttemptHandle())
            discard(*found->second);
        else
            fail(*found->second);
    }
}

} // namespace bramleypitch
