#include "formation/weight_staging.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Free VMs that hold the weights of a model, as counted towards complete groups.
std::size_t missingHolders(const StagingInput &input, std::size_t model)
{
    const std::size_t span = std::max<std::size_t>(input.demand[model].model->span, 1);
    return span - input.holders[model] % span;
}

/// Whether the free VMs are enough for a group of some model, but hold the weights for none.
bool areFreeVmsStuck(const StagingInput &input)
{
    bool isEnough = false;
    for (std::size_t i = 0; i < input.demand.size(); ++i) {
        const std::size_t span = std::max<std::size_t>(input.demand[i].model->span, 1);
        if (input.holders[i] >= span)
            return false;
        isEnough = isEnough || input.freeVms >= span;
    }
    return isEnough;
}

} // namespace

const ServedModel *chooseModelToStage(const Backend &backend, const StagingInput &input)
{
    const auto holds = [&](const ModelDemand &demand) {
        return holdsWeights(backend, demand.model->name);
    };
    const ServedModel *unserved = input.unserved.model;
    if (unserved && input.unserved.holders.count(backend.report.id)
        && !holdsWeights(backend, unserved->name))
        return unserved;
    const bool holdsNone = std::none_of(input.demand.begin(), input.demand.end(), holds);
    const std::vector<ModelId> &staged = backend.report.staged;
    const auto extraModels = static_cast<std::size_t>(
        std::count_if(staged.begin(), staged.end(),
                      [&](const ModelId &name) { return name != backend.lastModel; }));
    const bool isFull = extraModels >= input.engine->maxKeptModels;
    const bool isFree = backend.report.group.state == MemberState::None;
    if (isFull && !(isFree && areFreeVmsStuck(input)))
        return nullptr;
    const ServedModel *best = nullptr;
    double highest = 0;
    for (std::size_t i = 0; i < input.demand.size(); ++i) {
        const ModelDemand &demand = input.demand[i];
        if (holds(demand) || (isFull && input.freeVms < demand.model->span))
            continue;
        double benefit = urgency(demand);
        if (holdsNone || isFull)
            benefit /= static_cast<double>(missingHolders(input, i));
        if (!best || benefit > highest) {
            best = demand.model;
            highest = benefit;
        }
    }
    return best;
}

} // namespace bramleypitch
