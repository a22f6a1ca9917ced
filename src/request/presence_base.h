#pragma once

#include "request/cold_turn.h"
#include "request/presence_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// Times of presence.
struct PresenceOptions
{
    PresenceRecord own;
    Duration silence {1'500}; ///< Without a pulse for so long a node counts as gone.
    Duration newcomer {1'000}; ///< A record this fresh stands for a node not yet heard of.
    Duration boundMemory {30'000}; ///< Nodes seen within this count for the bound on nodes.
};

/// The nodes of the system: the store tells which exist, pulses which are alive.
class PresenceTable
{
public:
    explicit PresenceTable(PresenceOptions options);

    void setRecord(const PresenceRecord &record, TimePoint now);
    void eraseRecord(const NodeId &node);
    /// Takes a pulse in; false if it is older than one seen.
    bool pulseCame(const Pulse &pulse, TimePoint now);
    void setTaking(bool taking) { m_taking = taking; }

    /// Whether a node is alive by its pulses or, just started, by its record.
    bool isLive(const NodeId &node, TimePoint now) const;
    /// The live nodes, this one included, in the order of their names.
    std::vector<NodeId> live(TimePoint now) const;
    /// Nodes whose pulses have stopped since the last call: their requests are to be forgotten.
    std::vector<NodeId> takeSilent(TimePoint now);
    /// Where to send pulses: to all nodes of the own zone, and to the others now and then.
    std::vector<Address> peers(bool otherZones) const;
    /// Whether this node watches the store for its zone: one of the live nodes does, the same by
    /// all their reckoning. Two at once cost calls only.
    bool isFeeder(TimePoint now) const;
    /// The live nodes that this one feeds with what it reads of the store, by their last pulse.
    struct Fed
    {
        Address peer;
        NodeId node;
        Revision held;
        TimePoint clock;
    };
    std::vector<Fed> fed(TimePoint now) const;
    /// The nodes that share limits, as an upper bound: all that were seen lately. Places follow the
    /// order of names.
    NodeShare share(TimePoint now) const;
    /// Addresses for a caller of `zone`: its own zone's live nodes that take requests, all zones'
    /// if those are fewer than `least`.
    std::vector<Address> entries(const ZoneId &zone, std::size_t least, TimePoint now) const;
    /// Requests running or waiting by model, of all live nodes but this one.
    std::map<ModelId, double> demand(TimePoint now) const;

private:
    struct Peer
    {
        std::optional<PresenceRecord> record;
        TimePoint recordAt;
        Pulse pulse;
        TimePoint pulseAt;
        bool counted = false; ///< Its running requests are in force.
    };

    bool alive(const Peer &peer, TimePoint now) const;

    PresenceOptions m_options;
    std::map<NodeId, Peer> m_peers;
    bool m_taking = false;
};

} // namespace bramleypitch
