#include "formation/demand_estimate.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

void DemandEstimate::update(const std::map<ModelId, double> &slots,
                            const std::map<ModelId, double> &capacity, TimePoint now)
{
    const bool hasDemand =
        std::any_of(slots.begin(), slots.end(), [](const auto &entry) { return entry.second > 0; });
    if (m_startedAt == TimePoint() && !hasDemand)
        return;
    if (m_startedAt == TimePoint())
        m_startedAt = m_updatedAt = now;
    for (const auto &[model, count] : slots)
        m_series.try_emplace(model);
    const double weight = 1
        - std::exp(-static_cast<double>((now - m_updatedAt).count())
                   / static_cast<double>(m_options.riseTime.count()));
    m_updatedAt = now;
    for (auto &[model, series] : m_series) {
        const auto found = slots.find(model);
        double count = found == slots.end() ? 0 : found->second;
        if (const auto open = capacity.find(model); open != capacity.end())
            count = std::min(count, m_options.maxOverload * open->second);
        series.smoothed += weight * (count - series.smoothed);
        std::deque<Bucket> &buckets = series.buckets;
        if (buckets.empty() || now - buckets.back().startedAt >= m_options.bucketTime)
            buckets.push_back({now, series.smoothed, series.smoothed});
        buckets.back().highest = std::max(buckets.back().highest, series.smoothed);
        buckets.back().lowest = std::min(buckets.back().lowest, series.smoothed);
        while (now - buckets.front().startedAt > m_options.holdTime)
            buckets.pop_front();
    }
}

bool DemandEstimate::isMeasured(TimePoint now) const
{
    return m_startedAt != TimePoint() && now - m_startedAt >= m_options.minMeasuredTime;
}

double DemandEstimate::peak(const ModelId &model) const
{
    const auto found = m_series.find(model);
    double highest = 0;
    if (found == m_series.end())
        return highest;
    for (const Bucket &bucket : found->second.buckets)
        highest = std::max(highest, bucket.highest);
    return highest;
}

double DemandEstimate::lasting(const ModelId &model) const
{
    const auto found = m_series.find(model);
    double highest = 0;
    if (found == m_series.end())
        return highest;
    const std::deque<Bucket> &buckets = found->second.buckets;
    const auto length = static_cast<std::ptrdiff_t>(m_options.lastingTime / m_options.bucketTime);
    for (auto end = buckets.begin(); end != buckets.end(); ++end) {
        if (end - buckets.begin() + 1 < length)
            continue;
        const auto lowest =
            std::min_element(end - length + 1, end + 1,
                             [](const Bucket &a, const Bucket &b) { return a.lowest < b.lowest; });
        highest = std::max(highest, lowest->lowest);
    }
    return highest;
}

} // namespace bramleypitch
