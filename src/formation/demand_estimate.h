#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <deque>
#include <map>

namespace bramleypitch {

/// Time constants and bounds of the estimate of demand.
struct DemandEstimateOptions
{
    /// Time constant of a rise. A rise is visible in a third of a second, the variation of single
    /// requests less so.
    Duration riseTime {600};
    /// The highest demand within this time counts. Longer than a wave of demand that callers cause,
    /// so that its low parts move no groups.
    Duration holdTime {16'000};
    Duration bucketTime {1'000}; ///< Resolution of `holdTime`.
    /// A rise shorter than this is over before groups that are converted for it could serve, as is
    /// the queue that it leaves.
    Duration lastingTime {5'000};
    /// Before the estimate is used: a whole wave must have been seen.
    Duration minMeasuredTime {14'000};
    /// Highest demand that counts, relative to the slots of the open groups. Waiting requests add
    /// to the demand until the queue is empty, but need capacity only once.
    double maxOverload = 1.15;
};

/// Highest recent demand for each model, in slots: the peak, which follows a rise at once, and the
/// lasting demand, which no short rise changes. Both are forgotten slowly. What a model may give
/// is limited by its peak, and groups are converted for lasting demand.
/// Any node keeps it from the demand that all nodes tell each other, so that the next owner of a
/// domain has it, too.
class DemandEstimate
{
public:
    explicit DemandEstimate(DemandEstimateOptions options = {})
        : m_options(options)
    {
    }

    /// Updates the estimate with the slots needed now. `capacity` holds the slots of the open
    /// groups by model, and is at least that of one group for each model.
    void update(const std::map<ModelId, double> &slots, const std::map<ModelId, double> &capacity,
                TimePoint now);
    /// Whether demand was measured for long enough.
    bool isMeasured(TimePoint now) const;
    /// The highest demand for a model within the hold time, in slots.
    double peak(const ModelId &model) const;
    /// The highest demand that lasted for the lasting time within the hold time, in slots.
    double lasting(const ModelId &model) const;

private:
    struct Bucket
    {
        TimePoint startedAt;
        double highest = 0;
        double lowest = 0;
    };
    struct Series
    {
        double smoothed = 0;
        std::deque<Bucket> buckets; ///< At most one for each `bucketTime` of the hold time.
    };

    DemandEstimateOptions m_options;
    TimePoint m_startedAt; ///< Of the first demand. Epoch if there was none.
    TimePoint m_updatedAt;
    std::map<ModelId, Series> m_series;
};

} // namespace bramleypitch
