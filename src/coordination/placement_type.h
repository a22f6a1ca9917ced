#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// A formed group as the placement value records it. For a plain service, a "group" is one
/// backend server: it has a home like any other, but takes no orders.
struct PlacedGroup
{
    GroupId id;
    EnvironmentId environment;
    std::string target; ///< Name of the model group or service it serves.
    Generation generation; ///< Fencing number of its orders.
    std::vector<VmId> members; ///< The first takes the requests.
    NodeId home; ///< The one node that may send while the group is cold.
    Incarnation homeIncarnation;

    bool operator==(const PlacedGroup &) const = default;
};

/// A VM that left a group and may not join another before it confirmed that it is free.
struct ReleasedVm
{
    VmId vm;
    Generation fence; ///< Number of the release order; above every older order's.
    bool checksFencing = false;

    bool operator==(const ReleasedVm &) const = default;
};

/// All groups of one fabric domain, of every environment. It changes as a whole by one
/// compare-and-swap, so a VM cannot be written into two groups.
struct DomainPlacement
{
    DomainId domain;
    std::uint64_t nextGeneration = 1;
    Nonce nonce;
    std::vector<PlacedGroup> groups;
    std::vector<ReleasedVm> released;

    bool operator==(const DomainPlacement &) const = default;
};

} // namespace bramleypitch
