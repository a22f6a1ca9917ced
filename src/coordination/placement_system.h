#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

#include <map>
#include <set>

namespace bramleypitch {

/// Forms and dissolves groups in the fabric domains that this node owns, and orders their engines.
/// Ownership is by rendezvous over live nodes and is only for economy: a wrong owner loses a
/// compare-and-swap, or sends an order that fencing refuses.
class PlacementSystem
{
public:
    explicit PlacementSystem(NodeState &state);

    /// False if the operation is not this system's.
    bool swapDone(const SwapDone &done, Actions &actions);
    bool orderDone(const OrderDone &done, TimePoint now);
    void nodesRead(const NodesRead &read);
    void tick(TimePoint now, Actions &actions);

    /// The domains that this node owned at the last tick.
    const std::set<DomainId> &owned() const { return m_ownedDomains; }

private:
    struct OwnedDomain
    {
        TimePoint since;
        bool swapping = false;
        OperationId operation;
        TimePoint swapAt;
        DomainPlacement written; ///< The value under way.
        TimePoint prefetchAfter; ///< One spare after the other: the weight store is rate-limited.
        Revision awaited; ///< Revision of the own last write: planning waits until it is read.
        std::map<ReleaseKey, TimePoint> releasedAt;
    };
    struct OrderUnderWay
    {
        OperationId operation;
        TimePoint sentAt;
        OrderKind kind = OrderKind::Load;
        Generation generation;
        DomainId domain;
    };

    void updateOwned(TimePoint now);
    static void dropOldReleases(const DomainPlacement &placement, OwnedDomain &owned);
    void readNodes(TimePoint now, Actions &actions);
    PlanInput planInput(const DomainId &domain, const OwnedDomain &owned) const;
    void prefetch(const DomainId &domain, OwnedDomain &owned, TimePoint now, Actions &actions);
    void plan(const DomainId &domain, OwnedDomain &owned, TimePoint now, Actions &actions);
    void orderMembers(const DomainId &domain, OwnedDomain &owned, TimePoint now, Actions &actions);
    void orderGroup(const DomainId &domain, const PlacedGroup &group, TimePoint now,
                    Actions &actions);
    void orderRelease(const DomainId &domain, OwnedDomain &owned, const ReleasedVm &released,
                      TimePoint now, Actions &actions);
    void sendOrder(const DomainId &domain, const Vm &vm, OrderKind kind, const PlacedGroup &group,
                   TimePoint now, Actions &actions);
    void logChanges(const DomainPlacement &before, const DomainPlacement &after, Actions &actions);
    std::uint64_t missingWeights(const PlacedGroup &group) const;
    bool isLoading(const PlacedGroup &group) const;
    bool isComplete(const PlacedGroup &group) const;

    NodeState &m_state;
    std::map<DomainId, OwnedDomain> m_domains;
    std::set<DomainId> m_ownedDomains;
    std::optional<std::pair<std::uint64_t, Revision>> m_ownedFor; ///< View and configuration.
    std::map<VmId, OrderUnderWay> m_orders;
    OperationId m_nodesOperation;
    TimePoint m_nodesAskedAt;
    bool m_nodesAsked = false;
};

} // namespace bramleypitch
