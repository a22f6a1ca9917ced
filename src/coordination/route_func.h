#pragma once

#include "coordination/node_state.h"

#include <optional>
#include <string>

namespace bramleypitch {

/// What a target can take from this node now.
struct TargetCapacity
{
    std::uint32_t openGroups = 0;
    std::uint32_t coldElsewhere = 0; ///< Open groups whose cold start is another node's.
    double slots = 0; ///< This node's share of the concurrency of the open groups.
};

/// Sums up a target's groups.
TargetCapacity targetCapacity(NodeState &state, const std::string &target, TimePoint now);

/// The group for a request, or none if no open group has room. Requests with the same affinity
/// meet the same group while its load stays within a factor of the mean: consistent hashing with
/// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018) over rendezvous order. Groups that
/// failed just now and stragglers come last.
std::optional<GroupIndex> chooseGroup(NodeState &state, const std::string &target,
                                      std::uint64_t affinity, TimePoint now);

/// Takes a finished attempt's speed into the group's smoothed milliseconds a token.
void noteSpeed(Group &group, Duration streamed, std::uint32_t tokens);

} // namespace bramleypitch
