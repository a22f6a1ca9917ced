#pragma once

#include "request/closed_group_type.h"

#include <optional>

namespace bramleypitch {

/// The groups that their heads have refused to serve, by what this node and others were told. A
/// head that has left its group answers each request with a refusal, while its entry and the plan
/// reach the nodes seconds later. A refusal therefore counts for more than what was written before
/// it.
class ClosedGroupTable
{
public:
    /// The head of a group refused a request. `number` is that of its newest known report.
    /// Returns whether this node did not know that the group is closed.
    bool close(const BackendReport &head, bool isOwn, TimePoint at, TimePoint now);
    /// Whether the group of which a server reports to be the head is closed.
    bool isClosed(const BackendReport &head) const;
    /// Handles a newer report of a server. Returns whether its group is open again.
    bool onReport(const BackendReport &report, TimePoint now);
    /// Opens groups that were closed for long, which are then tried again. Returns whether there
    /// were any.
    bool expire(TimePoint now);
    /// What refusals told this node a short time ago, for the other nodes.
    ClosedGroups recent(TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        std::int64_t startedAt = 0; ///< Run of the head.
        GroupId name;
        Generation generation;
        std::int64_t number = 0; ///< Of the head's newest report when it refused.
        bool isOwn = false; ///< This node received a refusal.
        TimePoint at; ///< Of the latest refusal.
    };

    static bool matches(const Entry &entry, const BackendReport &head);

    std::map<VmId, Entry> m_entries;
};

} // namespace bramleypitch
