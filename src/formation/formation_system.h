#pragma once

#include "formation/demand_estimate.h"
#include "formation/weight_staging.h"

#include <map>
#include <optional>
#include <set>

namespace bramleypitch {

/// Timeouts and intervals of group formation.
struct FormationOptions
{
    NodeId node;
    Duration interval {100}; ///< Between two passes over the domains that this node owns.
    /// Waiting time after the start, until the other nodes are known. Before the first request,
    /// also the waiting time after the last new server.
    Duration settleTime {700};
    Duration orderTimeout {1'500}; ///< Before an order without visible effect is sent again.
    Duration refusedRetryDelay {250}; ///< Before a refused order is sent again.
    Duration writeTimeout {3'000}; ///< Before the write of a plan is considered lost.
    /// Before a plan that could not be written is planned again, unless a newer one was read. The
    /// delay doubles with each failure.
    Duration minWriteRetryDelay {200};
    Duration maxWriteRetryDelay {2'000};
    Duration probeInterval {200}; ///< Between probes of the members of a suspected group.
    /// A member is lost after this many consecutive unanswered probes. A sound server may be silent
    /// for a second or so, and the order to leave that follows ends its streams.
    std::uint32_t maxUnansweredProbes = 5;
    Duration answerValidTime {1'500}; ///< Before a member that answered is probed again.
    Duration lostMemberTimeout {6'000}; ///< How long a member that answers no probe is not used.
    /// Groups are formed once the number of free VMs of a domain has been stable for this time.
    Duration freeVmSettleTime {200};
    /// After the store has come back from an older copy, the servers write their entries again
    /// within this time. Until then the copy may show a member of a group as free.
    Duration restoreTime {3'000};
    Duration conversionTurnTime {300}; ///< Duration of the turn of a domain to convert groups.
    /// Groups are converted only if the copy of the store was proven to be current within this
    /// time.
    Duration maxConversionViewAge {2'000};
    /// After a conversion that was not written, until the next one if no other node has converted
    /// groups meanwhile.
    Duration conversionRetryDelay {1'000};
    /// Time constant of the smoothed demand. Short peaks must not cause conversions.
    Duration demandSmoothing {2'000};
    /// Whether conversions follow lasting demand toward a wanted split, and not demand alone.
    bool followsDemand = false;
    DemandEstimateOptions estimate;
    Duration targetInterval {1'000}; ///< Between two computations of the wanted split.
};

/// Groups of a model over all domains.
struct ModelSplit
{
    ModelId model;
    std::uint32_t present = 0; ///< Formed and planned.
    std::uint32_t wanted = 0;
};

/// Forms groups of VMs in the fabric domains that this node owns, opens them once all members are
/// ready, and dissolves groups that lost a member. Owners are determined by rendezvous hashing over
/// the live nodes. Ownership only avoids duplicate work: plans are changed by compare-and-swap, and
/// orders carry fencing tokens.
class FormationSystem
{
public:
    FormationSystem(FormationOptions options, BackendTable &backends, TimePoint startedAt);

    void setConfiguration(ServingConfigurationPtr configuration);
    /// Sets the live nodes, including this one.
    void setNodes(std::vector<NodeId> nodes) { m_nodes = std::move(nodes); }
    /// Sets the zones that take no new requests. Groups there do not count as capacity.
    void setZonesOut(std::set<ZoneId> zones) { m_zonesOut = std::move(zones); }
    /// Whether the system starts for the first time. Until the first request, loads are fast and
    /// not rate-limited.
    void setFirstStart(bool firstStart) { m_beforeTraffic = firstStart; }
    /// A request has arrived at this or another node.
    void onTrafficStarted() { m_beforeTraffic = false; }
    /// Updates the slots needed by the running and waiting requests of all nodes, by model.
    void setDemand(const std::map<ModelId, double> &slots, TimePoint now);
    /// The store has come back from an older copy, or its era is first known. Plans of an earlier
    /// era are written again, with a generation above all that may have been used, and no VM gets
    /// an order of theirs before that.
    void setEra(StoreEra era);
    /// Sets the revision up to which this node has read the store, and when that was last proven to
    /// be the newest one.
    void setStoreView(Revision held, TimePoint provenAt);
    /// The store holds the conversion record with this number at this revision.
    void onConversionRead(std::uint64_t number, Revision revision);
    /// The conversion record was deleted from the store. The next conversion writes it again.
    void onConversionDeleted();
    /// Handles a plan that was read from the store. `revision` is 0 if there is none.
    void onPlanRead(const DomainId &domain, const FormationPlan &plan, Revision revision);
    /// The stored plan cannot be read. The last one that was read stays in force, and the owner of
    /// the domain writes it again.
    void onPlanUnreadable(const DomainId &domain, Revision revision);
    /// Handles the result of WritePlan. `revision` is 0 unless the plan was written.
    void onPlanWritten(const DomainId &domain, const FormationPlan &plan, Revision revision);
    void onOrderDone(const GroupOrderDone &done, TimePoint now, FormationActions &actions);
    void onMemberProbed(const MemberProbed &probed, TimePoint now);
    /// Whether tick() has work to do. Callers need to update its inputs only then.
    bool isDue(TimePoint now) const;
    void tick(TimePoint now, FormationActions &actions);

    /// Number of domains owned by this node at the last tick.
    std::size_t owned() const { return m_ownedCount; }
    /// The present and the wanted split. Empty while there is no wanted one.
    std::vector<ModelSplit> split() const;

private:
    struct Domain
    {
        FormationPlan plan;
        Revision revision;
        bool mustRewrite = false; ///< The stored plan cannot be read.
        StoreEra era; ///< To which `revision` belongs.
        TimePoint
            restoreAt; ///< When a plan of an earlier era is written again; epoch if it is not.
        bool writing = false;
        bool isConverting = false; ///< The plan that is being written converts groups.
        TimePoint writeAt;
        Duration writeRetryDelay {0}; ///< After the last write, which failed; 0 otherwise.
        TimePoint ownedSince; ///< Epoch while another node owns the domain.
        std::size_t freeCount = 0; ///< VMs without a group at the last pass.
        TimePoint freeChangedAt;
        double loadTokens = 0; ///< Token bucket for starts of loads from the weight store.
        TimePoint tokensAt;
    };
    /// The last order sent to a VM.
    struct SentOrder
    {
        GroupOrderKind kind = GroupOrderKind::Join;
        GroupId group;
        TimePoint retryAt;
        bool accepted = false;
    };

    /// A prefetch of weights that a VM was ordered to do.
    struct Staging
    {
        ModelId model;
        TimePoint until; ///< The order is considered lost after this time.
    };

    /// State of the probes of a member of a suspected group.
    struct ProbeState
    {
        std::uint32_t unanswered = 0; ///< Consecutive unanswered probes.
        TimePoint lastAnswerAt;
        bool probing = false;
        TimePoint lastProbeAt;
        TimePoint lostUntil; ///< It counts as lost until then, or until it answers a probe.
    };

    const ServedService *engineService() const;
    bool owns(const DomainId &domain) const;
    /// The plan of a domain was not written, as far as is known.
    void onWriteFailed(Domain &domain) const;
    /// Updates the plan of a domain and requests to write it if it changed.
    void plan(const DomainId &id, Domain &domain, TimePoint now, FormationActions &actions);
    /// Marks groups as dissolving that lost a member. Returns whether the plan changed.
    bool dissolveBrokenGroups(FormationPlan &plan, TimePoint now, FormationActions &actions) const;
    /// Probes all members of an open group if its head is suspected, otherwise those that are not
    /// listed.
    void probeSuspectedMembers(const Domain &domain, TimePoint now, FormationActions &actions);
    bool isLost(const VmId &vm, TimePoint now) const;
    /// Removes groups that all members have left from the plan. Returns whether the plan changed.
    bool removeDissolvedGroups(const Domain &domain, FormationPlan &next, TimePoint now,
                               FormationActions &actions) const;
    /// Adds and converts groups. Returns whether the plan changed.
    /// `mayDissolve` tells whether groups may be converted. `dissolved` receives those that are.
    bool addGroups(const DomainId &id, FormationPlan &next, bool mayDissolve,
                   std::vector<GroupId> &dissolved, TimePoint now, FormationActions &actions);
    /// The VMs of a domain that can join a group. Orders VMs in unplanned groups to leave them.
    std::vector<const Backend *> findFreeVms(const DomainId &id, const FormationPlan &plan,
                                             TimePoint now, FormationActions &actions);
    std::vector<ModelDemand> demand() const;
    /// The slots of the open groups of each model, at least those of one group.
    std::map<ModelId, double> openSlots() const;
    /// Computes the wanted split if it is due. Logs it if it has changed.
    void updateTarget(TimePoint now, FormationActions &actions);
    /// Sends the orders that form and open a group.
    void sendFormingOrders(Domain &domain, const PlannedGroup &group, TimePoint now,
                           FormationActions &actions);
    /// Sends the orders that dissolve a group.
    void sendDissolvingOrders(const PlannedGroup &group, Generation fence, TimePoint now,
                              FormationActions &actions);
    /// Sends an order unless the same one was sent to the VM recently.
    void sendOrder(const Backend &backend, GroupOrderKind kind, const GroupId &group,
                   Generation generation, const ModelId &model, const std::vector<VmId> &members,
                   Generation fence, TimePoint now, FormationActions &actions);
    /// Whether a group is in a zone that takes no new requests.
    bool isZoneOut(const PlannedGroup &group) const;
    /// Whether the head of a group takes requests.
    bool isOpen(const PlannedGroup &group) const;
    /// Whether a VM no longer belongs to a group, according to its entry or its response to an
    /// order.
    bool hasLeft(const PlannedMember &member, const PlannedGroup &group, TimePoint now) const;
    /// Brings a plan from an older copy of the store in line with the groups that the VMs are in:
    /// whole groups that it lacks are added, and all others are dissolved.
    void adoptClaimedGroups(const DomainId &id, FormationPlan &plan) const;
    /// Whether the plan of a domain was written in an earlier era of the store.
    bool needsRestore(const Domain &domain) const;
    /// Applies a newer plan. The groups that it dissolves get no new requests from now on.
    void applyPlan(const DomainId &id, const FormationPlan &plan, Revision revision);
    /// The groups of a domain in the first split of all VMs that are known now.
    GroupCounts initialCounts(const DomainId &id);
    /// Whether a plan has at least the given numbers of groups.
    bool hasAllGroups(const FormationPlan &plan, const GroupCounts &counts) const;
    /// Whether a VM may be used for groups according to its entry.
    bool isUsable(const Backend &backend) const;
    /// Whether this node knows all conversions of the fleet and has none in progress.
    bool knowsConversions(TimePoint now) const;
    /// Whether a domain may convert groups at this time.
    bool hasConversionTurn(const DomainId &id, TimePoint now) const;
    /// Orders VMs to prefetch weights, within the limits of the weight store.
    void stageWeights(const DomainId &id, Domain &domain, TimePoint now, FormationActions &actions);
    /// Number of prefetches in progress in a domain. Removes those that are done or overdue.
    std::uint32_t countStaging(const DomainId &id, TimePoint now);
    StagingInput stagingInput(const DomainId &id) const;
    /// The model without groups for which this domain is to provide the VMs, if any.
    UnservedModel unservedModelOf(const DomainId &id, std::vector<ModelDemand> demand) const;
    /// Number of VMs in state Joining, not counting members of the group `except`.
    std::uint32_t countJoining(const GroupId &except) const;
    /// Whether a member of the group may start to load its weights. Takes a load token if so.
    bool takeLoadToken(Domain &domain, const PlannedGroup &group);
    void refillLoadTokens(Domain &domain, TimePoint now);

    FormationOptions m_options;
    BackendTable &m_backends;
    TimePoint m_startedAt;
    ServingConfigurationPtr m_configuration;
    std::vector<NodeId> m_nodes;
    std::set<ZoneId> m_zonesOut;
    std::map<ModelId, double> m_demand; ///< Slots needed by model, smoothed.
    TimePoint m_demandAt;
    DemandEstimate m_estimate;
    bool m_isEstimated = false; ///< Enough was measured, and there are two or more models.
    GroupCounts m_target; ///< The wanted split, in the order of the models. Empty if there is none.
    std::vector<double> m_targetWork; ///< For which it was computed.
    std::map<DomainId, std::uint32_t> m_targetSizes;
    TimePoint m_targetAt;
    bool m_beforeTraffic = false;
    std::map<DomainId, GroupCounts> m_split; ///< The first split of the VMs in m_splitSizes.
    std::map<DomainId, std::uint32_t> m_splitSizes;
    ServingConfigurationPtr m_splitConfiguration;
    StoreEra m_era; ///< Of the store. 0 if it is not known or the store has no eras.
    Revision m_storeHeld; ///< Up to which the store was read.
    TimePoint m_storeProvenAt;
    Revision m_conversionRevision; ///< Of the conversion record. 0 if there is none.
    std::uint64_t m_conversionNumber = 0;
    TimePoint m_conversionRetryAt; ///< After a conversion that was not written.
    std::map<DomainId, Domain> m_domains;
    std::map<VmId, SentOrder> m_orders;
    std::map<VmId, Staging> m_staging;
    std::map<VmId, ProbeState> m_probeStates;
    TimePoint m_tickedAt;
    std::size_t m_maxServerCount = 0; ///< Highest number of servers known since the start.
    TimePoint m_newServerAt; ///< When that number last increased.
    std::size_t m_ownedCount = 0;
};

} // namespace bramleypitch
