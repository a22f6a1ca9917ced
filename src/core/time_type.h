#pragma once

#include "core/strong_type.h"

#include <chrono>

namespace bramleypitch {

using Duration = std::chrono::milliseconds;

/// Tag clock of the node's monotonic time. It has no now(): the present is always an argument.
struct NodeClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<NodeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = NodeClock::time_point;

/// Wall clock time in milliseconds since 1970, for records that outlive a process.
using WallTime = StrongType<struct WallTimeTag, std::int64_t>;

/// Builds a time point from milliseconds since the node's start of time.
inline TimePoint timePoint(std::int64_t milliseconds)
{
    return TimePoint(Duration(milliseconds));
}

/// Milliseconds since the node's start of time.
inline std::int64_t milliseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace bramleypitch
