#pragma once

#include "coordination/member_type.h"

#include <map>
#include <random>

namespace bramleypitch {

/// Times and sizes of the membership protocol.
struct MemberLimits
{
    Duration timeout {3'000}; ///< Without a rising counter for so long, a member is not alive.
    Duration forget {600'000}; ///< And after so long it is forgotten.
    std::size_t entriesPerHeartbeat = 64; ///< Bounds the bytes of a heartbeat at any fleet size.
    std::size_t fanout = 2; ///< Heartbeats sent each interval.
};

/// The nodes of the environment, by gossip of heartbeat counters (van Renesse, Minsky and Hayden,
/// "A Gossip-Style Failure Detection Service", 1998). Cost a node is constant in fleet size.
class MemberTable
{
public:
    MemberTable(MemberEntry self, MemberLimits limits);

    /// Takes in what a heartbeat says of others. Entries about this node are not believed.
    void merge(const std::vector<MemberEntry> &entries, TimePoint now);
    /// Takes in the platform's lease records: unknown nodes become known, not yet alive.
    void learn(const std::vector<NodeRecord> &records, TimePoint now);
    /// Raises this node's own counter and forgets members long silent.
    void tick(TimePoint now);
    /// Marks this node as leaving or not.
    void setLeaving(bool leaving) { m_self.leaving = leaving; }
    /// A new life of this node, after its lease was granted anew.
    void setIncarnation(Incarnation incarnation) { m_self.incarnation = incarnation; }

    /// This node and every member heard of lately, by name. `withLeaving` includes leaving ones.
    std::vector<MemberEntry> alive(TimePoint now, bool withLeaving) const;
    /// The members that work is spread over, as of the last tick: alive and not leaving, by name.
    const std::vector<MemberEntry> &view() const { return m_view; }
    /// Rises whenever view() names other nodes than before.
    std::uint64_t viewVersion() const { return m_viewVersion; }
    /// Members known at all, this node included.
    std::size_t knownCount() const { return m_members.size() + 1; }
    /// Whether a strict majority of the known members, this node included, is alive.
    bool majorityAlive(TimePoint now) const;
    /// The entries to send: this node's own and those heard of last.
    std::vector<MemberEntry> digest(TimePoint now) const;
    /// Peers for this interval's heartbeats: random live ones, and one that is silent, so that
    /// healed partitions are found.
    std::vector<MemberEntry> targets(TimePoint now, std::mt19937_64 &random) const;
    /// A member by name, or null.
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
