#include "network/event_framing.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bramleypitch {

namespace {

constexpr std::string_view idField = "id:";
/// Buffers up to this size are kept for the next event.
constexpr std::size_t maxSpareBytes = 32 * 1024;
constexpr std::array<std::string_view, 4> eventFields {"data", "event", "id", "retry"};

bool isEventField(std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    return std::find(eventFields.begin(), eventFields.end(), name) != eventFields.end();
}

/// Returns the value of an id field, or an empty string if the line is another field.
std::string_view eventId(std::string_view line)
{
    if (line.substr(0, idField.size()) != idField)
        return {};
    line.remove_prefix(idField.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

} // namespace

std::optional<std::string_view> EventFraming::nextLine()
{
    const std::size_t end = m_buffer.find_first_of("\r\n", m_scanned);
    if (end == std::string::npos) {
        m_scanned = m_buffer.size();
        return std::nullopt;
    }
    m_scanned = end;
    std::size_t next = end + 1;
    if (m_buffer[end] == '\r') {
        const bool isLast = next == m_buffer.size();
        if (isLast && !m_bareCarriageReturns)
            return std::nullopt; // A line feed may follow.
        const bool beforeLineFeed = !isLast && m_buffer[next] == '\n';
        next += beforeLineFeed ? 1 : 0;
        m_bareCarriageReturns = !beforeLineFeed;
    }
    const std::string_view line = std::string_view(m_buffer).substr(m_lineBegin, end - m_lineBegin);
    m_lineBegin = m_scanned = next;
    return line;
}

EventBatch EventFraming::take(std::string_view bytes)
{
    m_buffer.append(bytes);
    EventBatch batch;
    std::size_t complete = 0;
    while (const auto line = nextLine()) {
        if (!line->empty()) {
            m_hasLine = true;
            m_hasField = m_hasField || line->front() != ':';
            m_hasEventField = m_hasEventField || isEventField(*line);
            if (const std::string_view id = eventId(*line); !id.empty())
                m_id = id;
            continue;
        }
        if (!m_hasLine)
            continue;
        ++batch.events;
        if (!m_id.empty())
            batch.lastEventId = m_id;
        const EventKind kind = m_hasEventField ? EventKind::Event
            : m_hasField                       ? EventKind::Other
                                               : EventKind::Comment;
        complete = m_lineBegin;
        batch.marks.push_back({complete, kind, std::exchange(m_id, std::string())});
        m_hasLine = m_hasField = m_hasEventField = false;
    }
    batch.bytes = m_buffer.substr(0, complete);
    m_buffer.erase(0, complete);
    m_lineBegin -= complete;
    m_scanned -= complete;
    if (m_buffer.capacity() > maxSpareBytes && m_buffer.size() <= m_buffer.capacity() / 2)
        m_buffer.shrink_to_fit();
    return batch;
}

} // namespace bramleypitch
