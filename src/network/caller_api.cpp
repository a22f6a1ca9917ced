#include "network/caller_api.h"

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

using nlohmann::json;

constexpr std::uint32_t maxTokensAllowed = 32'768;
constexpr std::uint32_t defaultMaxTokens = 16;
constexpr std::uint32_t maxPriority = 100;
constexpr std::int64_t maxDeadlineMs = 3'600'000;
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicesPathPrefix = "/services/";
constexpr int millisecondsPerSecond = 1'000;

std::string bearerKey(const HttpRequest &request)
{
    const std::string header = request.header("Authorization");
    if (header.rfind(bearerPrefix, 0) != 0)
        return {};
    return header.substr(bearerPrefix.size());
}

std::string dumpJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void checkBody(const HttpRequest &request)
{
    if (request.bodyTooLarge)
        throw Failure(ErrorCode::BodyTooLarge, "the body is larger than 1048576 bytes");
}

[[noreturn]] void throwMalformed(const std::string &message)
{
    throw Failure(ErrorCode::MalformedRequest, message);
}

std::uint32_t parseBoundedInteger(const json &body, const char *field, std::uint32_t defaultValue,
                                  std::uint32_t minValue, std::uint32_t maxValue)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null())
        return defaultValue;
    if (!found->is_number_integer())
        throwMalformed(std::string(field) + " must be an integer");
    const auto value = found->get<std::int64_t>();
    if (value < minValue || value > maxValue)
        throwMalformed(std::string(field) + " must be from " + std::to_string(minValue) + " to "
                       + std::to_string(maxValue));
    return static_cast<std::uint32_t>(value);
}

std::string buildPrompt(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        throwMalformed("messages must be a non-empty array");
    std::string prompt;
    for (const json &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content") || !message["content"].is_string())
            throwMalformed("each message must have a role and a content, both strings");
        prompt += message["role"].get_ref<const std::string &>();
        prompt += ": ";
        prompt += message["content"].get_ref<const std::string &>();
        prompt += '\n';
    }
    return prompt;
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
    case ErrorCode::IdempotencyKeyMissing:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownPath:
        return 404;
    case ErrorCode::InProgress:
        return 409;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::IdempotencyKeyReused:
    case ErrorCode::IdempotencyKeyExpired:
        return 422;
    case ErrorCode::QueueFull:
    case ErrorCode::RateLimited:
    case ErrorCode::DeadlineUnreachable:
        return 429;
    case ErrorCode::BackendFailed:
        return 502;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::Internal:
        return 500;
    default:
        return 503;
    }
}

json errorJson(const Refuse &refuse)
{
    return {{"error",
             {{"type", errorName(refuse.code)},
              {"message", refuse.message},
              {"run", refuse.run == RunOutcome::NotRun ? "not_run" : "may_have_run"}}}};
}

} // namespace

ParsedCompletion parseCompletion(const HttpRequest &request)
{
    checkBody(request);
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        throwMalformed("the body is not valid JSON");
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        throwMalformed("model must be a string");
    ParsedCompletion parsed;
    parsed.nodeEvent.request = RequestId(request.exchange.value());
    parsed.nodeEvent.key = bearerKey(request);
    parsed.nodeEvent.model = ModelGroupId(body["model"].get<std::string>());
    parsed.nodeEvent.prompt = buildPrompt(body);
    parsed.nodeEvent.maxTokens =
        parseBoundedInteger(body, "max_tokens", defaultMaxTokens, 1, maxTokensAllowed);
    parsed.nodeEvent.priority = parseBoundedInteger(body, "priority", 0, 0, maxPriority);
    if (body.contains("first_token_deadline_ms") && !body["first_token_deadline_ms"].is_null())
        parsed.nodeEvent.firstTokenDeadline =
            Duration(parseBoundedInteger(body, "first_token_deadline_ms", 1, 1, maxDeadlineMs));
    if (body.contains("stream") && !body["stream"].is_boolean())
        throwMalformed("stream must be true or false");
    parsed.stream = body.value("stream", false);
    return parsed;
}

ServiceRequested parseServiceCall(const HttpRequest &request)
{
    checkBody(request);
    const std::string serviceAndPath = request.path.substr(servicesPathPrefix.size());
    const std::size_t slash = serviceAndPath.find('/');
    ServiceRequested nodeEvent;
    nodeEvent.request = RequestId(request.exchange.value());
    nodeEvent.key = bearerKey(request);
    nodeEvent.service = ServiceId(serviceAndPath.substr(0, slash));
    if (nodeEvent.service.value().empty())
        throwMalformed("the path does not name a service");
    if (request.method == "UNKNOWN")
        throwMalformed("the method is not supported");
    nodeEvent.method = request.method;
    nodeEvent.path = slash == std::string::npos ? "/" : serviceAndPath.substr(slash);
    if (!request.query.empty())
        nodeEvent.path += "?" + request.query;
    nodeEvent.contentType = request.header("Content-Type");
    nodeEvent.body = request.body;
    nodeEvent.idempotencyKey = request.header("Idempotency-Key");
    nodeEvent.firstAttempt = request.header("Idempotency-Attempt") == "1";
    return nodeEvent;
}

RefusalResponse formatRefusal(const Refuse &refuse)
{
    RefusalResponse text;
    text.status = httpStatus(refuse.code);
    text.body = dumpJson(errorJson(refuse));
    if (refuse.retryAfter) {
        const auto seconds =
            (refuse.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        text.headers.emplace_back("Retry-After",
                                  std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    return text;
}

CompletionWriter::CompletionWriter(RequestId request, std::string model, WallTime created)
    : m_id("chatcmpl-" + std::to_string(request.value()))
    , m_model(std::move(model))
    , m_created(created)
{
    m_eventPrefix = "data: {\"id\":" + dumpJson(m_id)
        + ",\"object\":\"chat.completion.chunk\",\"created\":"
        + std::to_string(m_created.value() / millisecondsPerSecond)
        + ",\"model\":" + dumpJson(m_model) + ",\"choices\":[{\"index\":0,\"delta\":";
}

std::string CompletionWriter::tokenEvent(const std::string &token) const
{
    return m_eventPrefix + "{\"content\":" + dumpJson(token) + "},\"finish_reason\":null}]}\n\n";
}

std::string CompletionWriter::endEvents() const
{
    return m_eventPrefix + "{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
}

std::string CompletionWriter::errorEvent(const Refuse &refuse)
{
    return "data: " + dumpJson(errorJson(refuse)) + "\n\n";
}

std::string CompletionWriter::responseBody(const std::string &text, std::uint32_t tokens) const
{
    const json body {{"id", m_id},
                     {"object", "chat.completion"},
                     {"created", m_created.value() / millisecondsPerSecond},
                     {"model", m_model},
                     {"choices",
                      {{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", text}}},
                        {"finish_reason", "stop"}}}},
                     {"usage", {{"completion_tokens", tokens}}}};
    return dumpJson(body);
}

} // namespace bramleypitch
