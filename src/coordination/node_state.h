#pragma once

#include "coordination/action_type.h"
#include "coordination/environment_type.h"
#include "coordination/group_base.h"
#include "coordination/group_func.h"
#include "coordination/ledger_func.h"
#include "coordination/member_base.h"
#include "coordination/placement_func.h"
#include "coordination/shared_base.h"
#include "coordination/vm_base.h"
#include "core/counter_type.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bramleypitch {

/// Times, sizes and identity of a node. The daemon fills it from its settings.
struct NodeOptions
{
    NodeId node;
    EnvironmentId environment;
    Stage stage = Stage::Production;
    ZoneId zone;
    Address entryAddress;
    Address peerAddress;
    std::uint64_t seed = 1;

    MemberLimits members;
    PlacementLimits placement;
    LedgerLimits ledger;

    Duration heartbeatInterval {500};
    Duration sharedReadInterval {500}; ///< Between reads of a node that watches for its zone.
    std::uint32_t watchersPerZone = 2;
    Duration configurationFreshness {3'000}; ///< Evidence older than this is stale.
    Duration vmListInterval {1'000};
    Duration controlInterval {100}; ///< Between rounds of probing and placing.
    Duration probeInterval {500};
    Duration probeTimeout {500};
    Duration nodesReadInterval {2'000};
    Duration leaseRenewInterval {2'000};
    Duration leaseMargin {1'000}; ///< A lease is relied on for so much less than its time to live.
    Duration ledgerAskTimeout {600}; ///< Before a ledger request is asked again.
    Duration orderTimeout {2'000}; ///< Before an order is sent again.
    Duration stallSuspicion {500}; ///< Silence after which a stream of a broken group is given up.
    Duration stallLimit {10'000}; ///< Silence after which any stream is given up.
    Duration entryKeep {3'000}; ///< How long callers keep the list of entries.
    Duration prefetchInterval {5'000}; ///< Between spares of a domain that fetch weights.
    std::uint32_t domainSubset = 16; ///< Fabric domains that one node routes to.
    std::uint32_t loadsAtOnce = 4; ///< Groups of one domain that load weights at the same time.
    bool baselinePolicy = false; ///< Round robin without queues or ramps, for comparisons.
};

/// A placement value as this node knows it, with its revision.
struct KnownPlacement
{
    DomainPlacement placement;
    Revision revision; ///< 0 if none is written yet.
};

/// The tables of one node that its systems share. It holds no behaviour of its own.
struct NodeState
{
    explicit NodeState(NodeOptions nodeOptions);

    /// A new operation id, unique on this node.
    OperationId newOperation() { return OperationId(++operations); }

    NodeOptions options;
    SharedState shared;
    MemberTable members;
    VmTable vms;
    GroupTable groups;
    std::optional<Envelope> envelope; ///< The configuration in force here.
    Revision envelopeRevision;
    std::vector<DomainId> domains; ///< All that the configuration makes use of.
    std::set<DomainId> routed; ///< Those that this node routes to.
    std::map<DomainId, KnownPlacement> placements; ///< The placement values, parsed.
    OwnLease lease;
    std::vector<NodeRecord> nodeRecords; ///< Lease holders at the last good read.
    bool nodeRecordsKnown = false;
    TimePoint lastEchoedAt; ///< When the newest heartbeat that a peer replied to was sent.
    Revision newestHeard; ///< The newest revision that a peer said to hold.
    bool readSharedSoon = false; ///< Something was written: read the shared values at once.
    bool stopping = false;
    TimePoint zoneOutSince; ///< When this node's own zone was found out; epoch while in.
    WallTime wall;
    std::mt19937_64 random;
    Counters counters;
    std::uint64_t operations = 0;
};

/// Key prefix of the values that every node holds.
extern const char *const sharedPrefix;
/// Store key of a stage's configuration.
std::string configurationKey(const EnvironmentId &environment, Stage stage);
/// Store key of a domain's placement.
std::string placementKey(const DomainId &domain);
/// Key prefix of an environment's node records.
std::string nodePrefix(const EnvironmentId &environment);
/// Key prefix of an environment's ledger.
std::string ledgerPrefix(const EnvironmentId &environment, Stage stage);
/// Key prefix of a stage's audit records.
std::string auditPrefix(const EnvironmentId &environment, Stage stage);

/// Whether the node may take new work by its knowledge of the configuration: its evidence is
/// recent, or the platform is out for a majority of the nodes and so nothing can be accepted.
bool configurationCurrent(const NodeState &state, TimePoint now);

/// Whether this node's own zone is out.
bool ownZoneOut(const NodeState &state);

/// Why the node takes no new work at all, or none.
std::optional<Refuse> refusalOfNode(const NodeState &state, TimePoint now);

/// The placement of a domain; empty with revision 0 if none is written yet.
const KnownPlacement &knownPlacement(const NodeState &state, const DomainId &domain);
/// Parses a placement value that has changed.
void learnPlacement(NodeState &state, const SharedValue &value);

} // namespace bramleypitch
