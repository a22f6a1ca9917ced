#pragma once

#include "core/strong_type.h"

#include <chrono>

namespace bramleypitch {

using Duration = std::chrono::milliseconds;

/// Clock type of the node's monotonic time. It has no now(): functions take the current time as an
/// argument.
struct NodeClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<NodeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = NodeClock::time_point;

/// Wall clock time in milliseconds since 1970 (Unix epoch), for records that outlive the process.
using WallTime = StrongType<struct WallTimeTag, std::int64_t>;

/// Converts milliseconds since the epoch of NodeClock to a time point.
inline TimePoint timePoint(std::int64_t milliseconds)
{
    return TimePoint(Duration(milliseconds));
}

/// Converts a time point to milliseconds since the epoch of NodeClock.
inline std::int64_t milliseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace bramleypitch
