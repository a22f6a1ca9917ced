#pragma once

#include <algorithm>

namespace bramleypitch {

/// Bounds retries to a share of the requests, so that a failing backend is not asked ever more.
class RetryBudget
{
public:
    /// Notes a first attempt; each earns a tenth of a retry.
    void earn() { m_tokens = std::min(maxTokens, m_tokens + tokensPerRequest); }
    /// Takes a retry if there is one.
    bool spend()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double tokensPerRequest = 0.1;
    static constexpr double maxTokens = 10;

    double m_tokens = maxTokens;
};

} // namespace bramleypitch
