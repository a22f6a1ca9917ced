#include "network/http_server.h"

#include "core/error_type.h"
#include "network/address_func.h"

#include <evhtp/evhtp.h>

namespace bramleypitch {

namespace {

constexpr int listenBacklog = 1'024;
constexpr Duration acceptPause {100}; ///< Without a free descriptor.
/// Maximum number of unsent bytes that are buffered for a slow caller.
constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;

const char *methodName(htp_method method)
{
    switch (method) {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_OPTIONS:
        return "OPTIONS";
    case htp_method_PATCH:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

class EvBuffer
{
public:
    explicit EvBuffer(std::string_view text)
        : m_buffer(evbuffer_new())
    {
        evbuffer_add(m_buffer, text.data(), text.size());
    }
    ~EvBuffer() { evbuffer_free(m_buffer); }
    EvBuffer(const EvBuffer &) = delete;
    EvBuffer &operator=(const EvBuffer &) = delete;
    evbuffer *get() const { return m_buffer; }

private:
    evbuffer *m_buffer;
};

void addHeader(evhtp_request_t *request, const std::string &name, const std::string &value)
{
    evhtp_headers_add_header(request->headers_out,
                             evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

/// Converts a function to the generic hook type of libevhtp, a C function without prototype.
template<typename Function>
evhtp_hook toEvhtpHook(Function *function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

} // namespace

/// A request whose response is not complete.
struct HttpServer::Exchange
{
    HttpServer *server = nullptr;
    ExchangeId id;
    evhtp_request_t *request = nullptr;
    bool streaming = false;
    bool answered = false; ///< The complete response has been passed to the connection.
};

/// The C callbacks of libevhtp.
struct HttpServer::Hooks
{
    static evhtp_res onBodyData(evhtp_request_t *request, evbuffer *piece, void *self)
    {
        auto *server = static_cast<HttpServer *>(self);
        const std::size_t size =
            evbuffer_get_length(request->buffer_in) + evbuffer_get_length(piece);
        if (size > server->m_maxBodyBytes || server->m_discardedBodyBytes.count(request)) {
            server->m_discardedBodyBytes[request] += evbuffer_get_length(piece);
            evbuffer_drain(piece, evbuffer_get_length(piece));
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onConnected(evhtp_connection_t *connection, void *self)
    {
        evhtp_connection_set_hook(connection, evhtp_hook_on_read, toEvhtpHook(onBodyData), self);
        evhtp_connection_set_hook(connection, evhtp_hook_on_request_fini,
                                  toEvhtpHook(onRequestFinished), self);
        return EVHTP_RES_OK;
    }

    /// Stops accepting for a moment, as the listener would be called at once again. `self` is the
    /// evhtp.
    static void onAcceptFailed(evconnlistener *listener, void *self)
    {
        evconnlistener_disable(listener);
        auto *server = static_cast<HttpServer *>(static_cast<evhtp_t *>(self)->arg);
        server->m_acceptAgain.startOnce(acceptPause);
    }

    static evhtp_res onRequestFinished(evhtp_request_t *request, void *self)
    {
        static_cast<HttpServer *>(self)->m_discardedBodyBytes.erase(request);
        return EVHTP_RES_OK;
    }

    static evhtp_res onExchangeFinished(evhtp_request_t *request, void *self)
    {
        auto *exchange = static_cast<Exchange *>(self);
        HttpServer *server = exchange->server;
        server->m_discardedBodyBytes.erase(request);
        const ExchangeId id = exchange->id;
        const bool callerDisconnected = !exchange->answered;
        server->m_exchanges.erase(id);
        if (callerDisconnected && server->m_disconnectHook)
            server->m_disconnectHook(id);
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *self)
    {
        auto *server = static_cast<HttpServer *>(self);
        auto owned = std::make_unique<Exchange>();
        Exchange &exchange = *owned;
        exchange.server = server;
        exchange.id = ExchangeId(++server->m_lastId);
        exchange.request = request;
        server->m_exchanges.emplace(exchange.id, std::move(owned));
        evhtp_request_set_hook(request, evhtp_hook_on_request_fini, toEvhtpHook(onExchangeFinished),
                               &exchange);
        HttpRequest httpRequest;
        httpRequest.exchange = exchange.id;
        httpRequest.method = methodName(evhtp_request_get_method(request));
        httpRequest.path = request->uri->path->full ? request->uri->path->full : "/";
        if (request->uri->query_raw)
            httpRequest.query = reinterpret_cast<const char *>(request->uri->query_raw);
        httpRequest.bodyTooLarge = server->m_discardedBodyBytes.count(request) > 0;
        if (!httpRequest.bodyTooLarge) {
            httpRequest.body.resize(evbuffer_get_length(request->buffer_in));
            evbuffer_copyout(request->buffer_in, httpRequest.body.data(), httpRequest.body.size());
        }
        httpRequest.raw = request;
        guardCallback("request", [&] { server->m_requestHook(httpRequest); });
    }
};

std::string HttpRequest::header(const char *name) const
{
    const char *value = evhtp_header_find(raw->headers_in, name);
    return value ? value : "";
}

HttpServer::HttpServer(EventLoop &loop, std::size_t maxBodyBytes)
    : m_loop(loop)
    , m_maxBodyBytes(maxBodyBytes)
    , m_evhtp(evhtp_new(loop.base(), nullptr))
    , m_acceptAgain(loop, [this] {
        for (evconnlistener *listener : m_listeners)
            evconnlistener_enable(listener);
    })
{
    m_evhtp->arg = this;
    evhtp_enable_flag(m_evhtp, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(m_evhtp, Hooks::onRequest, this);
    evhtp_set_post_accept_cb(m_evhtp, Hooks::onConnected, this);
}

HttpServer::~HttpServer()
{
    // libevhtp only knows the last one.
    for (evconnlistener *listener : m_listeners)
        evconnlistener_free(listener);
    m_evhtp->server = nullptr;
    evhtp_free(m_evhtp);
}

void HttpServer::listen(const Address &address)
{
    const HostPort hostPort = parseAddress(address);
    const std::string host = hostPort.host.find(':') == std::string::npos ? "ipv4:" + hostPort.host
                                                                          : "ipv6:" + hostPort.host;
    if (evhtp_bind_socket(m_evhtp, host.c_str(), hostPort.port, listenBacklog) != 0)
        throw bindFailure(address, errno);
    m_listeners.push_back(m_evhtp->server);
    evconnlistener_set_error_cb(m_evhtp->server, Hooks::onAcceptFailed);
}

HttpServer::Exchange *HttpServer::find(ExchangeId exchange)
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() || found->second->answered ? nullptr : found->second.get();
}

void HttpServer::reply(ExchangeId id, int status, const std::string &contentType,
                       std::string_view body, const HttpHeaders &headers)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    exchange->answered = true;
    evhtp_request_t *request = exchange->request;
    addHeader(request, "Content-Type", contentType);
    for (const auto &[name, value] : headers)
        addHeader(request, name, value);
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void HttpServer::startStream(ExchangeId id, int status, const std::string &contentType)
{
    Exchange *exchange = find(id);
    if (!exchange || exchange->streaming)
        return;
    exchange->streaming = true;
    addHeader(exchange->request, "Content-Type", contentType);
    addHeader(exchange->request, "Cache-Control", "no-cache");
    evhtp_send_reply_chunk_start(exchange->request, static_cast<evhtp_res>(status));
}

void HttpServer::sendChunk(ExchangeId id, std::string_view piece)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    evbuffer *output = bufferevent_get_output(evhtp_request_get_bev(exchange->request));
    if (evbuffer_get_length(output) > maxUnsentBytes) {
        abortConnection(id);
        return;
    }
    const EvBuffer buffer(piece);
    evhtp_send_reply_chunk(exchange->request, buffer.get());
}

void HttpServer::endStream(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    exchange->answered = true;
    evhtp_send_reply_chunk_end(exchange->request);
}

void HttpServer::breakStream(ExchangeId id, std::string_view lastPiece)
{
    sendChunk(id, lastPiece);
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    exchange->answered = true;
    bufferevent *socket = evhtp_request_get_bev(exchange->request);
    evbuffer *output = bufferevent_get_output(socket);
    evbuffer_unfreeze(output, 1); // A bufferevent keeps its output frozen for other writers.
    evbuffer_write(output, bufferevent_getfd(socket));
    evhtp_connection_free(evhtp_request_get_connection(exchange->request));
}

void HttpServer::abortConnection(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    evhtp_connection_free(evhtp_request_get_connection(exchange->request));
}

} // namespace bramleypitch
