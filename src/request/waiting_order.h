#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <vector>

namespace bramleypitch {

/// A request that waits for a server.
struct WaitingRequest
{
    RequestId request;
    TimePoint since;
    TimePoint onTimeUntil; ///< Started later it misses its response-time goal.
    int priority = 0; ///< 0 is the most urgent.
    bool answering = false; ///< Its caller has a part of the answer already.
};

/// The index of the request to start next: answers under way first, then those that can still be on
/// time by priority and age, then the late ones by age. Answers overload: late requests
/// yield to those that still gain their full worth.
std::size_t nextToStart(const std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace bramleypitch
