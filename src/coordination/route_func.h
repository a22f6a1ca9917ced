#pragma once

#include "coordination/node_state.h"

#include <optional>
#include <string>

namespace bramleypitch {

/// Capacity of a target for requests of this node. The serve gate is the admission check of a
/// group, see gateState(). The home of a group is the only node that may send requests to it while
/// it is in cold start.
struct TargetCapacity
{
    std::uint32_t openGroups = 0; ///< Number of groups whose serve gate is open.
    std::uint32_t coldOnOtherNodes = 0; ///< Open groups in cold start whose home is another node.
    double slots = 0; ///< This node's share of the concurrency of the open groups.
};

/// Adds up the capacity of the groups of a target.
TargetCapacity targetCapacity(NodeState &state, const std::string &target, TimePoint now);

/// Returns the group for a request, or nothing if no open group has a free slot. Requests with the
/// same affinity go to the same group while its load stays within about 1.25 times the mean. This
/// is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), where
/// rendezvous hashing sets the order in which the groups are tried. Groups with a recent failure
/// and stragglers come last.
std::optional<GroupIndex> chooseGroup(NodeState &state, const std::string &target,
                                      std::uint64_t affinity, TimePoint now);

/// Updates the group's moving average of milliseconds per token with a finished attempt.
void updateTokenTime(Group &group, Duration streamed, std::uint32_t tokens);

} // namespace bramleypitch
