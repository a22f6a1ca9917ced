#pragma once

#include "request/serving_type.h"

namespace bramleypitch {

/// The different priorities that requests of each service can have, most urgent first: those of its
/// routes, and those of organisations, which override them.
using ServicePriorities = std::map<ServiceId, std::vector<int>>;
ServicePriorities servicePriorities(const ServingConfiguration &configuration);

/// Whether the routes to a service with engines have different priorities. Only then do callers
/// expect that some requests wait for others.
bool haveRoutePriorities(const ServingConfiguration &configuration);

/// The priority that a server is told for a request, 0 to 9, 0 first. Nothing if all requests of
/// its service have the same one. A request that goes ahead precedes others of its own priority,
/// but none that is more urgent.
std::optional<int> serverPriority(const std::vector<int> &priorities, int priority, bool goesAhead);

} // namespace bramleypitch
