#include "coordination/member_base.h"

#include <algorithm>

namespace bramleypitch {

MemberTable::MemberTable(MemberEntry self, MemberLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_view({m_self})
{
}

void MemberTable::merge(const std::vector<MemberEntry> &entries, TimePoint now)
{
    for (const MemberEntry &entry : entries) {
        if (entry.node == m_self.node)
            continue;
        const auto [found, isNew] = m_members.try_emplace(entry.node, Member {entry, now});
        if (isNew)
            continue;
        Member &member = found->second;
        const auto version = std::pair(entry.incarnation, entry.counter);
        if (version <= std::pair(member.entry.incarnation, member.entry.counter))
            continue;
        member.entry = entry;
        member.lastAdvance = now;
    }
}

void MemberTable::mergeRecords(const std::vector<NodeRecord> &records, TimePoint now)
{
    for (const NodeRecord &record : records) {
        if (record.node == m_self.node)
            continue;
        const auto found = m_members.find(record.node);
        if (found != m_members.end() && found->second.entry.incarnation >= record.incarnation)
            continue;
        MemberEntry entry;
        entry.node = record.node;
        entry.incarnation = record.incarnation;
        entry.entryAddress = record.entryAddress;
        entry.peerAddress = record.peerAddress;
        entry.zone = record.zone;
        m_members[record.node] = Member {entry, now - m_limits.timeout};
    }
}

void MemberTable::tick(TimePoint now)
{
    ++m_self.counter;
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (now - it->second.lastAdvance >= m_limits.removalTimeout)
            it = m_members.erase(it);
        else
            ++it;
    }
    refreshView(now);
}

void MemberTable::refreshView(TimePoint now)
{
    std::vector<MemberEntry> view = alive(now, false);
    const bool unchanged = std::equal(view.begin(), view.end(), m_view.begin(), m_view.end(),
                                      [](const MemberEntry &a, const MemberEntry &b) {
                                          return a.node == b.node && a.incarnation == b.incarnation;
                                      });
    m_view = std::move(view);
    if (!unchanged)
        ++m_viewVersion;
}

std::size_t MemberTable::aliveCount(TimePoint now) const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(m_members.begin(), m_members.end(),
                             [&](const auto &entry) { return isAlive(entry.second, now); }));
}

bool MemberTable::isAlive(const Member &member, TimePoint now) const
{
    return now - member.lastAdvance < m_limits.timeout;
}

std::vector<MemberEntry> MemberTable::alive(TimePoint now, bool includeLeaving) const
{
    std::vector<MemberEntry> entries;
    if (includeLeaving || !m_self.leaving)
        entries.push_back(m_self);
    for (const auto &[node, member] : m_members) {
        if (isAlive(member, now) && (includeLeaving || !member.entry.leaving))
            entries.push_back(member.entry);
    }
    std::sort(entries.begin(), entries.end(),
              [](const MemberEntry &a, const MemberEntry &b) { return a.node < b.node; });
    return entries;
}

bool MemberTable::majorityAlive(TimePoint now) const
{
    return aliveCount(now) * 2 > knownCount();
}

std::vector<MemberEntry> MemberTable::digest(TimePoint now) const
{
    std::vector<const Member *> recent;
    for (const auto &[node, member] : m_members) {
        if (isAlive(member, now))
            recent.push_back(&member);
    }
    std::stable_sort(recent.begin(), recent.end(), [](const Member *a, const Member *b) {
        return a->lastAdvance > b->lastAdvance;
    });
    if (recent.size() + 1 > m_limits.entriesPerHeartbeat)
        recent.resize(m_limits.entriesPerHeartbeat - 1);
    std::vector<MemberEntry> entries {m_self};
    for (const Member *member : recent)
        entries.push_back(member->entry);
    return entries;
}

std::vector<MemberEntry> MemberTable::heartbeatTargets(TimePoint now, std::mt19937_64 &random) const
{
    std::vector<MemberEntry> live;
    std::vector<MemberEntry> silent;
    for (const auto &[node, member] : m_members)
        (isAlive(member, now) ? live : silent).push_back(member.entry);
    std::shuffle(live.begin(), live.end(), random);
    if (live.size() > m_limits.fanout)
        live.resize(m_limits.fanout);
    if (!silent.empty())
        live.push_back(silent[random() % silent.size()]);
    return live;
}

const Member *MemberTable::find(const NodeId &node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : &found->second;
}

} // namespace bramleypitch
