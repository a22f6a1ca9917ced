#include "formation/weight_staging.h"

#include <algorithm>

namespace bramleypitch {

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
    if (extraModels >= input.engine->maxKeptModels)
        return nullptr;
    const ServedModel *best = nullptr;
    double highest = 0;
    for (std::size_t i = 0; i < input.demand.size(); ++i) {
        const ModelDemand &demand = input.demand[i];
        if (holds(demand))
            continue;
        double benefit = urgency(demand);
        if (holdsNone) {
            const std::size_t span = std::max<std::size_t>(demand.model->span, 1);
            const std::size_t missing = span - input.holders[i] % span;
            benefit /= static_cast<double>(missing);
        }
        if (!best || benefit > highest) {
            best = demand.model;
            highest = benefit;
        }
    }
    return best;
}

} // namespace bramleypitch
