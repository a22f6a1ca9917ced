#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <deque>

namespace bramleypitch {

/// Limits on the retries of a service. They apply to all nodes together.
struct RetryLimits
{
    double ratio = 0.2; ///< Retries per request of a caller.
    double slack = 0; ///< Additional retries of all nodes together in one window.
    Duration window {10'000}; ///< Sliding window in which requests and retries are counted.
};

/// Retry budget of this node for one service. The ratio applies to the node's own requests, and the
/// slack is divided by an upper bound on the number of nodes. The sum over all nodes therefore
/// stays within the shared limit, regardless of what each node knows about the others.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimits limits);

    void onRequest(TimePoint now);
    /// Whether one more retry is within the budget. `nodes` is an upper bound on the number of
    /// nodes.
    bool permitsRetry(std::uint32_t nodes, TimePoint now);
    void onRetry(TimePoint now);

private:
    void prune(TimePoint now);

    RetryLimits m_limits;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retryTimes;
};

} // namespace bramleypitch
