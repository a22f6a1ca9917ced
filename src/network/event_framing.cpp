#include "network/event_framing.h"

namespace bramleypitch {

namespace {

/// Returns the value of the event's last id field, or an empty string if it has none.
std::string_view eventId(std::string_view event)
{
    std::string_view id;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        id = line;
    }
    return id;
}

/// Returns the offset after the blank line that ends the event starting at `from`, or npos if the
/// event is incomplete.
std::size_t eventEnd(std::string_view bytes, std::size_t from)
{
    for (std::size_t newline = bytes.find('\n', from); newline != std::string_view::npos;
         newline = bytes.find('\n', newline + 1)) {
        if (newline + 1 < bytes.size() && bytes[newline + 1] == '\n')
            return newline + 2;
        if (newline + 2 < bytes.size() && bytes[newline + 1] == '\r' && bytes[newline + 2] == '\n')
            return newline + 3;
    }
    return std::string_view::npos;
}

} // namespace

EventBatch EventFraming::take(std::string_view bytes)
{
    m_buffer.append(bytes);
    EventBatch batch;
    std::size_t eventBegin = 0;
    const std::string_view buffered = m_buffer;
    for (;;) {
        const std::size_t end = eventEnd(buffered, eventBegin);
        if (end == std::string_view::npos)
            break;
        const std::string_view id = eventId(buffered.substr(eventBegin, end - eventBegin));
        if (!id.empty())
            batch.lastEventId = id;
        ++batch.events;
        eventBegin = end;
    }
    batch.bytes = m_buffer.substr(0, eventBegin);
    m_buffer.erase(0, eventBegin);
    return batch;
}

} // namespace bramleypitch
