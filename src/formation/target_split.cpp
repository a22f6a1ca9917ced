#include "formation/target_split.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Utilization by lasting demand below which a model is not short of headroom.
constexpr double shortUtilization = 0.75;
/// Utilization by its peaks that a model may reach by giving groups.
constexpr double maxPeakUtilization = 0.9;
/// By how much the utilization of the worse-off model must fall, relative to that of the receiver.
/// More than the variation of the estimate.
constexpr double minImprovement = 0.08;

double utilizationOf(double work, double groups)
{
    constexpr double minGroupCount = 0.1; // A model without groups is the worst off.
    return work / std::max(groups, minGroupCount);
}

} // namespace

GroupCounts targetSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                        const EngineSpec &engine, const std::vector<ModelDemand> &demand)
{
    EngineSpec measured = engine;
    for (std::size_t i = 0; i < demand.size(); ++i)
        measured.models[i].share = demand[i].lastingWork * std::max(demand[i].model->span, 1U);
    GroupCounts sum(demand.size(), 0);
    for (const auto &[domain, counts] : initialSplit(vmsByDomain, measured)) {
        for (std::size_t i = 0; i < counts.size(); ++i)
            sum[i] += counts[i];
    }
    return sum;
}

double targetGain(const SplitChange &change)
{
    const ModelDemand &donor = *change.donor;
    const ModelDemand &receiver = *change.receiver;
    const double before = utilizationOf(receiver.lastingWork, receiver.groups);
    const ModelDemand left = afterGiving(donor, change.given);
    const double maxPeak =
        std::max(maxPeakUtilization, utilizationOf(receiver.peakWork, receiver.groups));
    if (before < shortUtilization || receiver.groups >= change.receiverTarget
        || left.groups < std::max(change.donorTarget, 1U)
        || utilizationOf(donor.peakWork, left.groups) > maxPeak)
        return 0;
    const double after =
        std::max(utilizationOf(receiver.lastingWork, receiver.groups + change.gained),
                 utilizationOf(donor.lastingWork, left.groups));
    return after <= before * (1 - minImprovement) ? before - after : 0;
}

} // namespace bramleypitch
