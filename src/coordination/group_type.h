#pragma once

#include "coordination/placement_type.h"

#include <string>

namespace bramleypitch {

using GroupIndex = StrongType<struct GroupIndexTag, std::uint32_t>;

/// Limits of a target (model group or service) that its groups share.
struct TargetLimits
{
    std::uint32_t concurrency = 1;
    std::uint32_t coldAllowance = 1;
    std::uint32_t warmAfter = 0;
};

/// A group as a router sees it.
struct Group
{
    PlacedGroup placed;
    bool isService = false; ///< One plain backend server; confirms no generation.
    TargetLimits limits;
    std::uint32_t ownRunning = 0; ///< Requests this node has running on it.
    std::uint32_t ownAtProbe = 0; ///< ownRunning when the head's probe under way was sent.
    std::uint32_t othersRunning = 0; ///< Requests of other nodes, as of the head's last report.
    double tokenMillis = 0; ///< Smoothed milliseconds a token; 0 before the first.
    TimePoint avoidUntil; ///< After a failed attempt, others are tried first until then.
};

/// Why a group takes no new work, or that it does.
enum class GateState {
    Open,
    MemberMissing, ///< A member has not confirmed this generation within the freshness bound.
    MemberLeaving,
    ZoneOut,
};

/// "open", "member_missing", ...
const char *gateStateName(GateState state);

} // namespace bramleypitch
