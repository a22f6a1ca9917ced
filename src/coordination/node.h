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

/// One entry of the answer to "which addresses are to be used".
struct EntryAddress
{
    Address address;
    ZoneId zone;
};

/// The decisions of one node: events and the present time in, actions out. It does no I/O, reads
/// no clock and is deterministic given its options, so that a log of events replays.
class Node
{
public:
    explicit Node(NodeOptions options);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Takes one event in and returns what is to be done, in order.
    Actions handle(const Event &event, TimePoint now);

    /// The entries that callers are to use, in order: those of `near` first, then the others,
    /// each spread by `spread`.
    std::vector<EntryAddress> entries(const ZoneId &near, std::uint64_t spread,
                                      TimePoint now) const;
    /// The heartbeat with which to reply to one received.
    Heartbeat heartbeatReply(TimePoint now) const { return m_shared.ownHeartbeat(now); }
    /// The shared values to answer a pull with.
    std::vector<SharedValue> sharedSince(Revision above) const
    {
        return m_state.shared.since(above);
    }
    /// Whether the node would take new work now.
    bool accepting(TimePoint now) const { return !refusalOfNode(m_state, now); }

    /// For reports; changing it is up to handle() alone.
    const NodeState &state() const { return m_state; }
    NodeState &state() { return m_state; }
    std::size_t openRequests() const { return m_completions.open() + m_services.open(); }
    std::size_t openCompletions() const { return m_completions.open(); }
    const LedgerOwner &ledger() const { return m_ledger; }

private:
    struct SettledLedger
    {
        OperationId operation;
        LedgerReply reply;
    };

    void on(const Tick &tick, TimePoint now, Actions &actions);
    void on(const SharedRead &read, TimePoint now, Actions &actions);
    void on(const SharedWatched &watched, TimePoint now, Actions &actions);
    void on(const SharedPulled &pulled, TimePoint now, Actions &actions);
    void on(const NodesRead &read, TimePoint now, Actions &actions);
    void on(const KeyRead &read, TimePoint now, Actions &actions);
    void on(const SwapDone &done, TimePoint now, Actions &actions);
    void on(const LeaseRenewed &renewed, TimePoint now, Actions &actions);
    void on(const VmListRead &read, TimePoint now, Actions &actions);
    void on(const ProbeDone &done, TimePoint now, Actions &actions);
    void on(const OrderDone &done, TimePoint now, Actions &actions);
    void on(const HeartbeatReceived &received, TimePoint now, Actions &actions);
    void on(const LedgerAsked &asked, TimePoint now, Actions &actions);
    void on(const LedgerAnswered &answered, TimePoint now, Actions &actions);
    void on(const CompletionAsked &asked, TimePoint now, Actions &actions);
    void on(const ServiceAsked &asked, TimePoint now, Actions &actions);
    void on(const CallerGone &gone, TimePoint now, Actions &actions);
    void on(const EngineToken &token, TimePoint now, Actions &actions);
    void on(const EngineEnd &end, TimePoint now, Actions &actions);
    void on(const AttemptBroken &broken, TimePoint now, Actions &actions);
    void on(const ServiceAnswered &answered, TimePoint now, Actions &actions);
    void on(const StopAsked &stop, TimePoint now, Actions &actions);

    void applyShared(const std::vector<std::string> &changed, TimePoint now, Actions &actions);
    void applyConfiguration(Actions &actions);
    void updateGroups();
    void shareGroups();
    void askLedger(OperationId operation, const LedgerRequest &request, std::uint32_t tries,
                   TimePoint now, Actions &actions);
    void deliverLedger(TimePoint now, Actions &actions);
    void noteZone(TimePoint now, Actions &actions);
    void finishStop(TimePoint now, Actions &actions);

    NodeState m_state;
    SharedSystem m_shared;
    ProbeSystem m_probes;
    PlacementSystem m_placement;
    LedgerOwner m_ledger;
    ServiceSystem m_services;
    CompletionSystem m_completions;
    std::set<OperationId> m_ownLedgerAsks; ///< Asked by this node of itself.
    std::vector<SettledLedger> m_settled; ///< Own replies, delivered after the event.
    std::optional<std::uint64_t> m_sharedFor; ///< View of the members that shares were made for.
    TimePoint m_controlledAt;
    TimePoint m_stopAskedAt;
    bool m_stopped = false;
};

} // namespace bramleypitch
