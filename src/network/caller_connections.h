#pragma once

#include "network/http_message.h"
#include "network/http_server.h"
#include "network/memory_account.h"
#include "network/stream_socket.h"
#include "request/serving_type.h"

#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleypitch {

/// Callbacks of the callers' connections.
struct CallerHooks
{
    /// A complete request was received.
    std::function<void(ExchangeId, const MessageHead &, std::string body)> onRequest;
    /// The caller disconnected before its response was complete.
    std::function<void(ExchangeId)> onDisconnected;
    /// All bytes written for the current response have been sent.
    std::function<void(ExchangeId)> onDrained;
    /// A malformed, oversized or slow request was answered with an error status.
    std::function<void(int status, const char *cause)> onRejected;
    /// A complete request was received whose body was dropped for lack of memory.
    std::function<void(ExchangeId, const MessageHead &)> onBodyDropped;
    /// The caller closed its writing side. Returns whether its request goes on all the same; if
    /// not, the caller counts as disconnected.
    std::function<bool(ExchangeId)> onInputEnded;
};

/// A caller for which bytes of responses wait.
struct SlowCaller
{
    std::uint64_t connection = 0;
    ExchangeId exchange; ///< The request being answered; 0 if all responses are complete.
    std::size_t unsent = 0;
    bool mayRepeat = false; ///< The requests of these responses may be sent again.
    TimePoint readAt; ///< When the caller last read something, or the first byte began to wait.
};

/// HTTP server for callers: reads requests from each connection one after another, within the
/// limits of the configuration, and writes the responses. It is built on bufferevents and
/// http_parser because libevhtp hides the details that the rules for malformed, slow and partially
/// received requests depend on.
class CallerConnections
{
public:
    /// `account` counts the bodies of requests, and the bytes of responses that wait for callers.
    CallerConnections(EventLoop &loop, CallerHooks hooks, MemoryAccount &account);
    ~CallerConnections();
    CallerConnections(const CallerConnections &) = delete;
    CallerConnections &operator=(const CallerConnections &) = delete;

    /// Throws Failure(AddressUnavailable) if the address cannot be bound.
    void listen(const Address &address);
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /// Limits the sum of the bodies of requests that are being received or answered. A body beyond
    /// it is dropped, but a single one is not.
    void setMaxBodyMemory(std::size_t bytes) { m_maxBodyMemory = bytes; }
    /// Bounds what waits for one caller: no next request is read from its connection while more
    /// than `unsent` bytes wait, and the kernel gets up to about `kernel` bytes of each new
    /// connection. 0 means no bound.
    void setCallerBounds(std::size_t unsent, std::size_t kernel);
    /// From now on, closes each connection after its next response, unless bytes of a next request
    /// have already been received. That request is answered first.
    void setClosing() { m_closing = true; }
    /// Accepts no more connections and closes those without a request in progress, except those
    /// whose last response is still being sent.
    void stopListening();
    /// Number of connections that may carry a request or response.
    std::size_t open() const { return m_connections.size(); }
    /// Number of further connections that carry no more requests, and are closed once their callers
    /// have received the last response.
    std::size_t lingering() const { return m_lingering.size(); }

    /// Send a complete response. Content-Length is added to the given headers.
    void reply(ExchangeId exchange, int status, const HttpHeaders &headers, std::string_view body);
    void reply(ExchangeId exchange, int status, const HttpHeaders &headers, BlockBuffer body);
    /// What waits for the caller is counted as bytes of this server from now on.
    void setServer(ExchangeId exchange, const VmId &server);
    /// Whether the request of the response that starts may be sent again.
    void setRepeatable(ExchangeId exchange, bool mayRepeat);
    /// Starts a response with chunked transfer coding.
    void startChunkedResponse(ExchangeId exchange, int status, const HttpHeaders &headers);
    void sendChunk(ExchangeId exchange, std::string_view chunk);
    void endChunkedResponse(ExchangeId exchange);
    /// Closes the connection without ending the response, so that the caller recognises it as
    /// incomplete.
    void abortConnection(ExchangeId exchange);
    /// Number of bytes written for the caller that have not been passed to the kernel yet.
    std::size_t unsentBytes(ExchangeId exchange) const;
    /// The callers for which bytes of responses wait.
    std::vector<SlowCaller> slowCallers() const;
    /// Closes a connection and frees what waits for its caller, who counts as disconnected.
    void giveUp(std::uint64_t connection);

    /// Closes connections that exceed the idle timeout and rejects requests that arrive too slowly.
    void sweep(TimePoint now);

private:
    struct Connection;

    /// Stops accepting for a moment: no descriptor is left, and the listener would be called at
    /// once again.
    static void onAcceptFailed(evconnlistener *, void *self);
    static void onAccepted(evconnlistener *, evutil_socket_t descriptor, sockaddr *, int,
                           void *self);
    void onReadable(Connection &connection);
    /// Parses the received bytes of a request head or body. Both return false if more bytes are
    /// needed or the request is invalid.
    bool readHead(Connection &connection);
    bool readBody(Connection &connection);
    /// Adds a part to the body of a request, or drops the body for lack of memory.
    void addToBody(Connection &connection, const std::string &part);
    /// Whether so much waits for the caller that its next request is not read.
    bool isBackedUp(const Connection &connection) const;
    /// The body of the connection's request is not kept any longer.
    void releaseBody(Connection &connection);
    /// Passes a complete request to the hooks.
    void dispatch(Connection &connection);
    /// Answers an invalid request with an error and closes the connection afterwards.
    void reject(Connection &connection, int status, const char *cause);
    /// Whether the response that starts now is the last one of its connection.
    bool isLastResponse(const Connection &connection) const;
    /// The connection waits for its next request from now on.
    void startTimeout(Connection &connection) const;
    /// Closes the connection after a response or prepares it for the next request.
    void finishResponse(Connection &connection);
    /// Whether no request is in progress and the last response was passed to the kernel.
    static bool isIdle(const Connection &connection);
    /// Handles the end of a connection by the caller (`clean`) or by a socket error.
    void onClosed(Connection &connection, bool clean);
    /// The caller closed its writing side. Returns whether the connection is kept for a response.
    bool isKeptForResponse(Connection &connection);
    void close(Connection &connection);
    /// Closes a connection whose last response was sent. Unread bytes would make the kernel reset
    /// the connection and drop what the caller has not received yet, so that bytes are read and
    /// discarded until the caller closes it as well, or for a limited time after that response.
    void closeAfterReading(Connection &connection);
    Connection *find(ExchangeId exchange) const;
    /// Writes the status line and headers, without the blank line that ends them.
    std::string formatHead(const Connection &connection, int status,
                           const HttpHeaders &headers) const;

    EventLoop &m_loop;
    CallerHooks m_hooks;
    MemoryAccount &m_account;
    CallerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_lingering;
    std::map<ExchangeId, Connection *> m_exchanges;
    std::vector<std::unique_ptr<Connection>> m_discarded; ///< Freed by m_discard.
    Timer m_discard;
    Timer m_acceptAgain;
    std::size_t m_maxBodyMemory = 32 * 1024 * 1024;
    std::size_t m_maxUnsent = 0; ///< Before the next request of a caller is read; 0: no bound.
    std::size_t m_kernelBuffer = 0; ///< For the responses of a connection; 0: the system's own.
    std::uint64_t m_lastId = 0;
    bool m_closing = false;
};

} // namespace bramleypitch
