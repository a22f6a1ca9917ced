#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

#include <map>
#include <set>

namespace bramleypitch {

/// Forms and dissolves groups in the fabric domains that this node owns, and sends orders to their
/// engines. The owner is selected by rendezvous hashing over the live nodes. Ownership only avoids
/// redundant work and is not needed for safety: if two nodes consider themselves the owner, one
/// fails its compare-and-swap, or fencing rejects its orders.
class PlacementSystem
{
public:
    explicit PlacementSystem(NodeState &state);

    /// Handles the result of a compare-and-swap. Returns false if another system started it.
    bool onSwapDone(const SwapDone &done, Actions &actions);
    /// Handles the result of an order. Returns false if it is not the pending order of its VM.
    /// Prefetches are not tracked and therefore never pending.
    bool onOrderDone(const OrderDone &done, TimePoint now);
    /// Stores the lease records read from the platform.
    void onNodesRead(const NodesRead &read);
    /// Updates the owned domains, plans their placement and sends the orders that are due.
    void tick(TimePoint now, Actions &actions);

    /// The domains that this node owned at the last tick.
    const std::set<DomainId> &owned() const { return m_ownedDomains; }

private:
    /// Planning state of a domain that this node owns.
    struct OwnedDomain
    {
        TimePoint ownedSince; ///< When this node became the owner.
        bool isSwapPending = false; ///< A compare-and-swap is in progress.
        OperationId operation; ///< The compare-and-swap in progress.
        TimePoint swapSentAt; ///< When it was sent.
        DomainPlacement pendingPlacement; ///< The value it writes.
        /// Earliest time of the next prefetch. Spares prefetch one at a time because the weight
        /// store is rate-limited.
        TimePoint prefetchAfter;
        /// Revision of this node's last write. Planning is suspended until that value is read back.
        Revision awaitedRevision;
        std::map<ReleaseKey, TimePoint> releaseConfirmedAt; ///< When released VMs confirmed.
    };
    /// The last order sent to a VM, kept until the engine confirms it.
    struct PendingOrder
    {
        OperationId operation;
        TimePoint sentAt;
        OrderKind kind = OrderKind::Load;
        Generation generation;
        DomainId domain;
    };

    /// Recomputes the owned domains if the members or the configuration have changed.
    void updateOwnedDomains(TimePoint now);
    /// Discards confirmations of releases that the placement value no longer contains.
    static void pruneReleaseConfirmations(const DomainPlacement &placement, OwnedDomain &owned);
    /// Requests the lease records from the platform if the read interval has elapsed.
    void readNodes(TimePoint now, Actions &actions);
    PlanInput planInput(const DomainId &domain, const OwnedDomain &owned) const;
    /// Orders the next spare VM of a domain to fetch weights.
    void prefetch(const DomainId &domain, OwnedDomain &owned, TimePoint now, Actions &actions);
    /// Computes the next placement value of a domain and starts to write it.
    void plan(const DomainId &domain, OwnedDomain &owned, TimePoint now, Actions &actions);
    /// Sends the orders that the VMs of a domain have not carried out yet.
    void sendPendingOrders(const DomainId &domain, OwnedDomain &owned, TimePoint now,
                           Actions &actions);
    /// Sends load orders to the members that do not report the group and generation yet.
    void sendLoadOrders(const DomainId &domain, const PlacedGroup &group, TimePoint now,
                        Actions &actions);
    /// Sends a release order to a VM that has not confirmed its release yet.
    void sendReleaseOrder(const DomainId &domain, OwnedDomain &owned, const ReleasedVm &released,
                          TimePoint now, Actions &actions);
    /// Sends an order unless the same one is still waiting for its reply.
    void sendOrder(const DomainId &domain, const Vm &vm, OrderKind kind, const PlacedGroup &group,
                   TimePoint now, Actions &actions);
    /// Logs and counts the groups formed and dissolved by a write.
    void logChanges(const DomainPlacement &before, const DomainPlacement &after, Actions &actions);
    /// Returns the number of members that do not hold the weights of the group's model.
    std::uint64_t countMembersWithoutWeights(const PlacedGroup &group) const;
    /// Whether any member has accepted the load order of the group.
    bool isLoading(const PlacedGroup &group) const;
    /// Whether all members are ready in this group and generation.
    bool isReady(const PlacedGroup &group) const;

    NodeState &m_state;
    std::map<DomainId, OwnedDomain> m_domains;
    std::set<DomainId> m_ownedDomains;
    /// Versions of the member view and the configuration for which the owned domains were computed.
    std::optional<std::pair<std::uint64_t, Revision>> m_ownedVersions;
    std::map<VmId, PendingOrder> m_orders;
    OperationId m_nodesOperation;
    TimePoint m_nodesRequestedAt; ///< When the lease records were last requested.
    bool m_nodesRequested = false; ///< Whether they have ever been requested.
};

} // namespace bramleypitch
