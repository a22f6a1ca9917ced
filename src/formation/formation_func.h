#pragma once

#include "formation/formation_type.h"
#include "request/backend_base.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace bramleypitch {

/// Reads a plan as stored; throws Failure(PlatformProtocol) if it is not one.
FormationPlan parsePlan(std::string_view text);
/// A plan as stored, compact JSON.
std::string serializePlan(const FormationPlan &plan);

/// How much work there is for each model beside the groups that serve it, over all domains.
struct ModelDemand
{
    const ServedModel *model = nullptr;
    double work = 0; ///< Groups that it needs beside the other models; only the ratio counts.
    double groups = 0; ///< Formed or planned, of all domains.
    double busy = 1; ///< Slots that its requests need, as a share of those of its groups.
};

/// Groups that a model needs beside the other models, as published: its share is one of the time of
/// VMs, which a group takes `span` of at once.
double publishedWork(const ServedModel &model);

/// Group counts by model, in the order of the models.
using GroupCounts = std::vector<std::uint32_t>;

/// How many groups of each model each domain is to hold at the first start: the split that leaves
/// the fewest VMs without a group and, over all domains, comes nearest to the work of each model.
/// Every node computes the same from the same VMs.
std::map<DomainId, GroupCounts> firstSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                                           const EngineSpec &engine);

/// What the next change of groups in one domain depends on.
struct FormInput
{
    const EngineSpec *engine = nullptr;
    const BackendTable *backends = nullptr;
    std::vector<const Backend *> free; ///< VMs that stand in no planned group.
    std::uint32_t leaving = 0; ///< VMs of dissolving groups that will be free soon.
    GroupCounts wanted; ///< Of the first split, before traffic; else empty.
    std::vector<ModelDemand> demand; ///< In the order of the engine's models.
    bool mayConvert = false; ///< It is this domain's turn to give groups up for another model.
};

/// Adds to the plan the groups that are needed and that the free VMs allow, the model that is most
/// in need first. A few VMs beyond that stay spares. Groups are formed of VMs that hold the weights
/// alone, within two seconds: a group that waits for a load keeps all its other members idle. Where
/// too few hold them, groups of a model that is less in need dissolve, and what they free is
/// promised to the other. Answers crashes, VMs that come and go, and shifts of traffic between
/// models. False if nothing changes.
bool formGroups(FormationPlan &plan, const DomainId &domain, const FormInput &input);

/// What the choice of weights for a VM to fetch depends on.
struct StageInput
{
    const EngineSpec *engine = nullptr;
    std::vector<ModelDemand> demand; ///< In the order of the engine's models.
    /// VMs of the domain without a group that hold or fetch the weights, by model.
    std::vector<std::size_t> holders;
};

/// The model whose weights a VM is to fetch beside its work, or null. A VM that holds none fetches
/// those that complete a group soonest for its worth; one that holds some fetches what it lacks, so
/// that it can replace a member of any group at once, if that drops nothing that it still needs.
const ServedModel *modelToStage(const Backend &backend, const StageInput &input);

/// Whether the VM holds a model's weights.
bool holdsWeights(const Backend &backend, const ModelId &model);

} // namespace bramleypitch
