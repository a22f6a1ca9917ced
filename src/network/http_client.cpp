#include "network/http_client.h"

#include "core/error_type.h"
#include "network/address_func.h"
#include "network/http_message.h"
#include "network/response_limits.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <optional>

namespace bramleypitch {

namespace {

constexpr std::size_t maxIdleConnectionsPerAddress = 64;
constexpr int minFinalStatus = 200;
constexpr int minSuccessStatus = 200;
constexpr int minRedirectStatus = 300;

evhttp_cmd_type toEvhttpMethod(const std::string &method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    return EVHTTP_REQ_GET;
}

std::string readAll(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

} // namespace

/// A call in progress. evhttp owns the request object until its callback has run.
struct HttpClient::Call
{
    HttpClient *client = nullptr;
    HttpCallId id;
    Address address;
    HttpHooks hooks;
    evhttp_connection *connection = nullptr;
    evhttp_request *request = nullptr;
    evbuffer_cb_entry *outputCallback = nullptr;
    evbuffer_cb_entry *inputCallback = nullptr;
    std::unique_ptr<Timer> timer;
    TimePoint endsAt; ///< By the time limit of the whole call.
    Duration pauseLimit {0};
    TimePoint lastProgress; ///< When it was sent or bytes of the response last arrived.
    std::optional<HttpCall> repeatable; ///< Set while the call may be sent again.
    /// Reads what evhttp reads, which accepts malformed heads and chunks.
    MessageParser parser {MessageParser::Kind::Response};
    bool isHeadRequest = false;
    bool useNewConnection = false;
    bool sent = false;
    bool answered = false; ///< Bytes of the response have arrived.
    bool timedOut = false;
    bool tooLong = false;
    bool failed = false;

    static void onOutputChanged(evbuffer *, const evbuffer_cb_info *info, void *self)
    {
        if (info->n_deleted > 0)
            static_cast<Call *>(self)->sent = true;
    }

    static void onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *self)
    {
        if (info->n_added == 0)
            return;
        std::string bytes(info->n_added, '\0');
        evbuffer_ptr begin;
        evbuffer_ptr_set(input, &begin, evbuffer_get_length(input) - bytes.size(),
                         EVBUFFER_PTR_SET);
        evbuffer_copyout_from(input, &begin, bytes.data(), bytes.size());
        auto *call = static_cast<Call *>(self);
        call->answered = true;
        call->lastProgress = call->client->m_loop.now();
        call->check(bytes);
    }

    /// When the call times out if nothing more arrives.
    TimePoint timesOutAt() const
    {
        return pauseLimit == Duration(0) ? endsAt : std::min(endsAt, lastProgress + pauseLimit);
    }

    /// Follows the response. An interim response is followed by another one.
    void check(std::string_view bytes)
    {
        while (!bytes.empty() && !parser.failed()) {
            const bool isInterim = parser.complete() && parser.head().status < minFinalStatus;
            if (parser.complete() && !isInterim)
                return;
            if (isInterim)
                parser.reset(isHeadRequest);
            bytes.remove_prefix(parser.feed(bytes));
            parser.takeBody(); // evhttp keeps it.
        }
    }

    /// Ends the call at once if its head is malformed.
    static int onHead(evhttp_request *, void *self)
    {
        constexpr int carryOn = 0;
        constexpr int closeConnection = -1;
        const MessageParser &parser = static_cast<Call *>(self)->parser;
        return parser.failed() || !parser.headComplete() ? closeConnection : carryOn;
    }

    /// Whether the response is complete by its own framing, so that it can be distinguished from
    /// one that was cut short by a lost connection.
    bool isComplete() const
    {
        return parser.complete() && parser.head().status >= minFinalStatus
            && parser.bodyEnd() != BodyEnd::ConnectionClose;
    }

    static void onChunk(evhttp_request *request, void *self)
    {
        auto *call = static_cast<Call *>(self);
        const int status = call->parser.head().status;
        if (call->parser.failed() || status < minSuccessStatus || status >= minRedirectStatus)
            return;
        const std::string piece = readAll(evhttp_request_get_input_buffer(request));
        if (!piece.empty())
            guardCallback("call_piece", [&] { call->hooks.onChunk(piece); });
    }

    static void onError(evhttp_request_error error, void *self)
    {
        auto *call = static_cast<Call *>(self);
        call->failed = true;
        call->timedOut = call->timedOut || error == EVREQ_HTTP_TIMEOUT;
        call->tooLong = error == EVREQ_HTTP_DATA_TOO_LONG && call->parser.headComplete();
    }

    static void onRequestDone(evhttp_request *request, void *self)
    {
        auto *call = static_cast<Call *>(self);
        if (call->repeatable && !call->answered && !call->timedOut) {
            call->client->repeat(*call);
            return;
        }
        const bool complete = request && !call->failed && call->isComplete();
        HttpResponse response;
        if (complete) {
            const MessageHead &head = call->parser.head();
            response.status = head.status;
            response.contentType = head.value("Content-Type");
            response.headers = head.headers;
            response.body = readAll(evhttp_request_get_input_buffer(request));
        }
        const HttpFailure failure {call->sent, call->timedOut, call->tooLong};
        const HttpHooks hooks = std::move(call->hooks);
        call->client->finish(*call, complete && !call->useNewConnection);
        guardCallback("call", [&] {
            if (complete)
                hooks.onResponse(response);
            else
                hooks.onFailure(failure);
        });
    }
};

HttpClient::HttpClient(EventLoop &loop)
    : m_loop(loop)
    , m_discardTimer(loop, [this] {
        for (evhttp_connection *connection : m_discardedConnections)
            evhttp_connection_free(connection);
        m_discardedConnections.clear();
    })
{
}

HttpClient::~HttpClient()
{
    while (!m_calls.empty())
        cancel(m_calls.begin()->first);
    for (evhttp_connection *connection : m_discardedConnections)
        evhttp_connection_free(connection);
    for (auto &[address, connections] : m_idle) {
        for (evhttp_connection *connection : connections)
            evhttp_connection_free(connection);
    }
}

evhttp_connection *HttpClient::takeIdleConnection(const Address &address)
{
    auto &idle = m_idle[address];
    if (idle.empty())
        return nullptr;
    evhttp_connection *connection = idle.back();
    idle.pop_back();
    return connection;
}

evhttp_connection *HttpClient::newConnection(const Address &address)
{
    HostPort peer;
    try {
        peer = parseAddress(address);
    } catch (const Failure &) {
        return nullptr;
    }
    return evhttp_connection_base_bufferevent_new(m_loop.base(), nullptr, nullptr,
                                                  peer.host.c_str(), peer.port);
}

HttpCallId HttpClient::send(const HttpCall &request, HttpHooks hooks)
{
    const HttpCallId id(++m_lastId);
    evhttp_connection *idle =
        request.useNewConnection ? nullptr : takeIdleConnection(request.address);
    evhttp_connection *connection = idle ? idle : newConnection(request.address);
    if (!connection) {
        hooks.onFailure(HttpFailure());
        return id;
    }
    Call &call = *m_calls.emplace(id, std::make_unique<Call>()).first->second;
    call.client = this;
    call.id = id;
    call.address = request.address;
    call.hooks = std::move(hooks);
    call.useNewConnection = request.useNewConnection;
    call.connection = connection;
    if (idle && request.isRepeatable)
        call.repeatable = request;
    call.timer = std::make_unique<Timer>(m_loop, [this, id] { timedOut(id); });
    call.lastProgress = m_loop.now();
    call.endsAt = call.lastProgress + request.timeLimit;
    call.pauseLimit = request.pauseLimit;
    call.timer->startOnce(call.timesOutAt() - call.lastProgress);
    start(call, request);
    return id;
}

void HttpClient::start(Call &call, const HttpCall &request)
{
    call.request = evhttp_request_new(Call::onRequestDone, &call);
    evhttp_request_set_error_cb(call.request, Call::onError);
    evhttp_request_set_header_cb(call.request, Call::onHead);
    if (call.hooks.onChunk)
        evhttp_request_set_chunked_cb(call.request, Call::onChunk);
    const std::size_t defaultBodyBytes =
        call.hooks.onChunk ? ResponseLimits::callStreamBytes : ResponseLimits::callBodyBytes;
    evhttp_connection_set_max_headers_size(call.connection, ResponseLimits::callHeadBytes);
    evhttp_connection_set_max_body_size(call.connection,
                                        static_cast<ev_ssize_t>(request.maxBodyBytes > 0
                                                                    ? request.maxBodyBytes
                                                                    : defaultBodyBytes));
    evkeyvalq *headers = evhttp_request_get_output_headers(call.request);
    evhttp_add_header(headers, "Host", request.address.value().c_str());
    for (const auto &[name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (request.useNewConnection)
        evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(call.request), request.body.data(),
                 request.body.size());
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(call.connection));
    call.outputCallback = evbuffer_add_cb(output, Call::onOutputChanged, &call);
    call.isHeadRequest = request.method == "HEAD";
    call.parser.reset(call.isHeadRequest);
    evbuffer *input = bufferevent_get_input(evhttp_connection_get_bufferevent(call.connection));
    call.inputCallback = evbuffer_add_cb(input, Call::onInputChanged, &call);
    // If this fails, evhttp has already invoked the callback and the call no longer exists.
    evhttp_make_request(call.connection, call.request, toEvhttpMethod(request.method),
                        request.path.c_str());
}

void HttpClient::repeat(Call &call)
{
    const HttpCall request = std::move(*call.repeatable);
    call.repeatable.reset();
    release(call, false);
    call.connection = newConnection(call.address);
    call.failed = false;
    start(call, request);
}

void HttpClient::release(Call &call, bool reusable)
{
    bufferevent *transport = evhttp_connection_get_bufferevent(call.connection);
    evbuffer *input = bufferevent_get_input(transport);
    evbuffer_remove_cb_entry(bufferevent_get_output(transport), call.outputCallback);
    evbuffer_remove_cb_entry(input, call.inputCallback);
    // Bytes behind the response would be read as the response to the next call, unchecked.
    const bool hasMore = evbuffer_get_length(input) > 0;
    auto &idle = m_idle[call.address];
    if (reusable && !hasMore && idle.size() < maxIdleConnectionsPerAddress)
        idle.push_back(call.connection);
    else
        discard(call.connection);
}

void HttpClient::finish(Call &call, bool reusable)
{
    release(call, reusable);
    m_calls.erase(call.id);
}

void HttpClient::discard(evhttp_connection *connection)
{
    // evhttp may still be using the connection further up the call stack, so it is freed later.
    m_discardedConnections.push_back(connection);
    m_discardTimer.startOnce(Duration(0));
}

void HttpClient::timedOut(HttpCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Duration left = found->second->timesOutAt() - m_loop.now();
    if (left > Duration(0)) { // Bytes have arrived since the timer was started.
        found->second->timer->startOnce(left);
        return;
    }
    const HttpFailure failure {found->second->sent, true};
    const HttpHooks hooks = std::move(found->second->hooks);
    cancel(id);
    hooks.onFailure(failure);
}

void HttpClient::cancel(HttpCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call &call = *found->second;
    // The callbacks of the request must no longer access the call, which is destroyed here.
    evhttp_request_set_error_cb(call.request, nullptr);
    evhttp_request_set_header_cb(call.request, nullptr);
    evhttp_request_set_chunked_cb(call.request, nullptr);
    call.request->cb = [](evhttp_request *, void *) {};
    evhttp_request *request = call.request;
    finish(call, false);
    evhttp_cancel_request(request);
}

} // namespace bramleypitch
