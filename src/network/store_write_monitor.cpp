#include "network/store_write_monitor.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// A single answer may be lost.
constexpr int minFailures = 2;
/// The store has to accept calls for this time before the node counts on it again, so that duties
/// do not move back and forth.
constexpr Duration returnTime {1'000};
/// Between checks. It doubles with each failure while writes are refused: a store that turns many
/// nodes away must not be asked by all of them all the time.
constexpr Duration checkInterval {250};
constexpr int maxDoublings = 2;
/// A healthy store answers within milliseconds.
constexpr Duration maxAnswerTime {400};

} // namespace

void StoreWriteMonitor::onSent(TimePoint now)
{
    if (!m_sentAt)
        m_sentAt = now;
}

void StoreWriteMonitor::onAccepted(TimePoint now)
{
    m_sentAt.reset();
    m_failures = 0;
    m_resultAt = now;
    if (!m_acceptedSince)
        m_acceptedSince = now;
    if (now - *m_acceptedSince >= returnTime)
        m_refused = false;
}

void StoreWriteMonitor::onFailed(TimePoint now)
{
    m_sentAt.reset();
    m_acceptedSince.reset();
    m_resultAt = now;
    if (++m_failures >= minFailures)
        m_refused = true;
}

bool StoreWriteMonitor::mustCheck(TimePoint now) const
{
    const bool isInDoubt = m_failures > 0 || m_refused;
    const bool isSilent = m_sentAt && now - *m_sentAt >= maxAnswerTime;
    const int doublings = std::clamp(m_failures - minFailures, 0, maxDoublings);
    return isSilent || (isInDoubt && now - m_resultAt >= checkInterval * (1 << doublings));
}

} // namespace bramleypitch
