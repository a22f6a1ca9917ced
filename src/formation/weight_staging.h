#pragma once

#include "formation/group_choice.h"

namespace bramleypitch {

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

} // namespace bramleypitch
