#pragma once

#include "network/message_grammar.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleypitch {

/// The start line (request line or status line) and the headers of an HTTP message.
struct MessageHead
{
    std::string method; ///< Only in requests.
    std::string target; ///< Only in requests: path and query as sent.
    int status = 0; ///< Only in responses.
    std::vector<std::pair<std::string, std::string>> headers;
    bool keepAlive = false; ///< The connection may be used for another message.

    /// The value of a header, or null if it is absent; the name is case-insensitive.
    const std::string *find(std::string_view name) const;
    /// Like find(), but an empty string if the header is absent.
    std::string value(std::string_view name) const;
};

/// Whether two header names are equal, ignoring case.
bool sameHeader(std::string_view a, std::string_view b);

/// Whether a header is hop-by-hop and must not be forwarded (RFC 9110, 7.6.1). This covers a fixed
/// set of headers and those listed in the Connection header.
bool isHopByHop(const MessageHead &head, std::string_view name);

/// The length of a message's head including the blank line, or none if the head is incomplete.
std::optional<std::size_t> headLength(std::string_view bytes);

/// Whether a complete or partial head contains bytes that HTTP implementations interpret
/// differently: bare line feeds, bare carriage returns, NUL bytes or folded lines (RFC 9112, 2.2
/// and 5.2).
bool hasAmbiguousLines(std::string_view bytes);

/// What marks the end of a message's body (RFC 9112, 6.3).
enum class BodyEnd {
    Unknown, ///< The head is incomplete.
    NoBody, ///< The message has no body, e.g. a response to HEAD or with status 204.
    Length, ///< As many bytes as Content-Length states.
    LastChunk, ///< The last chunk of a chunked body.
    ConnectionClose, ///< Nothing in the message; the body lasts until the connection is closed.
};

/// The name of a BodyEnd for logs.
const char *bodyEndName(BodyEnd end);

/// Incremental parser for the HTTP messages of a connection, based on http_parser. It accepts only
/// what checkHead() and ChunkChecker accept too.
class MessageParser
{
public:
    using Kind = MessageKind;

    explicit MessageParser(Kind kind);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Prepares for the next message. `withoutBody` is set for a response to HEAD.
    void reset(bool withoutBody = false);
    /// Consumes bytes up to the end of the message and returns how many were consumed.
    std::size_t feed(std::string_view bytes);
    /// Signals the end of the connection, which completes a response that has no other end.
    void close();

    const MessageHead &head() const;
    bool headComplete() const;
    bool complete() const;
    bool failed() const;
    /// Why parsing failed, as a word for logs.
    const char *fault() const;
    /// Whether no byte of the message has been parsed yet.
    bool idle() const;
    /// The body length that the head declares, or none.
    std::optional<std::size_t> declaredLength() const;
    /// What marks the end of the body.
    BodyEnd bodyEnd() const;
    /// Returns the decoded body bytes that were parsed since the last call.
    std::string takeBody();

private:
    struct State;

    std::size_t feedHead(std::string_view bytes);
    std::size_t feedBody(std::string_view bytes);
    void execute(std::string_view bytes);
    void fail(const char *fault);

    std::unique_ptr<State> m_state;
};

} // namespace bramleypitch
