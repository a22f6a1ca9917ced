#include "network/backend_connections.h"

#include <algorithm>
#include <charconv>

namespace bramleypitch {

namespace {

/// A server that does not accept a connection within this time is down, or its network path loses
/// packets.
constexpr Duration connectTimeout {400};
/// Idle timeout for connections to servers that do not state one in a Keep-Alive header.
constexpr Duration defaultIdleTimeout {4'000};
/// An idle connection expires this long before the server's own timeout, because a request sent
/// later could cross the server's close.
constexpr Duration idleTimeoutMargin {1'000};
constexpr std::size_t maxIdlePerServer = 32;
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
    std::from_chars(begin, value.data() + value.size(), seconds);
    return std::max(Duration(seconds * 1'000) - idleTimeoutMargin, Duration(0));
}

} // namespace

/// A connection to a server and the attempt that it currently carries, if any.
struct BackendConnections::Link
{
    std::uint64_t id = 0;
    VmId server;
    std::unique_ptr<StreamSocket> socket;
    MessageParser parser {MessageParser::Kind::Response};
    AttemptHandle attempt; ///< 0 while the connection is idle.
    BackendRequest request;
    BackendHooks hooks;
    bool headDelivered = false; ///< The head of the response was passed to the hooks.
    bool discardingResponse = false; ///< The response being received belongs to another request.
    bool reusable = true; ///< May return to the pool after the current attempt.
    TimePoint openedAt;
    TimePoint idleUntil;
};

BackendConnections::BackendConnections(EventLoop &loop, std::string traceHeader)
    : m_loop(loop)
    , m_traceHeader(std::move(traceHeader))
    , m_discard(loop, [this] { m_discarded.clear(); })
{
}

BackendConnections::~BackendConnections() = default;

BackendConnections::Link *BackendConnections::takeIdle(const VmId &server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    const TimePoint now = m_loop.now();
    while (!found->second.empty()) {
        Link *link = found->second.back();
        found->second.pop_back();
        if (now < link->idleUntil)
            return link;
        discard(*link);
    }
    return nullptr;
}

AttemptHandle BackendConnections::send(BackendRequest request, BackendHooks hooks)
{
    Link *link = request.needsNewConnection ? nullptr : takeIdle(request.server);
    const bool isNew = link == nullptr;
    if (isNew) {
        auto owned = std::make_unique<Link>();
        link = owned.get();
        link->id = ++m_lastId;
        link->server = request.server;
        link->openedAt = m_loop.now();
        m_connections.emplace(link->id, std::move(owned));
    }
    link->attempt = AttemptHandle(++m_lastId);
    link->request = std::move(request);
    link->hooks = std::move(hooks);
    m_attempts[link->attempt] = link;
    if (isNew) {
        ++m_opened;
        SocketHooks socketHooks;
        socketHooks.connected = [this, link] { begin(*link); };
        socketHooks.readable = [this, link] { readable(*link); };
        socketHooks.closed = [this, link](bool clean) { closed(*link, clean); };
        link->socket =
            std::make_unique<StreamSocket>(m_loop, link->request.address, std::move(socketHooks));
    } else {
        begin(*link);
    }
    return link->attempt;
}

void BackendConnections::begin(Link &link)
{
    link.parser.reset(link.request.isHeadRequest);
    link.headDelivered = false;
    link.discardingResponse = false;
    if (link.request.body.empty())
        link.socket->write(link.request.head);
    else
        link.socket->write(link.request.head + link.request.body);
}

void BackendConnections::readable(Link &link)
{
    if (link.attempt == AttemptHandle()) {
        // Bytes on an idle connection belong to no request.
        discard(link);
        return;
    }
    processInput(link);
}

void BackendConnections::processInput(Link &link)
{
    const AttemptHandle attempt = link.attempt;
    while (m_attempts.count(attempt) && !link.socket->received().empty()) {
        const std::string_view bytes = link.socket->received();
        link.socket->consume(link.parser.feed(bytes));
        if (link.parser.failed()) {
            fail(link);
            return;
        }
        if (!link.parser.headComplete())
            continue;
        const MessageHead &head = link.parser.head();
        if (!link.headDelivered && head.status >= firstFinalStatus) {
            link.headDelivered = true;
            const std::string *traceId = head.find(m_traceHeader);
            link.discardingResponse = traceId && *traceId != link.request.traceId;
            if (link.discardingResponse)
                link.reusable = false;
            else
                link.hooks.onResponseHead(head);
        }
        if (!m_attempts.count(attempt))
            return;
        std::string body = link.parser.takeBody();
        if (!body.empty() && link.headDelivered && !link.discardingResponse)
            link.hooks.onResponseBody(std::move(body));
        if (!m_attempts.count(attempt))
            return;
        if (!link.parser.complete())
            continue;
        if (!link.headDelivered || link.discardingResponse) {
            // An interim (1xx) response, or one to another request: wait for the right one.
            link.parser.reset(link.request.isHeadRequest);
            link.headDelivered = false;
            link.discardingResponse = false;
            continue;
        }
        finish(link);
        return;
    }
}

void BackendConnections::finish(Link &link)
{
    const BackendHooks hooks = std::move(link.hooks);
    link.hooks = BackendHooks();
    m_attempts.erase(link.attempt);
    link.attempt = AttemptHandle();
    auto &idle = m_idle[link.server];
    const MessageHead &head = link.parser.head();
    const bool reuse = link.reusable && head.keepAlive && link.socket->waiting() == 0
        && link.socket->received().empty() && idle.size() < maxIdlePerServer;
    link.idleUntil = m_loop.now() + idleTimeoutFrom(head);
    if (reuse)
        idle.push_back(&link);
    else
        discard(link);
    hooks.ended();
}

void BackendConnections::fail(Link &link)
{
    const BackendHooks hooks = std::move(link.hooks);
    const bool sent = link.socket->isConnected();
    discard(link);
    hooks.broken(sent);
}

void BackendConnections::closed(Link &link, bool clean)
{
    if (link.attempt == AttemptHandle()) {
        discard(link);
        return;
    }
    if (clean && link.headDelivered && !link.discardingResponse) {
        const AttemptHandle attempt = link.attempt;
        link.parser.close();
        std::string body = link.parser.takeBody();
        if (!body.empty())
            link.hooks.onResponseBody(std::move(body));
        if (!m_attempts.count(attempt))
            return;
        if (link.parser.complete()) {
            link.reusable = false;
            finish(link);
            return;
        }
    }
    fail(link);
}

void BackendConnections::discard(Link &link)
{
    const auto found = m_connections.find(link.id);
    if (found == m_connections.end())
        return;
    auto &idle = m_idle[link.server];
    idle.erase(std::remove(idle.begin(), idle.end(), &link), idle.end());
    if (idle.empty())
        m_idle.erase(link.server);
    m_attempts.erase(link.attempt);
    link.attempt = AttemptHandle();
    // Reading stops now, but callbacks of the connection may still be on the call stack, so it is
    // freed in the next event loop iteration.
    link.socket->setReading(false);
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
    for (const auto &[id, link] : m_connections) {
        const bool idle = link->attempt == AttemptHandle();
        const bool connectTimedOut =
            !link->socket->isConnected() && now - link->openedAt > connectTimeout;
        if (connectTimedOut || (idle && now >= link->idleUntil))
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
