#include "request/server_priority.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// The levels that servers know are 0 to 9. The first one is left to requests that go ahead.
constexpr int firstLevel = 1;
constexpr int lastLevel = 9;
constexpr int minDistanceToGoAhead = 2; ///< Between the levels of two priorities.

} // namespace

ServicePriorities servicePriorities(const ServingConfiguration &configuration)
{
    ServicePriorities priorities;
    for (const RouteSpec &route : configuration.routes) {
        for (const WeightedService &service : route.services) {
            std::vector<int> &ofService = priorities[service.service];
            ofService.push_back(route.priority);
            if (route.keyless)
                continue;
            for (const ServedOrganisation &organisation : configuration.organisations) {
                if (organisation.priority)
                    ofService.push_back(*organisation.priority);
            }
        }
    }
    for (auto &[service, ofService] : priorities) {
        std::sort(ofService.begin(), ofService.end());
        ofService.erase(std::unique(ofService.begin(), ofService.end()), ofService.end());
    }
    return priorities;
}

bool haveRoutePriorities(const ServingConfiguration &configuration)
{
    std::map<ServiceId, int> first;
    for (const RouteSpec &route : configuration.routes) {
        for (const WeightedService &service : route.services) {
            if (configuration.engineOf(service.service)
                && first.try_emplace(service.service, route.priority).first->second
                    != route.priority)
                return true;
        }
    }
    return false;
}

std::optional<int> serverPriority(const std::vector<int> &priorities, int priority, bool goesAhead)
{
    if (priorities.size() < 2)
        return std::nullopt;
    const int last = static_cast<int>(priorities.size()) - 1;
    const auto found = std::lower_bound(priorities.begin(), priorities.end(), priority);
    const int rank = std::min(static_cast<int>(found - priorities.begin()), last);
    const int level = firstLevel + rank * (lastLevel - firstLevel) / last;
    const bool hasRoom = (lastLevel - firstLevel) / last >= minDistanceToGoAhead;
    return goesAhead && hasRoom ? level - 1 : level;
}

} // namespace bramleypitch
