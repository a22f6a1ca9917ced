#pragma once

#include "network/event_framing.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bramleypitch {

/// The events of a stream that were forwarded. Decides by their ids whether an event may follow:
/// ids are decimal numbers that increase. Servers that number all events one after the other leave
/// none out where one continues the stream of another.
class EventSequence
{
public:
    /// `lastEventId` is the id after which the caller resumes the stream; empty if it does not.
    explicit EventSequence(const std::string &lastEventId = std::string());

    /// Whether an event may be forwarded next. `startsAttempt` is set for the first one of an
    /// attempt, which may be by a server that does not continue the stream.
    bool mayFollow(const EventMark &event, bool startsAttempt) const;
    void add(const EventMark &event);
    /// Whether another server can continue the stream. False once an event has no number, since
    /// nothing shows then where the other server begins.
    bool isResumable() const { return m_isNumbered; }
    /// The id of the last event that was added; empty if there is none.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    std::string m_lastEventId;
    std::optional<std::uint64_t> m_last; ///< The number of the last event.
    bool m_hasEvents = false;
    bool m_isNumbered = true; ///< All events have a number.
    bool m_isConsecutive = true; ///< Each of them was one above the last.
};

} // namespace bramleypitch
