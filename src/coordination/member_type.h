#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <vector>

namespace bramleypitch {

/// What one node tells of another (or itself) in a heartbeat.
struct MemberEntry
{
    NodeId node;
    Incarnation incarnation; ///< Higher for each life of the node.
    std::int64_t counter = 0; ///< Rises with each heartbeat of the node itself.
    Address entryAddress;
    Address peerAddress;
    ZoneId zone;
    bool leaving = false;

    bool operator==(const MemberEntry &) const = default;
};

/// A heartbeat, and likewise its reply. `evidenceAge` is measured at the sender when it sends.
struct Heartbeat
{
    NodeId from;
    std::vector<MemberEntry> members; ///< Bounded: the sender and those it heard from last.
    Revision newest; ///< Digest of the sender's shared state.
    bool known = false; ///< The sender has read the shared state.
    Duration evidenceAge {0};
};

/// A node of the environment as seen from here.
struct Member
{
    MemberEntry entry;
    TimePoint lastAdvance; ///< When its counter last rose here.
};

/// A node's lease record as read from the platform.
struct NodeRecord
{
    NodeId node;
    Incarnation incarnation;
    Address entryAddress;
    Address peerAddress;
    ZoneId zone;
};

} // namespace bramleypitch
