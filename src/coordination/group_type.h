#pragma once

#include "coordination/placement_type.h"
#include "coordination/vm_type.h"

#include <string>

namespace bramleypitch {

using GroupIndex = StrongType<struct GroupIndexTag, std::uint32_t>;

/// Limits of a target, i.e. a model group or a service. They apply to each of its groups.
struct TargetLimits
{
    std::uint32_t concurrency = 1; ///< Maximum concurrent requests of a warm group.
    std::uint32_t coldAllowance = 1; ///< Maximum concurrent requests of a cold group.
    std::uint32_t warmAfter = 0; ///< Completions since boot after which a member counts as warm.
};

/// How an attempt on a group ended. It determines whether the attempt may still add to the load of
/// the server.
enum class AttemptOutcome {
    Completed, ///< The server has finished the request.
    NotSent, ///< No byte of the request was sent.
    Abandoned, ///< Abandoned after the first response frames; the server may still be running it.
    NoResponse, ///< Sent without any response; the request may still arrive at the server.
};

/// A group with the state that a node needs for routing requests to it.
struct Group
{
    PlacedGroup placed;
    std::vector<VmIndex> vms; ///< The known members; may be fewer than in `placed`.
    bool isService = false; ///< A single backend server of a service, without generation.
    TargetLimits limits;
    std::uint32_t ownShare = 1; ///< Part of the concurrency; those of all nodes add up to it.
    std::uint32_t ownRunning = 0; ///< Requests of this node that are running.
    std::uint32_t ownRunningAtProbe = 0; ///< ownRunning when the last probe of the head was sent.
    std::uint32_t abandoned = 0; ///< Abandoned attempts that the server may still be running.
    std::uint32_t abandonedAtProbe = 0; ///< `abandoned` when the last probe was sent.
    /// For each attempt without response, the time until which it may still arrive at the server.
    std::vector<TimePoint> mayArriveUntil;
    std::uint32_t othersRunning = 0; ///< Requests of other nodes in the last report of the head.
    double tokenMillis = 0; ///< Smoothed time per token in ms; 0 if not yet measured.
    TimePoint avoidUntil; ///< After a failed attempt, other groups are preferred until then.
};

/// Whether a group accepts new work, or else the reason why it does not.
enum class GateState {
    Open,
    MemberMissing, ///< A member has not confirmed this generation recently enough.
    MemberLeaving, ///< The platform is about to withdraw the VM of a member.
    ZoneOut, ///< A member is in an availability zone that is out of service.
};

/// Returns the name of a state for logs and metrics, e.g. "member_missing".
const char *gateStateName(GateState state);

} // namespace bramleypitch
