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

/// Identity, intervals and limits of a node. The daemon fills it from its settings.
struct NodeOptions
{
    NodeId node;
    EnvironmentId environment;
    Stage stage = Stage::Production;
    ZoneId zone;
    Address entryAddress;
    Address peerAddress;
    std::uint64_t seed = 1; ///< Of the random number generator.

    MemberLimits members;
    PlacementLimits placement;
    LedgerLimits ledger;

    Duration heartbeatInterval {500};
    Duration sharedReadInterval {500}; ///< Between reads by a node that watches for its zone.
    std::uint32_t watchersPerZone = 2; ///< Nodes that watch the shared values for their zone.
    Duration configurationFreshness {3'000}; ///< A configuration is stale without newer evidence.
    Duration vmListInterval {1'000};
    Duration controlInterval {100}; ///< Between rounds of probing and placement.
    Duration probeInterval {500};
    Duration probeTimeout {500};
    Duration nodesReadInterval {2'000};
    Duration leaseRenewInterval {2'000};
    Duration leaseMargin {1'000}; ///< Safety margin, subtracted from the time to live.
    Duration ledgerRequestTimeout {600}; ///< Before a ledger request is repeated.
    Duration orderTimeout {2'000}; ///< Before an order is repeated.
    Duration memberMissingStallTimeout {500}; ///< Stall timeout if a group member is missing.
    Duration stallTimeout {10'000}; ///< Stall timeout for all streams.
    Duration entryCacheTime {3'000}; ///< How long callers cache the list of entries.
    Duration prefetchInterval {5'000}; ///< Between prefetches of weights by spare VMs of a domain.
    std::uint32_t maxRoutedDomains = 16; ///< Number of fabric domains that one node routes to.
    std::uint32_t loadsAtOnce = 4; ///< Maximum number of groups of a domain loading weights.
    bool baselinePolicy = false; ///< Round robin without queue and cold-start limits, to compare.
};

/// The placement of a domain that this node has read, with its revision.
struct KnownPlacement
{
    DomainPlacement placement;
    Revision revision; ///< 0 if no placement has been written yet.
};

/// State of one node that its systems share. It contains no logic of its own.
struct NodeState
{
    explicit NodeState(NodeOptions nodeOptions);

    /// Returns a new operation id that is unique on this node.
    OperationId newOperation() { return OperationId(++operations); }

    NodeOptions options;
    SharedState shared;
    MemberTable members;
    VmTable vms;
    GroupTable groups;
    std::optional<Envelope> envelope; ///< The configuration in force on this node.
    Revision envelopeRevision; ///< Revision of `envelope`.
    std::vector<DomainId> domains; ///< All fabric domains that the configuration uses.
    std::set<DomainId> routed; ///< Fabric domains that this node routes to.
    std::map<DomainId, KnownPlacement> placements; ///< Parsed placement values.
    OwnLease lease;
    std::vector<NodeRecord> nodeRecords; ///< Lease holders at the last successful read.
    bool nodeRecordsKnown = false; ///< Whether the last read of the records succeeded.
    TimePoint lastAnsweredHeartbeatAt; ///< Sending time of the newest heartbeat with a reply.
    Revision newestPeerRevision; ///< Newest revision that a peer reported to hold.
    bool readSharedNow = false; ///< Read the shared values at once, after a write.
    bool stopping = false;
    TimePoint zoneOutSince; ///< Since when this node's zone is out; epoch if it is in service.
    WallTime wall; ///< Wall time of the last tick.
    std::mt19937_64 random;
    Counters counters;
    std::uint64_t operations = 0; ///< Number of operation ids given out.
};

/// Store key prefix of the values that all nodes replicate.
extern const char *const sharedPrefix;
/// Store key of a stage's configuration.
std::string configurationKey(const EnvironmentId &environment, Stage stage);
/// Store key of a domain's placement.
std::string placementKey(const DomainId &domain);
/// Store key prefix of an environment's node records.
std::string nodePrefix(const EnvironmentId &environment);
/// Store key prefix of the ledger of an environment and stage.
std::string ledgerPrefix(const EnvironmentId &environment, Stage stage);
/// Store key prefix of the audit records of an environment and stage.
std::string auditPrefix(const EnvironmentId &environment, Stage stage);

/// Whether the configuration of the node is recent enough to accept new requests. It is if the
/// evidence for it is recent, or if the platform does not answer a majority of the nodes, so that
/// no newer configuration can have been accepted through them.
bool isConfigurationCurrent(const NodeState &state, TimePoint now);

/// Whether the zone of this node is out of service.
bool isOwnZoneOut(const NodeState &state);

/// Returns the reason why the node accepts no new requests at all, or nothing if it does.
std::optional<Refuse> nodeRefusal(const NodeState &state, TimePoint now);

/// Returns the placement of a domain. It is empty and has revision 0 if none has been written yet.
const KnownPlacement &knownPlacement(const NodeState &state, const DomainId &domain);
/// Parses and stores a changed placement value.
void storePlacement(NodeState &state, const SharedValue &value);

} // namespace bramleypitch
