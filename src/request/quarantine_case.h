#pragma once

#include "request/quarantine_type.h"

#include <compare>
#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

namespace bramleypitch {

/// The starts differ mostly, and are compared faster than the servers.
struct RunOrder
{
    bool operator()(const ServerRun &left, const ServerRun &right) const
    {
        return std::tie(left.startedAt, left.server) < std::tie(right.startedAt, right.server);
    }
};

/// When a server ended. A peer's report is dated late by up to the delay of its message, and
/// an attempt may have broken shortly before.
struct CrashTime
{
    TimePoint earliest;
    TimePoint latest;
};

/// The evidence against a part that may be counted.
struct QuarantineCase
{
    struct Run
    {
        CrashTime time;
        std::uint64_t request = 0; ///< That had the part.
    };

    PromptPart part;
    std::map<ServerRun, Run, RunOrder> runs;
    std::size_t sum = 0;
    /// Of the crashes whose signs of life and reports have had time to come.
    std::size_t matureSum = 0;
    std::size_t matureRuns = 0; ///< These crashes.
    std::size_t matureRequests = 0;
    bool isMature = false; ///< May be decided. Others may only be the better explanation.
};

/// Counts crashes. Those that may have come together count as few.
std::size_t groupedCount(std::vector<CrashTime> times);
/// Whether both have a crash in common.
bool shareRuns(const QuarantineCase &left, const QuarantineCase &right);
/// Whether the left part was on all runs that the right one was on.
bool wasOnAllRuns(const QuarantineCase &left, const QuarantineCase &right);
/// Whether a part was in the whole request when a server ended with it.
bool wasInRequest(const QuarantineCase &part, const QuarantineCase &wholeRequest);
/// The crashes of one case that the other one does not explain.
std::vector<CrashTime> runsWithout(const QuarantineCase &item, const QuarantineCase &other);
/// Whether the left part explains more of the crashes with either part, fewer, or as many.
std::weak_ordering compareExplained(const QuarantineCase &left, const QuarantineCase &right);

} // namespace bramleypitch
