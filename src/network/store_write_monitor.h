#pragma once

#include "core/time_type.h"

#include <optional>

namespace bramleypitch {

/// Judges from this node's own calls whether the store accepts its writes. The store may turn some
/// nodes away while it serves the others, which then have to do what needs writes.
class StoreWriteMonitor
{
public:
    /// A write was sent to the store.
    void onSent(TimePoint now);
    /// The store answered a call that changes something, whether or not its condition held.
    void onAccepted(TimePoint now);
    /// The store refused such a call, or did not answer it.
    void onFailed(TimePoint now);
    /// Whether the store does not accept the writes of this node.
    bool isRefused() const { return m_refused; }
    /// Whether a call is needed to find out.
    bool mustCheck(TimePoint now) const;

private:
    int m_failures = 0; ///< Since the last success.
    bool m_refused = false;
    std::optional<TimePoint> m_acceptedSince; ///< First success since the last failure.
    std::optional<TimePoint> m_sentAt; ///< Of the oldest write without an answer.
    TimePoint m_resultAt; ///< Of the last call that was answered or failed.
};

} // namespace bramleypitch
