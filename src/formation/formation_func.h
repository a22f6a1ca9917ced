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

/// Whether the VM holds a model's weights.
bool holdsWeights(const Backend &backend, const ModelId &model);

} // namespace bramleypitch
