#pragma once

#include "core/time_type.h"
#include "request/backend_type.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bramleypitch {

/// What the head of a response says of the limit of its server.
struct LimitStatement
{
    /// Requests a second that the server takes from all nodes together; none if it names no limit.
    std::optional<double> perSecond;
    bool isRefusal = false; ///< The server did not run the request that it answered.
};

/// What a node knows of the limit of a server, for the other nodes.
struct ReportedLimit
{
    std::int64_t startedAt = 0; ///< The run of the server, as in BackendReport::startedAt.
    std::optional<double> perSecond; ///< None if the server does not name a limit any more.
    bool refusalsOnly = false; ///< It was named in refusals only.
    Duration age {0}; ///< Since the answer that showed it.

    bool operator==(const ReportedLimit &) const = default;
};

using LimitNews = std::map<VmId, ReportedLimit>;

/// A limit that a node has learned of, for the log.
struct LimitChange
{
    ServerRun run;
    std::optional<double> before;
    std::optional<double> after;
};

/// Bounds on limits, and on the memory and the messages that they take.
struct LimitBounds
{
    static constexpr double minPerSecond = 1.0 / 60; ///< Lower limits are taken for it.
    static constexpr double maxPerSecond = 1e6;
    static constexpr std::size_t servers = 16'384; ///< Servers whose limits a node keeps.
    static constexpr std::size_t reportedByNode = 16; ///< In one pulse. Nodes report in turn.
    static constexpr std::size_t reportedByZone = 64; ///< In one digest.
};

} // namespace bramleypitch
