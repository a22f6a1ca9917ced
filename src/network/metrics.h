#pragma once

#include "core/counter_type.h"
#include "core/time_type.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <optional>
#include <string>

namespace bramleypitch {

/// A distribution of durations in milliseconds. Quantiles are estimated by the extended P²
/// algorithm (Raatikainen, 1987).
class Distribution
{
public:
    Distribution();
    void add(double milliseconds);
    std::size_t count() const;
    /// The estimated quantile for a probability of 0.5, 0.9, 0.95 or 0.99; none if there are too
    /// few samples.
    std::optional<double> quantile(double probability) const;
    /// The distribution as a summary in Prometheus text format.
    std::string text(const std::string &name, const std::string &help) const;

private:
    using Accumulators = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;
    Accumulators m_accumulators;
};

/// The latency distributions that the daemon records.
struct Distributions
{
    Distribution firstToken; ///< From the arrival of a completion request to its first token.
    Distribution betweenTokens; ///< Between consecutive tokens of a completion.
    Distribution serviceCall; ///< From the arrival of a service call to its response.
};

/// The current value of a quantity, such as the number of open requests.
struct Gauge
{
    const char *name;
    const char *help;
    double value;
};

/// Formats all counters in Prometheus text format.
std::string counterText(const Counters &counters);
/// Formats one gauge in Prometheus text format.
std::string gaugeText(const Gauge &gauge);

} // namespace bramleypitch
