#pragma once

#include <algorithm>

namespace bramleypitch {

/// Limits retries to a fraction of the requests, so that retries do not overload a failing backend.
class RetryBudget
{
public:
    /// Counts a first attempt, which adds a tenth of a retry to the budget.
    void addRequest() { m_tokens = std::min(maxTokens, m_tokens + retriesPerRequest); }
    bool permitsRetry() const { return m_tokens >= 1; }
    /// Consumes one retry. Returns false if the budget is exhausted.
    bool tryConsume()
    {
        if (!permitsRetry())
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double retriesPerRequest = 0.1;
    static constexpr double maxTokens = 10;

    double m_tokens = maxTokens;
};

} // namespace bramleypitch
