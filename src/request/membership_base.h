#pragma once

#include "request/cold_start_limit.h"
#include "request/membership_type.h"
#include "request/request_type.h"
#include "request/start_phase.h"

#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

/// Timeouts of the membership table.
struct MembershipOptions
{
    MembershipRecord own;
    TimePoint startedAt;
    /// A node of this node's zone is considered dead after this time without a pulse.
    Duration nodeTimeout {1'500};
    /// Another zone is considered dead after this time without a digest. It is longer than the
    /// timeout above because the author of the digests may have died, and its zone needs that
    /// timeout to agree on the next author.
    Duration zoneTimeout {3'000};
    Duration startGracePeriod {
        1'000}; ///< A node counts as live for this time after its record appears.
    Duration nodeCountMemory {30'000}; ///< How long a node without a record counts in share().
};

/// Membership of the nodes of the system. The store lists which nodes exist; pulses and digests
/// show which of them are alive.
class MembershipTable
{
public:
    explicit MembershipTable(MembershipOptions options);

    void setRecord(const MembershipRecord &record, TimePoint now);
    void eraseRecord(const NodeId &node);
    /// Processes a pulse of another node. Returns false if it is older than one already seen.
    bool onPulse(const Pulse &pulse, TimePoint now);
    /// Processes the digest of another zone. Returns false if the digest is older than one already
    /// seen, if it is for this node's zone, or if its author has no record. A node without a record
    /// is leaving or unknown, and no longer receives the pulses of its zone.
    bool onDigest(const ZoneDigest &digest, TimePoint now);
    /// Whether this node takes requests of callers.
    void setAccepting(bool taking) { m_accepting = taking; }
    /// Whether this node reaches no server.
    void setCut(bool cut) { m_cut = cut; }
    bool isCut() const { return m_cut; }
    /// Whether the store accepts the writes of this node.
    void setWriteRefused(bool refused) { m_writeRefused = refused; }
    /// This node is about to stop and no longer represents its zone.
    void setLeaving() { m_leaving = true; }
    /// Whether this node has run long enough to have received a pulse of every live node of its
    /// zone, and is not stopping.
    bool isSettled(TimePoint now) const
    {
        return !m_leaving && now - m_options.startedAt >= m_options.nodeTimeout;
    }

    /// Whether a node is alive, judged by pulses and digests or, if it has just started, by its
    /// record.
    bool isLive(const NodeId &node, TimePoint now) const;
    /// The live nodes that share the duties of the fleet, sorted by name: those with at least half
    /// of the processor share of the largest one. A small node has no share to spare for duties. A
    /// node that reaches no server has none unless all are like that, nor has one whose writes the
    /// store does not accept.
    std::vector<NodeId> dutyNodes(TimePoint now) const;
    /// Nodes that became silent since the last call. The caller discards their running requests.
    std::vector<NodeId> takeSilentNodes(TimePoint now);
    /// Zones that became silent since the last call.
    std::vector<ZoneId> takeSilentZones(TimePoint now);

    /// Peer addresses of the other nodes of this node's zone, to which pulses are sent.
    std::vector<Address> ownZonePeers() const;
    /// Peer addresses of the representatives of the other zones, to which digests are sent.
    std::vector<Address> otherZoneRepresentatives(TimePoint now) const;
    /// Aggregates the pulses of this node's zone, including `own`.
    ZoneDigest digest(const Pulse &own, TimePoint now) const;
    /// Whether this node represents its zone. The live nodes agree on one representative by
    /// rendezvous hashing. Two representatives at once only cause extra messages.
    bool isZoneRepresentative(TimePoint now) const;
    /// Whether this node watches the store on behalf of all zones. It is one of the zone
    /// representatives.
    bool isStoreWatcher(TimePoint now) const;
    /// A live node to which this node forwards the changes that it reads from the store.
    struct FeedTarget
    {
        Address peer;
        NodeId node;
        Revision held;
        StoreEra era;
        TimePoint clock;
    };
    /// The live nodes to which this node forwards store changes, according to their last messages:
    /// the nodes of its own zone and, if it watches the store, the representatives of other zones.
    std::vector<FeedTarget> feedTargets(bool watches, TimePoint now) const;

    /// Number of nodes that share the limits of the servers, as an upper bound: all nodes with a
    /// record or seen recently. The index of this node follows the order of node names.
    NodeShare share(TimePoint now) const;
    /// The nodes among which the limits of servers are divided, sorted by name: the nodes of
    /// share(), without those that are silent if at least two thirds are not. A smaller part of the
    /// nodes may be cut off from the others, and must not take their shares.
    std::vector<NodeId> limitNodes(TimePoint now) const;
    /// The other live nodes that take requests and reach servers.
    std::vector<PeerNode> servingPeers(TimePoint now) const;
    /// The other nodes that take requests, or that may do so as nothing was heard of them since
    /// this node began to take requests at `since`.
    StartPeers startPeers(TimePoint since, TimePoint now) const;
    /// Address to which messages for a node are sent; none if it has no record.
    std::optional<Address> peerAddress(const NodeId &node) const;
    /// Number of nodes of this node's zone that have a record, including this one.
    std::size_t zoneSize() const;
    /// Addresses to which a caller in `zone` can connect: those of the live nodes of that zone that
    /// take requests, or those of all zones if the zone has fewer than `minCount` such nodes.
    std::vector<Address> entryAddresses(const ZoneId &zone, std::size_t minCount,
                                        TimePoint now) const;
    /// Slots needed by the running and waiting requests of all other live nodes, by model.
    std::map<ModelId, double> demand(TimePoint now) const;

    /// Number of other nodes of which anything is known.
    std::size_t known() const { return m_peers.size(); }

private:
    struct Peer
    {
        std::optional<MembershipRecord> record;
        TimePoint recordAt;
        Pulse pulse; ///< The last pulse, for nodes of this node's zone.
        TimePoint seenAt; ///< When its last pulse, or the last digest that lists it, arrived.
        bool taking = false; ///< Whether it takes requests, by its last pulse or digest.
        bool cut = false; ///< Whether it reaches no server, by the same.
        bool writeRefused = false; ///< Whether the store accepts its writes, by the same.
        bool seenSinceReport = false; ///< It was not reported as silent since it was last seen.
    };
    struct Zone
    {
        ZoneDigest digest;
        TimePoint digestAt;
        bool seenSinceReport = false;
    };

    bool isInOwnZone(const Peer &peer) const;
    bool alive(const Peer &peer, TimePoint now) const;
    /// Whether a node has a record or was seen recently.
    bool mayExist(const Peer &peer, TimePoint now) const;
    /// The representative of a zone: the author of a recent digest if there is one, otherwise the
    /// first of its larger nodes by rendezvous hashing. Settled nodes are preferred, then live
    /// ones, then any node that has a record. Null for a zone without nodes.
    const MembershipRecord *representativeOf(const ZoneId &zone, TimePoint now) const;
    std::vector<ZoneId> zones() const;

    MembershipOptions m_options;
    std::map<NodeId, Peer> m_peers;
    std::map<ZoneId, Zone> m_zones; ///< Other zones from which a digest arrived.
    bool m_accepting = false;
    bool m_leaving = false;
    bool m_cut = false;
    bool m_writeRefused = false;
};

} // namespace bramleypitch
