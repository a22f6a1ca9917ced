#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "network/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;

namespace bramleypitch {

using HttpCallId = StrongType<struct HttpCallIdTag, std::uint64_t>;

/// A request to a server, which is addressed by IP address.
struct HttpCall
{
    Address address;
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeLimit {1'000}; ///< From sending to the end of the response.
    /// If not 0, the call also ends when nothing of the response has arrived for this time.
    Duration pauseLimit {0};
    std::size_t maxBodyBytes = 0; ///< Of the response; 0: ResponseLimits::callBodyBytes.
    bool useNewConnection =
        false; ///< Use a new connection: the server may be closing a reused one.
    /// The server may receive the call twice. If a reused connection ends before anything of the
    /// response has arrived, the call is sent again on a new one, within the same time limits.
    bool isRepeatable = false;
};

/// A complete response.
struct HttpResponse
{
    int status = 0;
    std::string contentType;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< Empty if the `onChunk` hook is set.
};

/// How a call failed: it ended without a complete response.
struct HttpFailure
{
    bool sent = false; ///< At least one byte of the request has left the process.
    bool timedOut = false;
    bool tooLong = false; ///< The body of the response is longer than HttpCall::maxBodyBytes.
};

/// Callbacks for the result of a call. Exactly one of `onResponse` and `onFailure` is called, or
/// neither if the call is cancelled.
struct HttpHooks
{
    std::function<void(const HttpResponse &)> onResponse;
    std::function<void(const HttpFailure &)> onFailure;
    /// Optional: receives the body of a successful response piece by piece as it arrives.
    std::function<void(std::string_view)> onChunk;
};

/// HTTP client that keeps connections alive for reuse. It sends a request once, unless
/// HttpCall::isRepeatable allows more. evhttp transports the messages; what is a complete response
/// is decided by MessageParser, as for relayed requests.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. A hook may be called before this function returns. A call to an address that
    /// is not "IP:PORT" fails unsent.
    HttpCallId send(const HttpCall &call, HttpHooks hooks);
    /// Cancels a call without calling its hooks, and closes its connection.
    void cancel(HttpCallId id);
    /// Whether the call is still in progress; it may have ended before send() returned.
    bool isOpen(HttpCallId id) const { return m_calls.count(id) > 0; }

private:
    struct Call;

    /// Returns null if there is none to the address.
    evhttp_connection *takeIdleConnection(const Address &address);
    /// Returns null if the address is invalid.
    evhttp_connection *newConnection(const Address &address);
    /// Sends `request` on the connection of `call`. The call may have ended on return.
    void start(Call &call, const HttpCall &request);
    /// Sends a repeatable call again, on a new connection. The call may have ended on return.
    void repeat(Call &call);
    void release(Call &call, bool reusable);
    void finish(Call &call, bool reusable);
    void discard(evhttp_connection *connection);
    void timedOut(HttpCallId id);

    EventLoop &m_loop;
    std::map<HttpCallId, std::unique_ptr<Call>> m_calls;
    std::map<Address, std::vector<evhttp_connection *>> m_idle;
    std::vector<evhttp_connection *> m_discardedConnections; ///< To be freed by m_discardTimer.
    Timer m_discardTimer;
    std::uint64_t m_lastId = 0;
};

} // namespace bramleypitch
