#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <vector>

namespace bramleypitch {

/// State of a node as carried in heartbeats, sent by the node itself or passed on by another.
struct MemberEntry
{
    NodeId node;
    Incarnation incarnation; ///< Increases with each restart or new lease of the node.
    std::int64_t counter = 0; ///< Increases with each heartbeat interval of the node.
    Address entryAddress;
    Address peerAddress;
    ZoneId zone;
    bool leaving = false;

    bool operator==(const MemberEntry &) const = default;
};

/// A heartbeat or the reply to one.
struct Heartbeat
{
    NodeId from;
    std::vector<MemberEntry> members; ///< The sender and the members it heard from most recently.
    Revision newest; ///< Newest revision of the sender's shared state.
    bool known = false; ///< Whether the sender has ever read the shared state.
    /// Time since the sender's shared state was last known to be current, measured when sending.
    Duration evidenceAge {0};
};

/// Another node of the environment, as known to this node.
struct Member
{
    MemberEntry entry;
    TimePoint lastAdvance; ///< When a higher counter of this member was last received.
};

/// The lease record of a node, read from the platform.
struct NodeRecord
{
    NodeId node;
    Incarnation incarnation;
    Address entryAddress;
    Address peerAddress;
    ZoneId zone;
};

} // namespace bramleypitch
