#pragma once

#include "coordination/event_type.h"
#include "network/http_server.h"

#include <optional>
#include <string>
#include <variant>

namespace bramleypitch {

/// Maximum size of a caller's request body, in bytes.
constexpr std::size_t maxCallerBodyBytes = 1024 * 1024;

/// A parsed completion request.
struct ParsedCompletion
{
    CompletionRequested nodeEvent;
    bool stream = false; ///< Whether the response is streamed as server-sent events.
};

/// Parses a POST /v1/chat/completions request.
/// Throws Failure with MalformedRequest or BodyTooLarge.
ParsedCompletion parseCompletion(const HttpRequest &request);
/// Parses a request to /services/NAME/PATH with any supported method.
/// Throws Failure with MalformedRequest or BodyTooLarge.
ServiceRequested parseServiceCall(const HttpRequest &request);

/// The HTTP response to a refused request.
struct RefusalResponse
{
    int status = 0;
    std::string body;
    HttpHeaders headers; ///< Retry-After if a retry can succeed.
};
RefusalResponse formatRefusal(const Refuse &refuse);

/// Formats the response to a completion request according to the chat completions API.
class CompletionWriter
{
public:
    CompletionWriter() = default;
    CompletionWriter(RequestId request, std::string model, WallTime created);

    /// The server-sent event that carries one token.
    std::string tokenEvent(const std::string &token) const;
    /// The events that end a complete stream: the finish reason and [DONE].
    std::string endEvents() const;
    /// The error event that ends an incomplete stream.
    static std::string errorEvent(const Refuse &refuse);
    /// The body of a response that is not streamed.
    std::string responseBody(const std::string &text, std::uint32_t tokens) const;

private:
    std::string m_id;
    std::string m_model;
    WallTime m_created;
    std::string m_eventPrefix; ///< The start of each event, up to and including "delta":
};

} // namespace bramleypitch
