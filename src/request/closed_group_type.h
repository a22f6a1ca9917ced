#pragma once

#include "core/time_type.h"
#include "request/backend_type.h"

#include <cstddef>
#include <map>

namespace bramleypitch {

/// A group that its head has refused to serve, as known to a node.
struct ClosedGroup
{
    std::int64_t startedAt = 0; ///< The run of the head, as in BackendReport::startedAt.
    GroupId name;
    Generation generation;
    Duration age {0}; ///< Since the refusal.

    bool operator==(const ClosedGroup &) const = default;
};

/// Closed groups, by head.
using ClosedGroups = std::map<VmId, ClosedGroup>;

/// Bounds on the closed groups in messages.
struct ClosedGroupBounds
{
    static constexpr std::size_t reportedByNode = 16; ///< In one pulse.
    static constexpr std::size_t reportedByZone = 64; ///< In one digest.
};

} // namespace bramleypitch
