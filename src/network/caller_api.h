#pragma once

#include "coordination/event_type.h"
#include "network/http_server.h"

#include <optional>
#include <string>
#include <variant>

namespace bramleypitch {

/// The largest body of a caller's request.
constexpr std::size_t maxCallerBody = 1024 * 1024;

/// A completion as the caller asked for it.
struct ParsedCompletion
{
    CompletionAsked asked;
    bool stream = false;
};

/// Reads POST /v1/chat/completions. Throws Failure(MalformedRequest or BodyTooLarge).
ParsedCompletion parseCompletion(const HttpRequest &request);
/// Reads ANY /services/NAME/PATH. Throws Failure(MalformedRequest or BodyTooLarge).
ServiceAsked parseServiceCall(const HttpRequest &request);

/// The body and status of a refusal.
struct RefusalText
{
    int status = 0;
    std::string body;
    HttpHeaders headers; ///< Retry-After where asking again can help.
};
RefusalText refusalText(const Refuse &refuse);

/// The answer to a completion, in the form of the chat completions interface.
class CompletionWriter
{
public:
    CompletionWriter() = default;
    CompletionWriter(RequestId request, std::string model, WallTime created);

    /// One server-sent event with one token.
    std::string tokenEvent(const std::string &token) const;
    /// The last events of a whole stream.
    std::string endEvents() const;
    /// The event that ends a stream which is not whole.
    static std::string errorEvent(const Refuse &refuse);
    /// The body of an answer given at once.
    std::string wholeBody(const std::string &text, std::uint32_t tokens) const;

private:
    std::string m_id;
    std::string m_model;
    WallTime m_created;
    std::string m_head; ///< The part of each event before its token.
};

} // namespace bramleypitch
