#pragma once

#include "core/strong_type.h"
#include "request/serving_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bramleypitch {

/// Number of groups of each model, in the order of the models.
using GroupCounts = std::vector<std::uint32_t>;

/// Number of groups of each model in each domain at the first start, for domains of any sizes. In
/// order of precedence: the models that have a group account for the highest published share, the
/// groups match the published share of VM time of each model over all domains, and few VMs remain
/// without a group. The result is deterministic, so that all nodes that know the same VMs agree on
/// it. The counts of each domain fit into that domain, whatever the other domains do.
std::map<DomainId, GroupCounts> initialSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                                             const EngineSpec &engine);

} // namespace bramleypitch
