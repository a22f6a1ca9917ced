#include "network/event_framing.h"

namespace bramleypitch {

namespace {

/// Returns the value of the event's last id field, or an empty string if it has none.
std::string_view idOf(std::string_view event)
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
std::size_t eventLength(std::string_view bytes, std::size_t from)
{
    for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
         at = bytes.find('\n', at + 1)) {
        if (at + 1 < bytes.size() && bytes[at + 1] == '\n')
            return at + 2;
        if (at + 2 < bytes.size() && bytes[at + 1] == '\r' && bytes[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

EventBatch EventFraming::take(std::string_view bytes)
{
    m_held.append(bytes);
    EventBatch batch;
    std::size_t begin = 0;
    const std::string_view held = m_held;
    for (;;) {
        const std::size_t end = eventLength(held, begin);
        if (end == std::string_view::npos)
            break;
        const std::string_view id = idOf(held.substr(begin, end - begin));
        if (!id.empty())
            batch.lastId = id;
        ++batch.events;
        begin = end;
    }
    batch.bytes = m_held.substr(0, begin);
    m_held.erase(0, begin);
    return batch;
}

} // namespace bramleypitch
