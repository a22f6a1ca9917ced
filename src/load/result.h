#pragma once

#include "network/metrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleypitch::load {

/// What became of the requests of one organisation and class.
struct Tally
{
    std::uint64_t offered = 0;
    std::uint64_t whole = 0;
    std::uint64_t inTime = 0; ///< Whole, and begun in time.
    std::uint64_t broken = 0; ///< Accepted and not answered in whole.
    std::map<std::string, std::uint64_t> refused; ///< By type of error.
    Distribution firstToken; ///< For calls, the whole answer. Milliseconds from the due arrival.
    Distribution betweenTokens;
};

/// One second of a run, by arrival.
struct Second
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t broken = 0;
};

/// The result of a run.
struct Result
{
    std::map<std::pair<std::string, std::string>, Tally> tallies; ///< Organisation and class.
    std::vector<Second> seconds;
    std::uint64_t tokens = 0;
    std::int64_t durationMillis = 0;
};

/// The result as JSON.
std::string resultJson(const Result &result);
/// The result as a table to read.
std::string resultTable(const Result &result);

} // namespace bramleypitch::load
