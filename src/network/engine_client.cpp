#include "network/engine_client.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t maxLineBytes = 64 * 1024;

const char *orderName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Load:
        return "load";
    case OrderKind::Release:
        return "release";
    case OrderKind::Prefetch:
        return "prefetch";
    }
    return "release";
}

std::optional<VmReport> parseReport(const HttpResponse &response)
{
    if (response.status != statusOk)
        return std::nullopt;
    try {
        const json body = json::parse(response.body);
        VmReport report;
        body.at("boot_id").get_to(report.boot);
        const auto state = body.at("state").get<std::string>();
        report.state = state == "ready" ? EngineState::Ready
            : state == "loading"        ? EngineState::Loading
                                        : EngineState::Empty;
        report.group = GroupId(body.value("group", std::string()));
        report.generation = Generation(body.value("generation", std::uint64_t {0}));
        report.heldModel = body.value("held_model", std::string());
        report.running = body.value("running", 0U);
        report.completed = body.value("completed", 0U);
        return report;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

EngineClient::EngineClient(EventLoop &loop, HttpClient &http, std::string nodeName, EventHook hook)
    : m_loop(loop)
    , m_http(http)
    , m_nodeName(std::move(nodeName))
    , m_hook(std::move(hook))
{
}

void EngineClient::dispatch(const DispatchCompletion &dispatch)
{
    const AttemptKey key {dispatch.request, dispatch.attempt};
    Stream &stream = m_streams[key];
    stream.wireRequestId = m_nodeName + "/" + std::to_string(dispatch.request.value());
    const json body {{"request", stream.wireRequestId},  {"attempt", dispatch.attempt},
                     {"group", dispatch.group},          {"generation", dispatch.generation},
                     {"model", dispatch.model},          {"prompt", dispatch.prompt},
                     {"max_tokens", dispatch.maxTokens}, {"resume_from", dispatch.resumeFrom},
                     {"priority", dispatch.priority}};
    HttpCall call;
    call.address = dispatch.address;
    call.method = "POST";
    call.path = "/v1/generate";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeLimit = dispatch.timeLimit;
    HttpHooks hooks;
    hooks.onChunk = [this, key](std::string_view piece) { onChunk(key, piece); };
    hooks.onResponse = [this, key](const HttpResponse &response) {
        onStreamEnd(key, true, response.status != statusOk);
    };
    hooks.onFailure = [this, key](const HttpFailure &failure) {
        onStreamEnd(key, failure.sent, false);
    };
    trackCall(key, m_http.send(call, std::move(hooks)));
}

void EngineClient::trackCall(const AttemptKey &key, HttpCallId id)
{
    if (m_http.isOpen(id))
        m_calls[key] = id;
}

void EngineClient::onChunk(const AttemptKey &key, std::string_view piece)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end())
        return;
    found->second.partialLine += piece;
    std::string lines = std::move(found->second.partialLine);
    std::size_t start = 0;
    for (std::size_t end = lines.find('\n'); end != std::string::npos;
         end = lines.find('\n', start)) {
        const std::string_view line = std::string_view(lines).substr(start, end - start);
        start = end + 1;
        // The handler of an event may cancel the attempt, so the stream is looked up again.
        const auto stream = m_streams.find(key);
        if (stream == m_streams.end())
            return;
        if (!onLine(key, stream->second, line)) {
            cancel({key.request, key.attempt});
            m_hook(AttemptFailed {key.request, key.attempt, true, false});
            return;
        }
    }
    const auto stream = m_streams.find(key);
    if (stream == m_streams.end())
        return;
    stream->second.partialLine = lines.substr(start);
    if (stream->second.partialLine.size() > maxLineBytes) {
        cancel({key.request, key.attempt});
        m_hook(AttemptFailed {key.request, key.attempt, true, false});
    }
}

bool EngineClient::onLine(const AttemptKey &key, Stream &stream, std::string_view line)
{
    if (line.empty())
        return true;
    const json frame = json::parse(line, nullptr, false);
    if (!frame.is_object())
        return false;
    try {
        if (frame.at("request").get_ref<const std::string &>() != stream.wireRequestId
            || frame.at("attempt").get<AttemptNumber>() != key.attempt) {
            // The frame belongs to another request or to an earlier attempt. It is reported with an
            // attempt number that is never assigned, so that it is counted but not delivered.
            m_hook(EngineToken {key.request, AttemptNumber(0), 0, {}});
            return true;
        }
        if (frame.value("end", false)) {
            stream.ended = true;
            m_hook(EngineEnd {key.request, key.attempt, frame.at("count").get<std::uint32_t>()});
            return true;
        }
        m_hook(EngineToken {key.request, key.attempt, frame.at("index").get<std::uint32_t>(),
                            frame.at("token").get<std::string>()});
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

void EngineClient::onStreamEnd(const AttemptKey &key, bool sent, bool refused)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end())
        return;
    const bool ended = found->second.ended;
    m_streams.erase(found);
    m_calls.erase(key);
    if (!ended)
        m_hook(AttemptFailed {key.request, key.attempt, sent, refused});
}

void EngineClient::dispatch(const DispatchServiceCall &dispatch)
{
    const AttemptKey key {dispatch.request, dispatch.attempt};
    HttpCall call;
    call.address = dispatch.address;
    call.method = dispatch.method;
    call.path = dispatch.path;
    if (!dispatch.contentType.empty())
        call.headers.emplace_back("Content-Type", dispatch.contentType);
    if (!dispatch.idempotencyKey.empty())
        call.headers.emplace_back("Idempotency-Key", dispatch.idempotencyKey);
    call.body = dispatch.body;
    call.timeLimit = dispatch.timeLimit;
    // The server may be about to close a kept-alive connection, and a call that must not be
    // repeated cannot be sent again if that happens.
    call.useNewConnection = !dispatch.idempotencyKey.empty();
    HttpHooks hooks;
    hooks.onResponse = [this, key](const HttpResponse &response) {
        m_calls.erase(key);
        CallOutcome outcome;
        outcome.status = response.status;
        outcome.contentType = response.contentType;
        outcome.body = response.body;
        m_hook(ServiceResponded {key.request, key.attempt, std::move(outcome)});
    };
    hooks.onFailure = [this, key](const HttpFailure &failure) {
        m_calls.erase(key);
        m_hook(AttemptFailed {key.request, key.attempt, failure.sent, false});
    };
    trackCall(key, m_http.send(call, std::move(hooks)));
}

void EngineClient::cancel(const CancelAttempt &cancel)
{
    const AttemptKey key {cancel.request, cancel.attempt};
    m_streams.erase(key);
    const auto found = m_calls.find(key);
    if (found == m_calls.end())
        return;
    const HttpCallId id = found->second;
    m_calls.erase(found);
    m_http.cancel(id);
}

void EngineClient::probe(const SendProbe &probe, Duration timeLimit)
{
    HttpCall call;
    call.address = probe.address;
    call.path = "/state";
    call.timeLimit = timeLimit;
    const TimePoint sentAt = m_loop.now();
    HttpHooks hooks;
    hooks.onResponse = [this, vm = probe.vm, sentAt](const HttpResponse &response) {
        const std::optional<VmReport> report = parseReport(response);
        m_hook(ProbeDone {vm, report.has_value(), report.value_or(VmReport()), sentAt});
    };
    hooks.onFailure = [this, vm = probe.vm, sentAt](const HttpFailure &) {
        m_hook(ProbeDone {vm, false, {}, sentAt});
    };
    m_http.send(call, std::move(hooks));
}

void EngineClient::order(const SendOrder &order, Duration timeLimit)
{
    const json body {{"order", orderName(order.kind)},
                     {"group", order.group},
                     {"generation", order.generation},
                     {"model", order.model},
                     {"members", order.members}};
    HttpCall call;
    call.address = order.address;
    call.method = "POST";
    call.path = "/order";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.timeLimit = timeLimit;
    HttpHooks hooks;
    hooks.onResponse = [this, operation = order.operation,
                        vm = order.vm](const HttpResponse &response) {
        m_hook(OrderDone {operation, vm, response.status == statusOk});
    };
    hooks.onFailure = [this, operation = order.operation, vm = order.vm](const HttpFailure &) {
        m_hook(OrderDone {operation, vm, false});
    };
    m_http.send(call, std::move(hooks));
}

} // namespace bramleypitch
