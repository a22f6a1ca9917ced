#pragma once

#include "request/cold_turn.h"
#include "request/presence_type.h"

#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

/// Times of presence.
struct PresenceOptions
{
    PresenceRecord own;
    TimePoint startedAt;
    Duration silence {
        1'500}; ///< Without a pulse for so long a node of the own zone counts as gone.
    /// Without a digest for so long another zone does: its author may have died, and the zone needs
    /// the time above to agree on the next.
    Duration zoneSilence {3'000};
    Duration newcomer {1'000}; ///< A record this fresh stands for a node not yet heard of.
    Duration boundMemory {30'000}; ///< Nodes seen within this count for the bound on nodes.
};

/// The nodes of the system: the store tells which exist, pulses and digests which are alive.
class PresenceTable
{
public:
    explicit PresenceTable(PresenceOptions options);

    void setRecord(const PresenceRecord &record, TimePoint now);
    void eraseRecord(const NodeId &node);
    /// Takes a pulse in; false if it is older than one seen.
    bool pulseCame(const Pulse &pulse, TimePoint now);
    /// Takes another zone's digest in; false if it is older than one seen, of the own zone, or of a
    /// node without a record, which leaves or is unknown and does not hear its zone any more.
    bool digestCame(const ZoneDigest &digest, TimePoint now);
    void setTaking(bool taking) { m_taking = taking; }
    /// This node is about to stop: it speaks for its zone no more.
    void setLeaving() { m_leaving = true; }
    /// Whether this node has run for long enough to have heard of its whole zone, and stays.
    bool isSettled(TimePoint now) const
    {
        return !m_leaving && now - m_options.startedAt >= m_options.silence;
    }

    /// Whether a node is alive by pulses or digests or, just started, by its record.
    bool isLive(const NodeId &node, TimePoint now) const;
    /// The live nodes, this one included, in the order of their names.
    std::vector<NodeId> live(TimePoint now) const;
    /// Nodes that have fallen silent since the last call: their requests are to be forgotten.
    std::vector<NodeId> takeSilent(TimePoint now);
    /// The same for zones.
    std::vector<ZoneId> takeSilentZones(TimePoint now);

    /// Where pulses go: the other nodes of the own zone.
    std::vector<Address> zonePeers() const;
    /// Where digests go: one node of each other zone.
    std::vector<Address> farFeeders(TimePoint now) const;
    /// The sum of the own zone's pulses, `own` among them.
    ZoneDigest digest(const Pulse &own, TimePoint now) const;
    /// Whether this node speaks for its zone: one of the live nodes does, the same by all their
    /// reckoning. Two at once cost messages only.
    bool isFeeder(TimePoint now) const;
    /// Whether this node watches the store for all zones: one of those that speak for a zone.
    bool isWatcher(TimePoint now) const;
    /// The live nodes that this one feeds with what it reads of the store, by what they last sent:
    /// those of its zone and, for one that watches the store, those that speak for other zones.
    struct Fed
    {
        Address peer;
        NodeId node;
        Revision held;
        TimePoint clock;
    };
    std::vector<Fed> fed(bool watches, TimePoint now) const;

    /// The nodes that share limits, as an upper bound: all that were seen lately. Places follow the
    /// order of names.
    NodeShare share(TimePoint now) const;
    /// Nodes of the own zone with a record, this one included.
    std::size_t zoneSize() const;
    /// Addresses for a caller of `zone`: its own zone's live nodes that take requests, all zones'
    /// if those are fewer than `least`.
    std::vector<Address> entries(const ZoneId &zone, std::size_t least, TimePoint now) const;
    /// Slots that requests running or waiting need by model, of all live nodes but this one.
    std::map<ModelId, double> demand(TimePoint now) const;

private:
    struct Peer
    {
        std::optional<PresenceRecord> record;
        TimePoint recordAt;
        Pulse pulse; ///< Of nodes of the own zone.
        TimePoint seenAt; ///< By its pulse, or by a digest that names it.
        bool taking = false; ///< As it or the digest last said.
        bool counted = false; ///< It has not been reported as silent since it was last seen.
    };
    struct Zone
    {
        ZoneDigest digest;
        TimePoint digestAt;
        bool counted = false;
    };

    bool isNear(const Peer &peer) const;
    bool alive(const Peer &peer, TimePoint now) const;
    /// The node that speaks for a zone: of another zone the author of its last digest; else the
    /// first by rendezvous of those that are settled, of the live ones or at least of those that
    /// have a record. None for a zone without nodes.
    std::optional<PresenceRecord> feederOf(const ZoneId &zone, TimePoint now) const;
    std::vector<ZoneId> zones() const;

    PresenceOptions m_options;
    std::map<NodeId, Peer> m_peers;
    std::map<ZoneId, Zone> m_zones; ///< The other ones, by their digests.
    bool m_taking = false;
    bool m_leaving = false;
};

} // namespace bramleypitch
