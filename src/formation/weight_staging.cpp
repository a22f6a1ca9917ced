#include "formation/weight_staging.h"

#include <algorithm>

namespace bramleypitch {

const ServedModel *modelToStage(const Backend &backend, const StageInput &input)
{
    const auto held = [&](const ModelDemand &demand) {
        return holdsWeights(backend, demand.model->name);
    };
    const bool holdsNone = std::none_of(input.demand.begin(), input.demand.end(), held);
    const std::vector<ModelId> &staged = backend.report.staged;
    const auto beside = static_cast<std::size_t>(
        std::count_if(staged.begin(), staged.end(),
                      [&](const ModelId &name) { return name != backend.lastModel; }));
    if (beside >= input.engine->keptModels)
        return nullptr;
    const ServedModel *best = nullptr;
    double most = 0;
    for (std::size_t i = 0; i < input.demand.size(); ++i) {
        const ModelDemand &demand = input.demand[i];
        if (held(demand))
            continue;
        double worth = urgency(demand);
        if (holdsNone) {
            const std::size_t span = std::max<std::size_t>(demand.model->span, 1);
            const std::size_t lacking = span - input.holders[i] % span;
            worth /= static_cast<double>(lacking);
        }
        if (!best || worth > most) {
            best = demand.model;
            most = worth;
        }
    }
    return best;
}

} // namespace bramleypitch
