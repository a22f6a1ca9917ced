#pragma once

#include "coordination/member_type.h"

#include <map>
#include <random>

namespace bramleypitch {

/// Parameters of the membership protocol.
struct MemberLimits
{
    Duration timeout {3'000}; ///< A member is alive if its counter increased this recently.
    Duration removalTimeout {600'000}; ///< A member without an increase for this long is removed.
    std::size_t entriesPerHeartbeat = 64; ///< Limits heartbeat size in large fleets.
    std::size_t fanout = 2; ///< Number of live peers that receive a heartbeat in each interval.
};

/// Membership table of the environment. Failures are detected by gossiping heartbeat counters (van
/// Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998). The cost per node
/// does not depend on the size of the fleet.
class MemberTable
{
public:
    MemberTable(MemberEntry self, MemberLimits limits);

    /// Merges the entries of a received heartbeat. Entries about this node are ignored.
    void merge(const std::vector<MemberEntry> &entries, TimePoint now);
    /// Merges the lease records of the platform. A node unknown so far is added as not alive.
    void mergeRecords(const std::vector<NodeRecord> &records, TimePoint now);
    /// Increments this node's heartbeat counter, removes members that have been silent for too long
    /// and updates view().
    void tick(TimePoint now);
    /// Sets whether this node announces that it is leaving.
    void setLeaving(bool leaving) { m_self.leaving = leaving; }
    /// Sets this node's incarnation after it was granted a new lease.
    void setIncarnation(Incarnation incarnation) { m_self.incarnation = incarnation; }

    /// Returns this node and all members that are alive, sorted by name. Nodes that are leaving are
    /// included only if `includeLeaving` is set.
    std::vector<MemberEntry> alive(TimePoint now, bool includeLeaving) const;
    /// The nodes between which work is distributed: those alive and not leaving at the last tick,
    /// sorted by name.
    const std::vector<MemberEntry> &view() const { return m_view; }
    /// Increases whenever the nodes of view() or their incarnations change.
    std::uint64_t viewVersion() const { return m_viewVersion; }
    /// Returns the number of known nodes, alive or not, including this node.
    std::size_t knownCount() const { return m_members.size() + 1; }
    /// Whether a strict majority of the known nodes, including this node, is alive.
    bool majorityAlive(TimePoint now) const;
    /// Returns the entries to send: that of this node and those of the members heard from most
    /// recently.
    std::vector<MemberEntry> digest(TimePoint now) const;
    /// Selects the peers that receive a heartbeat in this interval: random live members, and one
    /// that is not alive, in order to detect that a partition has healed.
    std::vector<MemberEntry> heartbeatTargets(TimePoint now, std::mt19937_64 &random) const;
    /// Returns the member with this name, or null. This node is not a member of its own table.
    const Member *find(const NodeId &node) const;

    const MemberEntry &self() const { return m_self; }

private:
    bool isAlive(const Member &member, TimePoint now) const;

    void refreshView(TimePoint now);
    std::size_t aliveCount(TimePoint now) const;

    MemberEntry m_self;
    MemberLimits m_limits;
    std::vector<MemberEntry> m_view;
    std::uint64_t m_viewVersion = 0;
    std::map<NodeId, Member> m_members;
};

} // namespace bramleypitch
