#pragma once

#include "core/strong_type.h"
#include "network/http_message.h"
#include "network/stream_socket.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleypitch {

/// Identifies an attempt in BackendConnections; 0 stands for no attempt.
using AttemptHandle = StrongType<struct AttemptHandleTag, std::uint64_t>;

/// An attempt of a request, as it is sent to a backend server.
struct BackendRequest
{
    Address address;
    VmId server; ///< Key of the connection pool. Addresses may be reassigned to other servers.
    std::string head; ///< Request line, headers and the blank line that ends them.
    std::string body;
    std::string traceId; ///< Identifies the response; see BackendConnections.
    bool isToNode = false; ///< The request is passed on to another node.
    bool isHeadRequest = false; ///< The method is HEAD, so the response has no body.
    bool needsNewConnection = false; ///< Open a new connection instead of reusing an idle one.
};

/// Callbacks of an attempt: `onResponseHead` and `onResponseBody` as the response is received, then
/// exactly one of `onResponseEnd`, `onWithdrawn` and `onFailure`. An abandoned attempt gets no
/// further callbacks.
struct BackendHooks
{
    std::function<void(const MessageHead &)> onResponseHead;
    std::function<void(std::string)> onResponseBody;
    std::function<void(BodyEnd)> onResponseEnd;
    /// Whether the request may still be written once its connection is open; true if not set.
    std::function<bool()> mayWrite;
    /// The first byte of the request is written now if this returns true, and only then.
    std::function<bool()> takeGrant;
    /// All of the request was passed to the kernel; optional.
    std::function<void()> onSent;
    /// The request may not be written any more. Nothing was sent.
    std::function<void()> onWithdrawn;
    /// The attempt failed. With `sent`, part of the request may have reached the server.
    std::function<void(bool sent)> onFailure;
};

/// Callbacks for what connections show of the links to servers.
struct LinkHooks
{
    /// A connection could not be opened, or ended without any answer.
    std::function<void(const VmId &)> onFailed;
    /// The first answer on a connection that was opened at the given time.
    std::function<void(TimePoint openedAt)> onAnswered;
    /// A response that does not belong to the request of its connection is discarded; optional.
    std::function<void(const BackendRequest &, const MessageHead &)> onDiscarded;
};

/// Pool of HTTP connections to backend servers, each of which carries one request at a time. A
/// connection is not reused if it delivers bytes beyond the response, or the response before the
/// whole request was sent.
///
/// A server may repeat an earlier response on a connection. A response to another request is
/// therefore recognised by its id and discarded. On a connection that was used before, a response
/// without an id is discarded as well, and no connection carries two requests with the same id. A
/// response without an id is only passed on from a new connection, and shows nothing about whether
/// the request was executed.
class BackendConnections
{
public:
    /// `traceHeader` is the name of the header that carries the request's id in requests and
    /// responses.
    BackendConnections(EventLoop &loop, std::string traceHeader, LinkHooks hooks = {});
    ~BackendConnections();
    BackendConnections(const BackendConnections &) = delete;
    BackendConnections &operator=(const BackendConnections &) = delete;

    /// Sends a request over an idle connection to its server or over a new one.
    AttemptHandle send(BackendRequest request, BackendHooks hooks);
    /// Closes the attempt's connection. None of its hooks is called any more.
    void abandon(AttemptHandle handle);
    /// Pauses or resumes reading the attempt's response.
    void setReading(AttemptHandle handle, bool reading);
    /// What the kernel may hold of requests on one connection from now on; 0: no bound.
    void setKernelBuffer(std::size_t bytes) { m_kernelBuffer = bytes; }
    /// Closes connections whose idle timeout has passed, and fails attempts whose connection could
    /// not be established in time.
    void sweep(TimePoint now);
    /// Number of connections opened since the process started.
    std::uint64_t opened() const { return m_opened; }

private:
    struct Connection;
    enum class ResponseOwner {
        Attempt, ///< The attempt that the connection carries.
        Other, ///< Another request, or none that can be told.
        Conflicting, ///< It names several requests.
    };

    /// Removes an idle connection that may carry the request from the pool; null if there is none.
    Connection *takeIdle(const BackendRequest &request);
    /// Writes the request to the socket if it is granted.
    void begin(Connection &connection);
    /// Ends an attempt that may not be written.
    void withdraw(Connection &connection);
    /// Reports the attempts that were withdrawn.
    void reportWithdrawn();
    void onConnected(Connection &connection);
    /// Everything written to the socket was passed to the kernel.
    static void onDrained(Connection &connection);
    void onReadable(Connection &connection);
    void processInput(Connection &connection);
    /// Which request the response being received belongs to.
    ResponseOwner responseOwner(const Connection &connection) const;
    void onClosed(Connection &connection, bool clean);
    /// Ends an attempt after its complete response and keeps the connection if it is reusable.
    void finish(Connection &connection);
    /// Ends an attempt without a complete response and closes its connection.
    void fail(Connection &connection);
    void discard(Connection &connection);

    EventLoop &m_loop;
    std::string m_traceHeader;
    LinkHooks m_linkHooks;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<VmId, std::vector<Connection *>> m_idle;
    std::map<AttemptHandle, Connection *> m_attempts;
    std::vector<std::unique_ptr<Connection>> m_discarded; ///< Freed by m_discard.
    Timer m_discard;
    std::vector<AttemptHandle> m_withdrawn; ///< Reported by m_report.
    Timer m_report;
    std::size_t m_kernelBuffer = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;
};

} // namespace bramleypitch
