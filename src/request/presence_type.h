#pragma once

#include "request/backend_base.h"

#include <map>

namespace bramleypitch {

/// A node's record in the store; it goes with the node's lease.
struct PresenceRecord
{
    NodeId node;
    ZoneId zone;
    Address front; ///< Where callers connect.
    Address peer; ///< Where pulses are sent.

    bool operator==(const PresenceRecord &) const = default;
};

/// What a node tells the others of its zone several times a second.
struct Pulse
{
    NodeId node;
    std::int64_t life = 0; ///< Differs between the lives of a node.
    std::int64_t number = 0; ///< Counts up within a life.
    bool taking = false; ///< It takes requests of callers.
    bool settled = false; ///< It has run for long enough to have heard of its whole zone.
    RunningCounts running; ///< Its requests, by server.
    std::map<VmId, Duration> suspects; ///< Servers that fail its requests, for how much longer.
    std::map<VmId, Duration> heard; ///< Servers that sent it something, and how long ago.
    TimePoint clock; ///< When it was sent, by the sender's clock; echoed by whoever feeds it.
    Revision held; ///< The store's revision that the sender holds in full; 0 before it does.
    std::map<ModelId, double> demand; ///< Slots that its requests running or waiting need.
};

/// What one node of a zone tells the other zones: the sum of its zone's pulses. So zones exchange a
/// few messages, however many nodes they have.
struct ZoneDigest
{
    ZoneId zone;
    NodeId node; ///< Its author.
    std::int64_t life = 0;
    std::int64_t number = 0; ///< Counts up within a life of the author.
    std::map<NodeId, bool> taking; ///< The live nodes, and whether each takes requests of callers.
    RunningCounts running;
    std::map<ModelId, double> demand;
    std::map<VmId, Duration> suspects;
    std::map<VmId, Duration> heard;
    TimePoint clock; ///< The author's, as in a pulse.
    Revision held; ///< By the author.
    bool relayed = false; ///< It has been passed on within the receiver's zone.
};

} // namespace bramleypitch
