#pragma once

#include <string>
#include <string_view>

namespace bramleypitch {

/// Whole events of a stream, as bytes that can be passed on.
struct EventBatch
{
    std::string bytes;
    std::size_t events = 0;
    std::string lastId; ///< The id of the last event that has one; empty if none has.
};

/// Cuts a text/event-stream (WHATWG HTML, 9.2.6) into whole events. What is not yet whole is held
/// back, so that a stream that breaks off can go on behind its last whole event.
class EventFraming
{
public:
    /// Takes bytes and returns the events that they complete.
    EventBatch take(std::string_view bytes);
    /// Bytes of an event that has not ended.
    const std::string &remainder() const { return m_held; }
    void reset() { m_held.clear(); }

private:
    std::string m_held;
};

} // namespace bramleypitch
