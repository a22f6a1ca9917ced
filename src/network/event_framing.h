#pragma once

#include <string>
#include <string_view>

namespace bramleypitch {

/// Complete events of a stream, as the bytes to forward.
struct EventBatch
{
    std::string bytes;
    std::size_t events = 0;
    std::string lastEventId; ///< The id of the last event with an id; empty if there is none.
};

/// Splits a text/event-stream (WHATWG HTML, 9.2.6) into complete events. Incomplete events are
/// buffered, so that a stream that breaks off can be resumed after its last complete event.
class EventFraming
{
public:
    /// Appends received bytes and returns the events that are now complete.
    EventBatch take(std::string_view bytes);
    /// The buffered bytes of an incomplete event.
    const std::string &remainder() const { return m_buffer; }
    void reset() { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace bramleypitch
