#pragma once

#include "formation/group_choice.h"

namespace bramleypitch {

/// Numbers of groups of each model over all domains, in the order of the demand, that give all
/// models the same headroom relative to their lasting demand. With too little for all, all
/// lack the same share. Takes into account which groups the VMs of each domain allow.
GroupCounts targetSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                        const EngineSpec &engine, const std::vector<ModelDemand> &demand);

/// A conversion of groups between two models.
struct SplitChange
{
    const ModelDemand *donor = nullptr;
    const ModelDemand *receiver = nullptr;
    double given = 0; ///< Groups that are dissolved.
    double gained = 1; ///< Groups that are formed from their VMs and those that are free.
    std::uint32_t donorTarget = 0; ///< Groups in the wanted split.
    std::uint32_t receiverTarget = 0;
};

/// By how much a conversion lowers the utilization of the worse-off model, or 0 if it does not move
/// the groups toward the wanted split or is not worth what it costs. It is if the receiver is short
/// of headroom, the donor keeps its part of the wanted split and is not saturated by its own peaks
/// unless the receiver is worse off, and the model that is worse off afterwards has clearly more
/// headroom than the receiver has now. A conversion back would need the opposite, so that none
/// follows unless the lasting demand changes by more than that.
double targetGain(const SplitChange &change);

} // namespace bramleypitch
