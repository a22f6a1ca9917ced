#pragma once

#include "formation/weight_staging.h"

#include <map>
#include <optional>
#include <set>

namespace bramleypitch {

/// Times of formation.
struct FormationOptions
{
    NodeId node;
    Duration interval {100}; ///< Between looks at the own domains.
    /// After the start, until the other nodes have been heard of; before traffic also after the
    /// last new server.
    Duration settle {700};
    Duration orderTimeout {1'500}; ///< Before an order whose effect does not show is sent again.
    Duration refusedPause {250}; ///< Before an order that was refused is sent again.
    Duration writeTimeout {3'000}; ///< Before a write of a plan counts as lost.
    Duration probeInterval {200}; ///< Between probes of the members of a suspected group.
    std::uint32_t probesUntilLost =
        2; ///< Unanswered in a row; a lost packet leaves one unanswered.
    Duration answerKeep {1'500}; ///< A member that answered is not probed again for so long.
    Duration lostFor {6'000}; ///< A member that answers no probe is left out for so long.
    Duration freeSettle {200}; ///< Without change of a domain's free VMs before they form groups.
    Duration conversionTurn {300}; ///< Domains take turns in giving groups up for other models.
    Duration demandSmoothing {2'000}; ///< Demand of a moment moves no group.
};

/// Forms groups of VMs in the fabric domains that this node owns, opens them once every member is
/// ready, and takes those apart that lost a member. Ownership is by rendezvous over the live nodes
/// and only for economy: plans change by compare-and-swap, orders carry fencing numbers.
class FormationSystem
{
public:
    FormationSystem(FormationOptions options, BackendTable &backends, TimePoint startedAt);

    void setConfiguration(ServingConfigurationPtr configuration);
    /// The live nodes, this one included.
    void setNodes(std::vector<NodeId> nodes) { m_nodes = std::move(nodes); }
    /// Zones that take no new work: groups there serve nobody.
    void setZonesOut(std::set<ZoneId> zones) { m_zonesOut = std::move(zones); }
    /// The system starts for the first time: until the first request loads are fast and not
    /// counted.
    void setFirstStart(bool firstStart) { m_beforeTraffic = firstStart; }
    /// A request has come, here or at another node.
    void trafficBegan() { m_beforeTraffic = false; }
    /// Slots that requests running or waiting for each model need, of all nodes.
    void setDemand(const std::map<ModelId, double> &slots, TimePoint now);
    /// A plan as read from the store; `revision` 0 means that there is none.
    void planRead(const DomainId &domain, const FormationPlan &plan, Revision revision);
    /// What became of WritePlan; `revision` is 0 unless it was written.
    void planWritten(const DomainId &domain, const FormationPlan &plan, Revision revision);
    void orderDone(const GroupOrderDone &done, TimePoint now, FormationActions &actions);
    void memberProbed(const MemberProbed &probed, TimePoint now);
    /// Whether tick() has something to do: callers gather its inputs only then.
    bool isDue(TimePoint now) const;
    void tick(TimePoint now, FormationActions &actions);

    /// Domains owned at the last tick.
    std::size_t owned() const { return m_ownedCount; }

private:
    struct Domain
    {
        FormationPlan plan;
        Revision revision;
        bool writing = false;
        TimePoint writeAt;
        TimePoint ownedSince; ///< Epoch while another node owns it.
        std::size_t freeCount = 0; ///< VMs without a group at the last look.
        TimePoint freeChangedAt;
        double loadTokens = 0; ///< Loads from the weight store that may begin now.
        TimePoint tokensAt;
    };
    struct SentOrder
    {
        GroupOrderKind kind = GroupOrderKind::Join;
        GroupId group;
        TimePoint retryAt;
        bool accepted = false;
    };

    /// Weights that a VM was told to fetch beside its work.
    struct Staging
    {
        ModelId model;
        TimePoint until; ///< Afterwards the order counts as lost.
    };

    /// What probes of a member of a suspected group have brought.
    struct Doubt
    {
        std::uint32_t unanswered = 0; ///< In a row.
        TimePoint answeredAt;
        bool probing = false;
        TimePoint probedAt;
        TimePoint lostUntil; ///< It counts as lost until then, or until its entry tells more.
    };

    const ServedService *engineService() const;
    bool owns(const DomainId &domain) const;
    void plan(const DomainId &id, Domain &domain, TimePoint now, FormationActions &actions);
    bool noteLosses(FormationPlan &plan, TimePoint now, FormationActions &actions) const;
    void probeSuspects(const Domain &domain, TimePoint now, FormationActions &actions);
    bool countsAsLost(const VmId &vm, TimePoint now) const;
    bool dropDissolved(const Domain &domain, FormationPlan &next, TimePoint now,
                       FormationActions &actions) const;
    bool addGroups(const DomainId &id, FormationPlan &next, TimePoint now,
                   FormationActions &actions);
    std::vector<const Backend *> freeVms(const DomainId &id, const FormationPlan &plan,
                                         TimePoint now, FormationActions &actions);
    std::vector<ModelDemand> demand() const;
    void orderGroup(Domain &domain, const PlannedGroup &group, TimePoint now,
                    FormationActions &actions);
    void orderDissolving(const PlannedGroup &group, Generation fence, TimePoint now,
                         FormationActions &actions);
    void sendOrder(const Backend &backend, GroupOrderKind kind, const GroupId &group,
                   Generation generation, const ModelId &model, const std::vector<VmId> &members,
                   Generation fence, TimePoint now, FormationActions &actions);
    /// Whether a group stands in a zone that takes no new work.
    bool isOut(const PlannedGroup &group) const;
    /// Whether a VM is known to belong to a group no more, by its entry or its answer.
    bool hasLeft(const PlannedMember &member, const PlannedGroup &group, TimePoint now) const;
    /// A newer plan is in force here: requests leave the groups that it takes apart.
    void takePlan(const DomainId &id, const FormationPlan &plan, Revision revision);
    bool hasTurn(const DomainId &id, TimePoint now) const;
    void stageWeights(const DomainId &id, Domain &domain, TimePoint now, FormationActions &actions);
    /// Stagings of a domain under way; those that are done or overdue are forgotten.
    std::uint32_t countStaging(const DomainId &id, TimePoint now);
    StageInput stageInput(const DomainId &id) const;
    /// VMs of other groups than `except` that are joining.
    std::uint32_t joining(const GroupId &except) const;
    bool mayLoad(Domain &domain, const PlannedGroup &group);
    void refillTokens(Domain &domain, TimePoint now);

    FormationOptions m_options;
    BackendTable &m_backends;
    TimePoint m_startedAt;
    ServingConfigurationPtr m_configuration;
    std::vector<NodeId> m_nodes;
    std::set<ZoneId> m_zonesOut;
    std::map<ModelId, double> m_demand; ///< Slots needed, smoothed.
    TimePoint m_demandAt;
    bool m_beforeTraffic = false;
    std::map<DomainId, Domain> m_domains;
    std::map<VmId, SentOrder> m_orders;
    std::map<VmId, Staging> m_staging;
    std::map<VmId, Doubt> m_doubts;
    TimePoint m_tickedAt;
    std::size_t m_mostServers = 0; ///< Known at once since the start.
    TimePoint m_newServerAt;
    std::size_t m_ownedCount = 0;
};

} // namespace bramleypitch
