#pragma once

#include "formation/formation_func.h"
#include "formation/initial_split.h"

namespace bramleypitch {

/// Work and number of groups of a model, over all domains.
struct ModelDemand
{
    const ServedModel *model = nullptr;
    double work = 0; ///< Number of groups that its requests would fully utilize.
    double groups = 0; ///< Number of formed and planned groups.
    double openGroups = 0; ///< Those of them that take requests.
    /// The same as `work` for the highest recent demand, and for the highest that lasted. 0 until
    /// enough was measured.
    double peakWork = 0;
    double lastingWork = 0;
};

/// Number of groups of a model in a plan that are not being dissolved.
std::uint32_t countGroups(const FormationPlan &plan, const ModelId &model);

/// Utilization of the groups of a model. Above 1 they cannot keep up with the requests.
double utilization(const ModelDemand &demand);

/// Whether a model has work but no group in any domain, so that all its requests are refused.
bool isUnserved(const ModelDemand &demand);

/// The demand of a model that gives up groups. Only its open groups count as capacity: one that is
/// still being formed may never open.
ModelDemand afterGiving(ModelDemand demand, double groups);

/// Whether a model keeps an open group and is not saturated if one of its groups is dissolved.
bool canSpareGroup(const ModelDemand &demand);

/// Whether a model may give groups to `receiver`: it keeps an open group, and it does not become
/// saturated by that unless the receiver is worse off. One that is saturated already may give
/// groups: if there is too little for all, the queueing cost of all models decides.
bool mayGive(const ModelDemand &donor, double groups, const ModelDemand &receiver);

/// How urgently a model needs one more group. A model without groups has the highest urgency.
double urgency(const ModelDemand &demand);

/// Input for the next change of the groups of one domain.
struct FormationInput
{
    const EngineSpec *engine = nullptr;
    const BackendTable *backends = nullptr;
    std::vector<const Backend *> free; ///< VMs that are in no planned group.
    std::uint32_t leaving = 0; ///< VMs of dissolving groups, which will be free soon.
    GroupCounts initialCounts; ///< The first split, before the first request. Empty afterwards.
    std::vector<ModelDemand> demand; ///< In the order of the models of the engine.
    bool isZoneInService = true; ///< The zone of the domain takes new requests.
    /// Whether this domain may convert groups at this time. The domains take turns, so that few
    /// convert groups for the same demand. Repairs do not wait for the turn.
    bool mayConvert = false;
    /// The wanted split over all domains, in the order of the demand. Empty if there is none: then
    /// queueing costs alone decide.
    GroupCounts target;
    /// Whether demand is still too new for a wanted split: groups are converted only for a model
    /// that is saturated, from one with much headroom.
    bool isEstimating = false;
    /// Whether groups may be dissolved for other models at all. All conversions of the fleet are
    /// written one after the other, each with the knowledge of those before.
    bool mayDissolve = true;
};

/// Adds the groups that are needed to the plan, as far as the free VMs allow. A few VMs are kept as
/// spares. Groups are formed only of VMs that hold the weights, which takes less than two seconds:
/// a group that waits for a load keeps all its other members idle. If the VMs of some groups would
/// serve callers better in a group of another model, or move the groups toward the wanted split if
/// there is one, those groups are dissolved, and their VMs are reserved for the other model. A
/// model without any group gets one whenever others can spare theirs. This handles crashes, VMs
/// that are added and removed, and shifts of traffic between models. A change that dissolves groups
/// for another model makes no other change. Returns false if nothing changed.
bool formGroups(FormationPlan &plan, const DomainId &domain, const FormationInput &input);

} // namespace bramleypitch
