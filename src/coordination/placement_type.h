#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bramleypitch {

/// A group as recorded in the placement value. For a service, a group is a single backend server.
/// It has a home like any other group, but does not receive orders.
struct PlacedGroup
{
    GroupId id;
    EnvironmentId environment;
    std::string target; ///< Name of the model group or service.
    Generation generation; ///< Fencing token of the group's orders.
    std::vector<VmId> members; ///< The first one is the head, which receives the requests.
    NodeId home; ///< The only node that may send requests while the group is cold.
    Incarnation homeIncarnation;

    bool operator==(const PlacedGroup &) const = default;
};

/// A VM that has left a group. It must not join another group before it has confirmed that it is
/// free.
struct ReleasedVm
{
    VmId vm;
    Generation fence; ///< Fencing token of the release order; higher than in any earlier order.
    bool checksFencing = false; ///< The engine rejects orders with an outdated fencing token.

    bool operator==(const ReleasedVm &) const = default;
};

/// The placement value of a fabric domain: its groups of all environments. It is replaced as a
/// whole by a single compare-and-swap, so that a VM can never be placed in two groups.
struct DomainPlacement
{
    DomainId domain;
    std::uint64_t nextGeneration = 1; ///< Fencing token of the next group or release order.
    /// Identifies a write, so that a writer that missed the reply can find out whether the write
    /// was applied.
    Nonce nonce;
    std::vector<PlacedGroup> groups;
    std::vector<ReleasedVm> released;

    bool operator==(const DomainPlacement &) const = default;
};

} // namespace bramleypitch
