#pragma once

#include "coordination/completion_system.h"
#include "coordination/event_type.h"
#include "coordination/ledger_owner.h"
#include "coordination/node_state.h"
#include "coordination/placement_system.h"
#include "coordination/probe_system.h"
#include "coordination/service_system.h"
#include "coordination/shared_system.h"

#include <set>
#include <vector>

namespace bramleypitch {

/// One address at which callers can reach the service.
struct EntryAddress
{
    Address address;
    ZoneId zone;
};

/// The decision logic of one node. It takes events and the current time and returns actions. It
/// does no I/O, reads no clock and is deterministic for given options, so that a log of events can
/// be replayed.
class Node
{
public:
    explicit Node(NodeOptions options);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Handles one event and returns the actions to carry out, in order.
    Actions handle(const Event &event, TimePoint now);

    /// Returns the entries that callers should use, in order of preference: those of zone `near`
    /// first, then the others. `spread` selects the order within both parts, to distribute the
    /// callers.
    std::vector<EntryAddress> entries(const ZoneId &near, std::uint64_t spread,
                                      TimePoint now) const;
    /// Returns the reply to a received heartbeat.
    Heartbeat heartbeatReply(TimePoint now) const { return m_shared.createHeartbeat(now); }
    /// Returns the shared values newer than revision `above`, to answer a pull.
    std::vector<SharedValue> sharedValuesSince(Revision above) const
    {
        return m_state.shared.since(above);
    }
    /// Whether the node accepts new requests now.
    bool isAccepting(TimePoint now) const { return !nodeRefusal(m_state, now); }

    /// State of the node, for reports. Only handle() may change it.
    const NodeState &state() const { return m_state; }
    NodeState &state() { return m_state; }
    /// Number of completions and service calls in progress, including unconfirmed ledger requests.
    std::size_t openRequests() const { return m_completions.open() + m_services.open(); }
    /// Number of completions without a final response.
    std::size_t openCompletions() const { return m_completions.open(); }
    const LedgerOwner &ledger() const { return m_ledger; }

private:
    /// Reply of the ledger owner of this node that has not been delivered yet.
    struct PendingLedgerReply
    {
        OperationId operation;
        LedgerReply reply;
    };

    void on(const Tick &tick, TimePoint now, Actions &actions);
    void on(const SharedRead &read, TimePoint now, Actions &actions);
    void on(const SharedWatchUpdated &watched, TimePoint now, Actions &actions);
    void on(const SharedPulled &pulled, TimePoint now, Actions &actions);
    void on(const NodesRead &read, TimePoint now, Actions &actions);
    void on(const KeyRead &read, TimePoint now, Actions &actions);
    void on(const SwapDone &done, TimePoint now, Actions &actions);
    void on(const LeaseRenewed &renewed, TimePoint now, Actions &actions);
    void on(const VmListRead &read, TimePoint now, Actions &actions);
    void on(const ProbeDone &done, TimePoint now, Actions &actions);
    void on(const OrderDone &done, TimePoint now, Actions &actions);
    void on(const HeartbeatReceived &received, TimePoint now, Actions &actions);
    void on(const LedgerRequested &asked, TimePoint now, Actions &actions);
    void on(const LedgerReplied &event, TimePoint now, Actions &actions);
    void on(const CompletionRequested &asked, TimePoint now, Actions &actions);
    void on(const ServiceRequested &asked, TimePoint now, Actions &actions);
    void on(const CallerDisconnected &gone, TimePoint now, Actions &actions);
    void on(const EngineToken &token, TimePoint now, Actions &actions);
    void on(const EngineEnd &end, TimePoint now, Actions &actions);
    void on(const AttemptFailed &failure, TimePoint now, Actions &actions);
    void on(const ServiceResponded &event, TimePoint now, Actions &actions);
    void on(const StopRequested &stop, TimePoint now, Actions &actions);

    /// Applies changed shared values: the configuration and the placements.
    void applyShared(const std::vector<std::string> &changed, TimePoint now, Actions &actions);
    /// Puts the configuration among the shared values into force.
    void applyConfiguration(Actions &actions);
    /// Rebuilds the group table from the placements of the routed domains.
    void updateGroups();
    /// Divides the groups' concurrency between the nodes again if the set of live nodes has
    /// changed.
    void updateGroupShares();
    /// Sends a ledger request to the owner of its segment, which may be this node. Each retry goes
    /// to the next node in rendezvous order.
    void sendLedgerRequest(OperationId operation, const LedgerRequest &request, std::uint32_t tries,
                           TimePoint now, Actions &actions);
    /// Delivers the replies of the ledger owner of this node to the requesters.
    void deliverLedgerReplies(TimePoint now, Actions &actions);
    /// Logs when this node's zone goes out of service or returns to service, and records since when
    /// it has been out of service.
    void updateZoneState(TimePoint now, Actions &actions);
    /// Completes a planned stop once no requests are open and entry lists have expired.
    void finishStop(TimePoint now, Actions &actions);

    NodeState m_state;
    SharedSystem m_shared;
    ProbeSystem m_probes;
    PlacementSystem m_placement;
    LedgerOwner m_ledger;
    ServiceSystem m_services;
    CompletionSystem m_completions;
    std::set<OperationId>
        m_localLedgerRequests; ///< Requests from this node to its own ledger owner.
    std::vector<PendingLedgerReply> m_pendingReplies; ///< Replies to deliver after the event.
    std::optional<std::uint64_t> m_shareViewVersion; ///< Member view version at the last division.
    TimePoint m_lastControlAt; ///< Time of the last round of probing and placement.
    TimePoint m_stopRequestedAt; ///< Time when the planned stop was requested.
    bool m_stopped = false;
};

} // namespace bramleypitch
