#include "request/lapsed_entry.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// A server that leaves takes requests for 2 s from the removal of its entry; the rest is the time
/// that a request needs to reach it.
constexpr Duration servingTime {1'600};
/// The same from when the removal is learned of, after an outage.
constexpr Duration servingTimeAfterOutage {1'400};
/// The 3 s after an outage, less the same transit time.
constexpr Duration outageMemory {2'600};

} // namespace

TimePoint lapsedServingEnd(const StoreContact &contact, TimePoint now)
{
    const TimePoint end = contact.provenAt + servingTime;
    const TimePoint endAfterOutage =
        std::min(now + servingTimeAfterOutage, contact.failedCallAt + outageMemory);
    return std::max(end, endAfterOutage);
}

} // namespace bramleypitch
