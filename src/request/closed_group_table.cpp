#include "request/closed_group_table.h"

#include <algorithm>
#include <vector>

namespace bramleypitch {

namespace {

/// A group is tried again after this time. Entries and plans have been read by then, and a refusal
/// for another reason must not take a group out of service for good.
constexpr Duration closedTime {4'000};
/// A report that arrives sooner after a refusal may have been written before it.
constexpr Duration reportDelay {3'000};
/// Refusals are repeated to other nodes for this time, so that lost datagrams do not matter.
constexpr Duration reportTime {1'500};
constexpr std::size_t maxEntries = 4'096;

} // namespace

bool ClosedGroupTable::matches(const Entry &entry, const BackendReport &head)
{
    return entry.startedAt == head.startedAt && entry.name == head.group.name
        && entry.generation == head.group.generation;
}

bool ClosedGroupTable::close(const BackendReport &head, bool isOwn, TimePoint at, TimePoint now)
{
    if (head.group.name.value().empty() || now - at >= closedTime)
        return false;
    const auto found = m_entries.find(head.id);
    if (found != m_entries.end() && matches(found->second, head)) {
        found->second.isOwn = found->second.isOwn || isOwn;
        found->second.at = std::max(found->second.at, at);
        return false;
    }
    if (found == m_entries.end() && m_entries.size() >= maxEntries)
        return false;
    m_entries[head.id] = {head.startedAt, head.group.name, head.group.generation,
                          head.number,    isOwn,           at};
    return true;
}

bool ClosedGroupTable::isClosed(const BackendReport &head) const
{
    const auto found = m_entries.find(head.id);
    return found != m_entries.end() && matches(found->second, head);
}

bool ClosedGroupTable::onReport(const BackendReport &report, TimePoint now)
{
    const auto found = m_entries.find(report.id);
    if (found == m_entries.end())
        return false;
    const Entry &entry = found->second;
    // A report of before the refusal may arrive late, also one of an earlier group of the server.
    const bool isNewer = report.startedAt != entry.startedAt || report.number > entry.number;
    const bool isLateEnough = !matches(entry, report) || now - entry.at >= reportDelay;
    if (!isNewer || !isLateEnough)
        return false;
    m_entries.erase(found);
    return true;
}

bool ClosedGroupTable::expire(TimePoint now)
{
    return std::erase_if(m_entries,
                         [now](const auto &item) { return now - item.second.at >= closedTime; })
        > 0;
}

ClosedGroups ClosedGroupTable::recent(TimePoint now) const
{
    std::vector<std::pair<TimePoint, VmId>> newest;
    for (const auto &[head, entry] : m_entries) {
        if (entry.isOwn && now - entry.at < reportTime)
            newest.emplace_back(entry.at, head);
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), ClosedGroupBounds::reportedByNode));
    ClosedGroups groups;
    for (const auto &[at, head] : newest) {
        const Entry &entry = m_entries.at(head);
        groups[head] = {entry.startedAt, entry.name, entry.generation, now - at};
    }
    return groups;
}

} // namespace bramleypitch
