#pragma once

#include "coordination/placement_type.h"
#include "coordination/vm_type.h"

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

/// How an attempt on a group ended, as far as the server's load is concerned.
enum class AttemptEnd {
    Whole, ///< The server ended it.
    NotSent, ///< No byte of it left this node.
    GivenUp, ///< Frames of it had come; the server may run on a little longer.
    Unheard, ///< Sent, and nothing came back: it may still arrive at the server.
};

/// A group as a router sees it.
struct Group
{
    PlacedGroup placed;
    std::vector<VmIndex> vms; ///< The members; shorter than `placed` if one is not known.
    bool isService = false; ///< One plain backend server; confirms no generation.
    TargetLimits limits;
    std::uint32_t ownShare = 1; ///< Of the concurrency; the shares of all nodes make it up.
    std::uint32_t ownRunning = 0; ///< Requests this node has running on it.
    std::uint32_t ownAtProbe = 0; ///< ownRunning when the head's probe under way was sent.
    std::uint32_t lingering = 0; ///< Attempts given up here that may still run on the server.
    std::uint32_t lingeringAtProbe = 0; ///< `lingering` when the probe under way was sent.
    std::vector<TimePoint> lateUntil; ///< For each unheard attempt, until when it may arrive.
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
