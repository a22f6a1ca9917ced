#include "network/stream_socket.h"

#include "core/error_type.h"
#include "network/address_func.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace bramleypitch {

namespace {

/// Limit on the received bytes that are buffered before they are consumed.
constexpr std::size_t maxReadAhead = 256 * 1024;
/// The same for outgoing connections, of which all bytes are consumed when they are reported.
constexpr std::size_t maxResponseReadAhead = 32 * 1024;
/// The connection fails if the peer does not acknowledge written bytes, or reads none of them,
/// within this time. It only frees the connections of peers that are gone: a peer may stop reading
/// for some seconds, and requests have deadlines of their own.
constexpr unsigned unacknowledgedTimeoutMs = 30'000;

} // namespace

StreamSocket::StreamSocket(EventLoop &loop, int descriptor, SocketHooks hooks)
    : m_hooks(std::move(hooks))
    , m_bufferEvent(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_connected(true)
{
    setOptions(descriptor);
    if (m_hooks.onUnsentChanged)
        evbuffer_add_cb(bufferevent_get_output(m_bufferEvent), onOutputChanged, this);
    bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, maxReadAhead);
    bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
}

StreamSocket::StreamSocket(EventLoop &loop, const Address &address, SocketHooks hooks)
    : m_hooks(std::move(hooks))
    , m_bufferEvent(
          bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, maxResponseReadAhead);
    // Callbacks are deferred, so that even an immediate failure is reported after construction.
    if (connect(address))
        setOptions(bufferevent_getfd(m_bufferEvent));
    else
        bufferevent_trigger_event(m_bufferEvent, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

bool StreamSocket::connect(const Address &address)
{
    try {
        const sockaddr_in target = parseSocketAddress(address);
        return bufferevent_socket_connect(
                   m_bufferEvent, reinterpret_cast<const sockaddr *>(&target), sizeof(target))
            == 0;
    } catch (const Failure &) {
        return false;
    }
}

StreamSocket::~StreamSocket()
{
    evbuffer_remove_cb(bufferevent_get_output(m_bufferEvent), onOutputChanged, this);
    bufferevent_free(m_bufferEvent);
}

void StreamSocket::setOptions(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs,
               sizeof(unacknowledgedTimeoutMs));
}

void StreamSocket::setKernelBuffer(std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    setsockopt(bufferevent_getfd(m_bufferEvent), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

std::string_view StreamSocket::received()
{
    evbuffer *input = bufferevent_get_input(m_bufferEvent);
    const std::size_t length = evbuffer_get_length(input);
    if (length == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), length};
}

void StreamSocket::consume(std::size_t bytes)
{
    evbuffer_drain(bufferevent_get_input(m_bufferEvent), bytes);
}

void StreamSocket::write(std::string_view bytes)
{
    if (m_connected && unsentBytes() == 0) {
        const ssize_t sent = ::send(bufferevent_getfd(m_bufferEvent), bytes.data(), bytes.size(),
                                    MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0)
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        // The bufferevent closes the connection on its next read or write. The socket reports an
        // error only once, so that a read may then see nothing but an end.
        else if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
            m_writeFailed = true;
    }
    if (!bytes.empty())
        bufferevent_write(m_bufferEvent, bytes.data(), bytes.size());
}

std::size_t StreamSocket::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bufferEvent));
}

void StreamSocket::endWriting()
{
    shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
}

void StreamSocket::setReading(bool reading)
{
    if (reading)
        bufferevent_enable(m_bufferEvent, EV_READ);
    else
        bufferevent_disable(m_bufferEvent, EV_READ);
}

bool StreamSocket::isConnecting() const
{
    pollfd descriptor {bufferevent_getfd(m_bufferEvent), POLLOUT, 0};
    return !m_connected && descriptor.fd >= 0 && poll(&descriptor, 1, 0) == 0;
}

void StreamSocket::disable()
{
    // Without callbacks, since some may have been scheduled already.
    bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    m_hooks = SocketHooks();
}

void StreamSocket::onRead(bufferevent *, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    call("read", socket->m_hooks.onReadable, socket->m_hooks.onClosed);
}

void StreamSocket::onWrite(bufferevent *, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    call("write", socket->m_hooks.onDrained, socket->m_hooks.onClosed);
}

void StreamSocket::onEvent(bufferevent *, short what, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    if (what & BEV_EVENT_CONNECTED) {
        socket->m_connected = true;
        bufferevent_enable(socket->m_bufferEvent, EV_READ | EV_WRITE);
        call("connect", socket->m_hooks.onConnected, socket->m_hooks.onClosed);
        return;
    }
    // A write may take the error of a reset from the socket; a read after it sees an end. Both are
    // then reported at once.
    const bool clean =
        (what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR) && !socket->m_writeFailed;
    const auto hook = socket->m_hooks.onClosed;
    if (hook)
        guardCallback("close", [&] { hook(clean); });
}

void StreamSocket::onOutputChanged(evbuffer *output, const evbuffer_cb_info *, void *self)
{
    const auto &hook = static_cast<StreamSocket *>(self)->m_hooks.onUnsentChanged;
    if (hook)
        guardCallback("unsent", [&] { hook(evbuffer_get_length(output)); });
}

void StreamSocket::call(const char *name, const std::function<void()> &hook,
                        const std::function<void(bool)> &onClosed)
{
    if (!hook)
        return;
    // The hook may destroy the socket and with it the stored functions, so call copies.
    const std::function<void()> callback = hook;
    const std::function<void(bool)> closed = onClosed;
    if (!guardCallback(name, callback) && closed)
        guardCallback("close", [&] { closed(false); });
}

} // namespace bramleypitch
