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

namespace bramleypitch {

/// Names one request from its arrival to the end of its answer.
using ExchangeId = StrongType<struct ExchangeIdTag, std::uint64_t>;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that has come in whole.
struct HttpRequest
{
    ExchangeId exchange;
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string body;
    bool bodyTooLarge = false; ///< The body was longer than allowed and is left out.
    evhtp_request *raw = nullptr;

    /// A header's value, or an empty text.
    std::string header(const char *name) const;
};

/// HTTP server on libevhtp. Answers go by exchange; those to callers that left are dropped.
class HttpServer
{
public:
    using RequestHook = std::function<void(const HttpRequest &)>;
    /// The caller went away before its answer was complete.
    using GoneHook = std::function<void(ExchangeId)>;

    HttpServer(EventLoop &loop, std::size_t maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setRequestHook(RequestHook hook) { m_requestHook = std::move(hook); }
    void setGoneHook(GoneHook hook) { m_goneHook = std::move(hook); }
    /// Throws Failure(InvalidSetting) if the address cannot be bound.
    void listen(const Address &address);

    /// Gives the whole answer.
    void reply(ExchangeId exchange, int status, const std::string &contentType,
               std::string_view body, const HttpHeaders &headers = {});
    /// Begins an answer in pieces.
    void startStream(ExchangeId exchange, int status, const std::string &contentType);
    /// Adds a piece. A caller that reads too slowly to keep up is cut off.
    void sendPiece(ExchangeId exchange, std::string_view piece);
    /// Ends an answer in pieces.
    void endStream(ExchangeId exchange);
    /// Closes the caller's connection without an end, so that the answer cannot pass for whole.
    void cut(ExchangeId exchange);

private:
    struct Exchange;
    struct Hooks;

    Exchange *find(ExchangeId exchange);

    EventLoop &m_loop;
    std::size_t m_maxBodyBytes;
    evhtp *m_evhtp;
    RequestHook m_requestHook;
    GoneHook m_goneHook;
    std::map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::map<evhtp_request *, std::size_t> m_tooLarge; ///< Requests over the body limit.
    std::uint64_t m_lastId = 0;
    bool m_bound = false;
};

} // namespace bramleypitch
