#pragma once

#include "core/strong_type.h"
#include "network/event_loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace bramleypitch {

/// Callbacks of a socket. Each of them may destroy or disable the socket.
struct SocketHooks
{
    std::function<void()> onConnected; ///< Only called for outgoing connections.
    std::function<void()> onReadable;
    std::function<void()> onDrained; ///< All written bytes were passed to the kernel.
    /// The peer has ended its side and nothing has failed (`clean`), or the connection has failed.
    std::function<void(bool clean)> onClosed;
    /// The number of written bytes that have not been passed to the kernel has changed; optional,
    /// for incoming connections. It must not destroy the socket.
    std::function<void(std::size_t unsent)> onUnsentChanged;
};

/// A TCP connection on top of a bufferevent. Writes go directly to the kernel while its send buffer
/// has space, which saves an event loop iteration for each of them.
class StreamSocket
{
public:
    /// Takes ownership of the descriptor of an incoming connection.
    StreamSocket(EventLoop &loop, int descriptor, SocketHooks hooks);
    /// Connects to an address. Calls `onConnected` on success and `onClosed` on failure, also if it
    /// is not an IPv4 "IP:PORT". Neither is called before the constructor returns.
    StreamSocket(EventLoop &loop, const Address &address, SocketHooks hooks);
    ~StreamSocket();
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    /// The received bytes that have not been consumed, as one contiguous block.
    std::string_view received();
    void consume(std::size_t bytes);
    void write(std::string_view bytes);
    /// Number of written bytes that have not been passed to the kernel yet.
    std::size_t unsentBytes() const;
    /// Tells the peer that nothing more is sent. Everything written must have been sent.
    void endWriting();
    /// Pauses or resumes reading. Used to apply back-pressure to the sender.
    void setReading(bool reading);
    /// Limits what the kernel holds of written bytes, to about this number.
    void setKernelBuffer(std::size_t bytes);
    /// Whether `onConnected` was called.
    bool isConnected() const { return m_connected; }
    /// Whether the system neither has opened the connection nor failed to. Otherwise a hook is
    /// called as soon as the event loop gets to it.
    bool isConnecting() const;
    /// Ends reading and writing. No hook is called any more, also not for what has already happened
    /// to the connection. What was written and not sent yet is lost.
    void disable();

private:
    /// Calls a hook. If it throws, the connection has failed.
    static void call(const char *name, const std::function<void()> &hook,
                     const std::function<void(bool)> &onClosed);
    static void onRead(bufferevent *, void *self);
    static void onWrite(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);
    static void onOutputChanged(evbuffer *output, const evbuffer_cb_info *, void *self);
    /// Starts to connect. Returns false if that failed without a callback.
    bool connect(const Address &address);
    void setOptions(int descriptor);

    SocketHooks m_hooks;
    bufferevent *m_bufferEvent;
    bool m_connected = false;
    bool m_writeFailed = false; ///< A write to the kernel has failed.
};

} // namespace bramleypitch
