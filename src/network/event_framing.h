#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch {

/// What a block of lines of a stream is.
enum class EventKind {
    Event, ///< It has at least one field that events have.
    Comment, ///< It consists of comments.
    Other, ///< Something else, such as a message of the server.
};

/// A complete event in the bytes of a batch.
struct EventMark
{
    std::size_t end = 0; ///< Offset of the byte after it.
    EventKind kind = EventKind::Event;
    std::string id; ///< Empty if it has none.
};

/// Complete events of a stream, as the bytes to forward.
struct EventBatch
{
    std::string bytes;
    std::size_t events = 0;
    std::vector<EventMark> marks; ///< One for each of the events.
    std::string lastEventId; ///< The id of the last event with an id; empty if there is none.
};

/// Splits a text/event-stream (WHATWG HTML, 9.2.6) into complete events. Incomplete events are
/// buffered, so that a stream that breaks off can be resumed after its last complete event. A block
/// of comments counts as an event.
class EventFraming
{
public:
    /// Appends received bytes and returns the events that are now complete.
    EventBatch take(std::string_view bytes);
    /// The buffered bytes: an incomplete event, or comments and blank lines after the last event.
    const std::string &remainder() const { return m_buffer; }
    /// The memory that the buffer takes.
    std::size_t heldBytes() const { return m_buffer.capacity(); }
    /// Whether a stream that ends here ends inside an event or a line, so that it was broken off.
    bool isInsideEvent() const { return m_hasField || m_lineBegin < m_buffer.size(); }
    void reset() { *this = EventFraming(); }

private:
    /// Returns the next complete line without its line end, and moves past it.
    std::optional<std::string_view> nextLine();

    std::string m_buffer; ///< Begins after the last complete event.
    std::size_t m_lineBegin = 0; ///< Start of the first line that is not complete.
    std::size_t m_scanned = 0; ///< The buffer contains no line end from m_lineBegin up to here.
    bool m_hasLine = false; ///< The incomplete event has a complete line.
    bool m_hasField = false; ///< One of these lines is a field, not a comment.
    bool m_hasEventField = false; ///< One of them is a field that events have.
    bool m_bareCarriageReturns = false; ///< The last line ended with a carriage return alone.
    std::string m_id; ///< The id of the incomplete event.
};

} // namespace bramleypitch
