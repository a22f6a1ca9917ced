#include "network/metrics.h"

#include "table/counter_table.h"

#include <array>
#include <sstream>

namespace bramleypitch {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> probabilities {0.5, 0.9, 0.95, 0.99};
/// The estimator needs at least as many samples as it has markers.
constexpr std::size_t minSamples = 2 * probabilities.size() + 3;
constexpr const char *metricPrefix = "bramleypitch_";

} // namespace

Distribution::Distribution()
    : m_accumulators(accumulators::extended_p_square_probabilities = probabilities)
{
}

void Distribution::add(double milliseconds)
{
    m_accumulators(milliseconds);
}

std::size_t Distribution::count() const
{
    return accumulators::count(m_accumulators);
}

std::optional<double> Distribution::quantile(double probability) const
{
    if (count() < minSamples)
        return std::nullopt;
    return accumulators::quantile(m_accumulators, accumulators::quantile_probability = probability);
}

std::string Distribution::text(const std::string &name, const std::string &help) const
{
    std::ostringstream out;
    out << "# HELP " << metricPrefix << name << " " << help << "\n";
    out << "# TYPE " << metricPrefix << name << " summary\n";
    for (const double probability : probabilities) {
        if (const std::optional<double> estimate = quantile(probability))
            out << metricPrefix << name << "{quantile=\"" << probability << "\"} " << *estimate
                << "\n";
    }
    out << metricPrefix << name << "_sum " << accumulators::sum(m_accumulators) << "\n";
    out << metricPrefix << name << "_count " << count() << "\n";
    return out.str();
}

std::string counterText(const Counters &counters)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < counterTable.size(); ++i) {
        const CounterInfo &info = counterTable[i];
        out << "# HELP " << metricPrefix << info.name << "_total " << info.help << "\n";
        out << "# TYPE " << metricPrefix << info.name << "_total counter\n";
        out << metricPrefix << info.name << "_total " << counters.value(static_cast<Counter>(i))
            << "\n";
    }
    return out.str();
}

std::string gaugeText(const Gauge &gauge)
{
    std::ostringstream out;
    out << "# HELP " << metricPrefix << gauge.name << " " << gauge.help << "\n";
    out << "# TYPE " << metricPrefix << gauge.name << " gauge\n";
    out << metricPrefix << gauge.name << " " << gauge.value << "\n";
    return out.str();
}

} // namespace bramleypitch
