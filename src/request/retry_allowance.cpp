#include "request/retry_allowance.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// A restarted node does not know its earlier retries. Dividing the slack by the number of runs
/// keeps two runs within one window below the limit.
constexpr double runsPerWindow = 2;

void dropBefore(std::deque<TimePoint> &times, TimePoint limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

} // namespace

RetryAllowance::RetryAllowance(RetryLimits limits)
    : m_limits(limits)
{
}

void RetryAllowance::prune(TimePoint now)
{
    dropBefore(m_requests, now - m_limits.window);
    dropBefore(m_retryTimes, now - m_limits.window);
}

void RetryAllowance::onRequest(TimePoint now)
{
    prune(now);
    m_requests.push_back(now);
}

bool RetryAllowance::permitsRetry(std::uint32_t nodes, TimePoint now)
{
    prune(now);
    const double slack = m_limits.slack / (runsPerWindow * std::max<std::uint32_t>(nodes, 1));
    const double allowed = m_limits.ratio * static_cast<double>(m_requests.size()) + slack;
    return static_cast<double>(m_retryTimes.size()) + 1 <= allowed;
}

void RetryAllowance::onRetry(TimePoint now)
{
    m_retryTimes.push_back(now);
}

} // namespace bramleypitch
