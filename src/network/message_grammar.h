#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleypitch {

enum class MessageKind { Request, Response };

/// What the head of a message says about its body.
struct HeadFraming
{
    const char *fault =
        nullptr; ///< Why the head is malformed, as a word for logs; null if it is not.
    bool isChunked = false;
    std::optional<std::uint64_t> length; ///< Content-Length in bytes.
};

/// Checks a complete head, including its blank line, against the grammar of RFC 9112 without the
/// liberties that it grants to recipients, so that no other reader can see another message in the
/// same bytes: lines end with CRLF and are not folded, a field name is a token directly before its
/// colon, values have no control characters, and a body has either one length or chunks.
HeadFraming checkHead(std::string_view head, MessageKind kind);

/// Follows a chunked body (RFC 9112, 7.1) and finds its end. Blanks around sizes are refused, and
/// the lines of sizes and trailers are limited.
class ChunkChecker
{
public:
    /// Reads up to the end of the body or to the first malformed byte and returns how many bytes
    /// belong to the body.
    std::size_t feed(std::string_view bytes);
    bool complete() const { return m_state == State::Complete; }
    bool failed() const { return m_state == State::Failed; }

private:
    enum class State {
        Size,
        Extension,
        SizeEnd,
        Data,
        DataEnd,
        DataLineEnd,
        Trailer,
        Complete,
        Failed
    };

    State next(char c);
    State nextInSize(char c);
    State nextInTrailer(char c);

    State m_state = State::Size;
    std::uint64_t m_left =
        0; ///< Bytes of the chunk that are still to come; its size while it is read.
    std::size_t m_sizeDigits = 0;
    std::size_t m_lineBytes = 0; ///< Of the extension, or of all trailers.
    std::string m_line; ///< The trailer line that is being read.
};

} // namespace bramleypitch
