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

/// What forming new groups in one domain depends on.
struct FormInput
{
    const EngineSpec *engine = nullptr;
    std::vector<const Backend *> free; ///< VMs that stand in no planned group.
    GroupCounts wanted; ///< Of the first split.
    std::vector<ModelDemand> demand; ///< In the order of the engine's models.
    bool beforeTraffic = false; ///< Loads are cheap; otherwise VMs with the weights go first.
};

/// Adds to the plan the groups that the free VMs allow. False if there is nothing to add.
bool formGroups(FormationPlan &plan, const DomainId &domain, const FormInput &input);

/// Whether the VM holds a model's weights.
bool holdsWeights(const Backend &backend, const ModelId &model);

} // namespace bramleypitch
