#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <vector>

namespace bramleypitch {

/// What giving up a held response costs its caller. The first values are given up first.
enum class ResponseWorth {
    Replaceable, ///< It is unfinished, and its request may be repeated or resumed.
    FinishedRepeatable, ///< It is complete, and its caller may send the request again.
    UnfinishedOnly, ///< It is unfinished, and its request may not run again.
    FinishedOnly, ///< It is complete, and its request has run and may not run again.
};

/// The worth of a response.
ResponseWorth responseWorth(bool isFinished, bool mayRepeat);

/// A response of which a node holds bytes.
struct HeldResponse
{
    std::size_t bytes = 0;
    ResponseWorth worth = ResponseWorth::Replaceable;
    TimePoint readAt; ///< When its caller last read a part of it, or its first byte was held.
};

/// Positions of the responses to give up so that at least `bytes` are freed, in the order in which
/// they are given up; all that hold bytes if that is not enough. Of the same worth, those whose
/// callers have read nothing for longest come first, and of these those that hold most.
std::vector<std::size_t> responsesToGiveUp(const std::vector<HeldResponse> &held,
                                           std::size_t bytes);

/// How much of a response is kept for a caller that reads slowly.
struct CallerAllowance
{
    std::size_t limit = 0; ///< Bytes that may wait for one caller, at most.
    std::size_t first = 0; ///< Bytes that may wait before reading from the server is paused.
};

/// Shares of the account for one caller.
CallerAllowance callerAllowance(std::size_t accountLimit);

/// Bytes that may wait for a caller now whose response could be read only up to `present` bytes
/// since `pausedAt`. A server cuts off a response that is not read for some seconds, so that
/// another part of it is read from time to time, up to the limit, while there is room.
std::size_t nextAllowance(const CallerAllowance &allowance, std::size_t present, TimePoint pausedAt,
                          bool hasRoom, TimePoint now);

} // namespace bramleypitch
