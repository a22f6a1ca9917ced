#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstddef>
#include <vector>

namespace bramleypitch {

/// A request that waits for a server.
struct WaitingRequest
{
    RequestId request;
    TimePoint since; ///< Arrival of the request.
    TimePoint latestStart; ///< Latest start that still meets the latency target.
    int priority = 0; ///< 0 is the most urgent.
    bool responseStarted = false; ///< A part of the response was already sent to the caller.
    TimePoint lastStart; ///< Latest start after which the caller still waits for the response.
    double work = 1; ///< Slot-seconds, or 1 each if the service has no published figures.
    RouteId route;
    OrganisationId organisation;
    bool mayBeGivenUp = true; ///< Nothing of it has run, so that it can be refused as not run.
    bool isExpectedLate = false; ///< By the last prediction it misses its latency target.

    bool isLate(TimePoint now) const { return now > latestStart; }
};

/// Index of the request to start next: first the requests with a partly sent response, then those
/// that can still meet their latency target, by priority and age, then the late ones by age. Under
/// overload, requests that can still meet their target are therefore started before late ones.
std::size_t nextToDispatch(const std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace bramleypitch
