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

/// A request to a server by IP number.
struct HttpCall
{
    Address address;
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeLimit {1'000}; ///< From now to the end of the answer.
    bool ownConnection = false; ///< Never on a connection used before, which may be closing.
};

/// A whole answer.
struct HttpAnswer
{
    int status = 0;
    std::string contentType;
    std::string body; ///< Empty where chunks were asked for.
};

/// How a call ended without a whole answer.
struct HttpBreak
{
    bool sent = false; ///< A byte of the request has left the process.
    bool timedOut = false;
};

/// What becomes of a call. Exactly one of `answered` and `broken` is called, unless the call is
/// cancelled; then neither is.
struct HttpHooks
{
    std::function<void(const HttpAnswer &)> answered;
    std::function<void(const HttpBreak &)> broken;
    /// Pieces of a successful answer's body as they come; optional.
    std::function<void(std::string_view)> chunk;
};

/// HTTP client on evhttp with connections kept for reuse. It never repeats a request by itself.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call.
    HttpCallId send(const HttpCall &call, HttpHooks hooks);
    /// Ends a call without calling its hooks; its connection is closed.
    void cancel(HttpCallId id);
    /// Whether the call is still under way; it may have ended before send() returned.
    bool isOpen(HttpCallId id) const { return m_calls.count(id) > 0; }

private:
    struct Call;

    evhttp_connection *takeConnection(const HttpCall &call);
    void finish(Call &call, bool reusable);
    void discard(evhttp_connection *connection);
    void timedOut(HttpCallId id);

    EventLoop &m_loop;
    std::map<HttpCallId, std::unique_ptr<Call>> m_calls;
    std::map<Address, std::vector<evhttp_connection *>> m_idle;
    std::vector<evhttp_connection *> m_discarded;
    Timer m_sweep;
    std::uint64_t m_lastId = 0;
};

} // namespace bramleypitch
