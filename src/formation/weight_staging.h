#pragma once

#include "formation/group_choice.h"

#include <set>

namespace bramleypitch {

/// A model without any group, and the VMs of a domain that are to hold its weights.
struct UnservedModel
{
    const ServedModel *model = nullptr; ///< Null if there is none.
    std::set<VmId> holders; ///< VMs without a group, and those of groups that can be spared.
};

/// Input for the choice of the weights that a VM prefetches.
struct StagingInput
{
    const EngineSpec *engine = nullptr;
    std::vector<ModelDemand> demand; ///< In the order of the models of the engine.
    /// Number of VMs of the domain without a group that hold or prefetch the weights, by model.
    std::vector<std::size_t> holders;
    std::size_t freeVms = 0; ///< VMs of the domain without a group.
    UnservedModel unserved;
};

/// The model whose weights a VM prefetches in the background, or null. A VM without weights gets
/// the model with the highest urgency per VM that is missing for a complete group. A VM with
/// weights gets the most urgent model that it lacks, so that it can immediately replace a member of
/// any group, unless it already keeps as many models as it has space for. A model without any group
/// comes first and replaces other prefetched weights. So does, on VMs without a group, a model that
/// they could form a group of, if the weights that they hold allow no group.
const ServedModel *chooseModelToStage(const Backend &backend, const StagingInput &input);

} // namespace bramleypitch
