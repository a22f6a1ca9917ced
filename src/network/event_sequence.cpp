#include "network/event_sequence.h"

#include <charconv>

namespace bramleypitch {

namespace {

std::optional<std::uint64_t> parseNumber(const std::string &id)
{
    std::uint64_t number = 0;
    const char *end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

EventSequence::EventSequence(const std::string &lastEventId)
    : m_last(parseNumber(lastEventId))
{
}

bool EventSequence::mayFollow(const EventMark &event, bool startsAttempt) const
{
    const std::optional<std::uint64_t> number = parseNumber(event.id);
    if (number && m_last && *number <= *m_last)
        return false;
    if (!startsAttempt || !m_hasEvents)
        return true;
    // Continues what another server has begun.
    return m_isNumbered && number && (!m_isConsecutive || *number - *m_last == 1);
}

void EventSequence::add(const EventMark &event)
{
    const std::optional<std::uint64_t> number = parseNumber(event.id);
    if (!number)
        m_isNumbered = false;
    else if (*number - m_last.value_or(0) > 1)
        m_isConsecutive = false;
    if (number)
        m_last = number;
    if (!event.id.empty())
        m_lastEventId = event.id;
    m_hasEvents = true;
}

} // namespace bramleypitch
