#pragma once

#include "request/backend_base.h"
#include "request/closed_group_type.h"
#include "request/quarantine_type.h"
#include "request/server_limit_type.h"

#include <map>
#include <set>

namespace bramleypitch {

/// Record of a node in the store. It is removed when the lease of the node expires.
struct MembershipRecord
{
    NodeId node;
    ZoneId zone;
    Address front; ///< Address to which callers connect.
    Address peer; ///< Address to which other nodes send their messages.
    double cores = 0; ///< Processor share of the node, in cores. 0 if it is not known.
    /// Shown by nodes that pass requests on to this one. Empty for builds that ask for none.
    std::string forwardKey;

    bool operator==(const MembershipRecord &) const = default;
};

/// Status message that a node sends to the other nodes of its zone several times a second.
struct Pulse
{
    NodeId node;
    std::int64_t life = 0; ///< Differs after each restart of the node.
    std::int64_t number = 0; ///< Sequence number. Starts again after a restart of the node.
    bool taking = false; ///< Whether the node takes requests of callers.
    bool settled = false; ///< Whether it has run long enough to know all nodes of its zone.
    RunningCounts running; ///< Its running requests, by server.
    std::map<VmId, Duration> suspects; ///< Servers that it suspects, with the remaining time.
    std::map<VmId, Duration>
        recentProgress; ///< Servers that recently sent it data, with the time since.
    /// Send time by the clock of the sender. The node that forwards store changes to the sender
    /// returns it.
    TimePoint clock;
    Revision held; ///< Store revision that the sender holds in full. 0 before that.
    StoreEra era; ///< Of the store, to which `held` belongs.
    std::uint64_t newestVersion = 0; ///< Of the configuration that the sender has in force.
    std::map<ModelId, double> demand; ///< Slots needed by its running and waiting requests.
    LeavingRuns leaving; ///< Servers that have announced that they leave.
    QuarantineNews quarantine; ///< What it knows of parts of prompts.
    LimitNews limits; ///< What answers told it of the limits of servers.
    bool cut = false; ///< It reaches no server.
    bool writeRefused = false; ///< The store does not accept its writes.
    ClosedGroups closedGroups; ///< What refusals told it of groups.
};

/// Aggregate of the pulses of a zone, which one of its nodes sends to the other zones. The number
/// of messages between zones therefore does not depend on the number of nodes.
struct ZoneDigest
{
    ZoneId zone;
    NodeId node; ///< Author of the digest.
    std::int64_t life = 0;
    std::int64_t number = 0; ///< Sequence number. Starts again after a restart of the author.
    std::map<NodeId, bool> taking; ///< Live nodes, and whether each takes requests of callers.
    RunningCounts running;
    std::map<ModelId, double> demand;
    std::map<VmId, Duration> suspects;
    std::map<VmId, Duration> recentProgress;
    LeavingRuns leaving;
    QuarantineNews quarantine;
    LimitNews limits;
    std::set<NodeId> cut; ///< Those of the live nodes that reach no server.
    std::set<NodeId> writeRefused; ///< Those whose writes the store does not accept.
    ClosedGroups closedGroups;
    TimePoint clock; ///< Send time by the clock of the author, as in a pulse.
    Revision held; ///< Store revision that the author holds in full.
    StoreEra era; ///< Of the store, to which `held` belongs.
    std::uint64_t newestVersion = 0; ///< As in a pulse.
    bool relayed = false; ///< It was already forwarded within the zone of the receiver.
};

} // namespace bramleypitch
