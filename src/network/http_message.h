#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleypitch {

/// Request line or status line, and headers, of an HTTP message.
struct MessageHead
{
    std::string method; ///< Of requests.
    std::string target; ///< Of requests, as sent: path and query.
    int status = 0; ///< Of responses.
    std::vector<std::pair<std::string, std::string>> headers;
    bool keepAlive = false; ///< The connection may carry a further message.

    /// The value of a header, whatever its case, or null.
    const std::string *find(std::string_view name) const;
    /// Like find(), an empty text where the header is absent.
    std::string value(std::string_view name) const;
};

/// Whether two header names are the same, whatever their case.
bool sameHeader(std::string_view a, std::string_view b);

/// Whether a header concerns one connection only and is not to be passed on, by RFC 9110, 7.6.1:
/// the fixed ones and those that Connection names.
bool isHopByHop(const MessageHead &head, std::string_view name);

/// The length of a message's head with its blank line, or none while it is not complete.
std::optional<std::size_t> headLength(std::string_view bytes);

/// Whether the bytes of a head, complete or not, hold what servers read differently: line feeds
/// without carriage return, lone carriage returns, zero bytes or folded lines (RFC 9112, 2.2, 5.2).
bool hasAmbiguousLines(std::string_view bytes);

/// Splits the bytes of a connection into messages (http_parser underneath).
class MessageParser
{
public:
    enum class Kind { Request, Response };

    explicit MessageParser(Kind kind);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Begins the next message. `withoutBody`: a response to HEAD.
    void reset(bool withoutBody = false);
    /// Takes bytes up to the end of the message and returns how many.
    std::size_t feed(std::string_view bytes);
    /// The connection ended: completes a response whose end it is.
    void close();

    const MessageHead &head() const;
    bool headComplete() const;
    bool complete() const;
    bool failed() const;
    /// Nothing of a message has come yet.
    bool idle() const;
    /// The length that the head declares, or none.
    std::optional<std::size_t> declaredLength() const;
    /// Body bytes since the last call, decoded.
    std::string takeBody();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bramleypitch
