#pragma once

#include "network/metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleypitch::load {

/// Outcomes and latencies of the requests of one organisation and class.
struct Tally
{
    std::uint64_t offered = 0; ///< Requests sent.
    std::uint64_t complete = 0; ///< Requests with a complete response.
    std::uint64_t inTime = 0; ///< Those of them with a first token or response in time.
    std::uint64_t broken = 0; ///< Requests without response or with an incomplete one.
    std::map<std::string, std::uint64_t> refused; ///< Refused requests by error type.
    /// Milliseconds from the scheduled arrival to the first token, or to the end of the response
    /// for service calls.
    Distribution firstToken;
    Distribution betweenTokens; ///< Milliseconds between successive tokens.
};

/// Outcomes of the requests that arrived in one second of a run.
struct SecondResult
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t broken = 0;
};

/// The result of a load run.
struct Result
{
    std::map<std::pair<std::string, std::string>, Tally> tallies; ///< By organisation and class.
    std::vector<SecondResult> seconds;
    std::uint64_t tokens = 0; ///< Tokens received in all streams.
    std::int64_t durationMillis = 0;
};

/// Formats the result as JSON.
std::string formatResultJson(const Result &result);
/// Formats the result as a table of plain text.
std::string formatResultTable(const Result &result);

} // namespace bramleypitch::load
