#include "load/result.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <iomanip>
#include <sstream>

namespace bramleypitch::load {

namespace {

using nlohmann::json;

json quantiles(const Distribution &distribution)
{
    json values {{"count", distribution.count()}};
    for (const auto &[name, probability] :
         {std::pair("p50", 0.5), std::pair("p95", 0.95), std::pair("p99", 0.99)}) {
        const std::optional<double> estimate = distribution.quantile(probability);
        values[name] = estimate ? json(*estimate) : json();
    }
    return values;
}

std::string formatQuantile(const Distribution &distribution, double probability)
{
    const std::optional<double> estimate = distribution.quantile(probability);
    if (!estimate)
        return "-";
    return std::to_string(std::lround(*estimate));
}

} // namespace

std::string formatResultJson(const Result &result)
{
    json body {{"duration_ms", result.durationMillis},
               {"tokens", result.tokens},
               {"tallies", json::array()},
               {"seconds", json::array()}};
    for (const auto &[name, tally] : result.tallies)
        body["tallies"].push_back({{"organisation", name.first},
                                   {"class", name.second},
                                   {"offered", tally.offered},
                                   {"whole", tally.complete},
                                   {"in_time", tally.inTime},
                                   {"broken", tally.broken},
                                   {"refused", tally.refused},
                                   {"first_token_ms", quantiles(tally.firstToken)},
                                   {"between_tokens_ms", quantiles(tally.betweenTokens)}});
    for (const SecondResult &second : result.seconds)
        body["seconds"].push_back({second.offered, second.inTime, second.broken});
    return body.dump(1);
}

std::string formatResultTable(const Result &result)
{
    std::ostringstream out;
    const auto cell = [&](const std::string &text, int width) {
        out << std::setw(width) << text << " ";
    };
    out << std::left;
    cell("organisation", 18);
    cell("class", 16);
    out << std::right;
    for (const char *heading : {"offered", "whole", "in time", "broken", "refused"})
        cell(heading, 8);
    for (const char *heading : {"first p50", "p95", "p99", "between p95"})
        cell(heading, 11);
    out << "\n";
    for (const auto &[name, tally] : result.tallies) {
        std::uint64_t refused = 0;
        for (const auto &[type, count] : tally.refused)
            refused += count;
        out << std::left;
        cell(name.first, 18);
        cell(name.second, 16);
        out << std::right;
        for (const std::uint64_t count :
             {tally.offered, tally.complete, tally.inTime, tally.broken, refused})
            cell(std::to_string(count), 8);
        for (const double probability : {0.5, 0.95, 0.99})
            cell(formatQuantile(tally.firstToken, probability), 11);
        cell(formatQuantile(tally.betweenTokens, 0.95), 11);
        for (const auto &[type, count] : tally.refused)
            out << " " << type << "=" << count;
        out << "\n";
    }
    return out.str();
}

} // namespace bramleypitch::load
