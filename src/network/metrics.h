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

/// A distribution of milliseconds, by extended P² quantiles (Raatikainen, 1987).
class Distribution
{
public:
    Distribution();
    void add(double milliseconds);
    std::size_t count() const;
    /// The estimate for one of 0.5, 0.9, 0.95 and 0.99; none while there are too few samples.
    std::optional<double> quantile(double probability) const;
    /// The summary in Prometheus text form.
    std::string text(const std::string &name, const std::string &help) const;

private:
    using Accumulators = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;
    Accumulators m_accumulators;
};

/// The distributions that the daemon measures.
struct Distributions
{
    Distribution firstToken; ///< From a completion's arrival to its first token.
    Distribution betweenTokens;
    Distribution serviceCall; ///< From a call's arrival to its answer.
};

/// A present value, such as a number of open requests.
struct Gauge
{
    const char *name;
    const char *help;
    double value;
};

/// All counters in Prometheus text form.
std::string counterText(const Counters &counters);
/// One gauge in Prometheus text form.
std::string gaugeText(const Gauge &gauge);

} // namespace bramleypitch
