#pragma once

#include "core/strong_type.h"
#include "network/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhtp;
struct evhtp_request;
struct evconnlistener;

namespace bramleypitch {

/// Identifies a request from its arrival to the end of its response.
using ExchangeId = StrongType<struct ExchangeIdTag, std::uint64_t>;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A completely received request.
struct HttpRequest
{
    ExchangeId exchange;
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string body;
    bool bodyTooLarge = false; ///< The body exceeded the size limit and was discarded.
    evhtp_request *raw = nullptr; ///< The request of libevhtp.

    /// The value of a header, or an empty string if it is absent.
    std::string header(const char *name) const;
};

/// HTTP server based on libevhtp. A response is assigned to its request by the exchange id;
/// responses to callers that have disconnected are discarded.
class HttpServer
{
public:
    using RequestHook = std::function<void(const HttpRequest &)>;
    /// Called when a caller disconnects before its response is complete.
    using DisconnectHook = std::function<void(ExchangeId)>;

    HttpServer(EventLoop &loop, std::size_t maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setRequestHook(RequestHook hook) { m_requestHook = std::move(hook); }
    void setDisconnectHook(DisconnectHook hook) { m_disconnectHook = std::move(hook); }
    /// Throws Failure(AddressUnavailable) if the address cannot be bound.
    void listen(const Address &address);

    /// Sends a complete response.
    void reply(ExchangeId exchange, int status, const std::string &contentType,
               std::string_view body, const HttpHeaders &headers = {});
    /// Starts a response with chunked transfer encoding. Does nothing if it has already started.
    void startStream(ExchangeId exchange, int status, const std::string &contentType);
    /// Sends one chunk. A caller that reads too slowly is disconnected.
    void sendChunk(ExchangeId exchange, std::string_view piece);
    /// Ends a chunked response.
    void endStream(ExchangeId exchange);
    /// Sends a last piece of an incomplete stream as far as the kernel takes it, and closes the
    /// caller's connection without ending the response.
    void breakStream(ExchangeId exchange, std::string_view lastPiece);
    /// Closes the caller's connection without ending the response, so that the caller can detect
    /// that the response is incomplete.
    void abortConnection(ExchangeId exchange);

private:
    struct Exchange;
    struct Hooks;

    Exchange *find(ExchangeId exchange);

    EventLoop &m_loop;
    std::size_t m_maxBodyBytes;
    evhtp *m_evhtp;
    RequestHook m_requestHook;
    DisconnectHook m_disconnectHook;
    std::map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    /// Requests over the body limit, with the number of body bytes discarded.
    std::map<evhtp_request *, std::size_t> m_discardedBodyBytes;
    std::uint64_t m_lastId = 0;
    std::vector<evconnlistener *> m_listeners;
    Timer m_acceptAgain;
};

} // namespace bramleypitch
