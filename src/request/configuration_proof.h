#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace bramleypitch {

/// Decides until when the configuration of a node is proven to be the newest one. The store proves
/// it, except after it has come back from an older copy: then it may hold an older configuration
/// than another node has seen, or than the operator has written since, until that is written again.
class ConfigurationProof
{
public:
    /// The configuration in force has this version.
    void setVersion(std::uint64_t version) { m_version = std::max(m_version, version); }
    /// The store has come back from an older copy. What it lost is written again until `until`, and
    /// proofs from before that do not count.
    void onOlderCopy(TimePoint until) { m_countsFrom = std::max(m_countsFrom, until); }
    /// Another node has a configuration of this version in force, as it said at `heardAt`.
    void onVersionHeard(std::uint64_t version, TimePoint heardAt, TimePoint now)
    {
        if (!isSuperseded(now))
            m_heardVersion = 0;
        if (version < m_heardVersion || version <= m_version)
            return;
        if (version > m_heardVersion)
            m_heardAt = heardAt;
        m_heardVersion = version;
        m_lastHeardAt = now;
    }
    /// The configuration in force was the newest one in the store at this time.
    void onProof(TimePoint at)
    {
        if (isSuperseded(at) && at > m_heardAt)
            m_provenAt = TimePoint(); // The store has lost the newer one.
        else if (at >= m_countsFrom)
            m_provenAt = std::max(m_provenAt, at);
    }
    /// The store holds a version that cannot be read, which may have taken away any key or route.
    /// Nothing is proven from the last proof before it on, until a readable version is in force.
    void onUnreadable() { m_unreadableSince = m_unreadableSince.value_or(m_provenAt); }
    void onReadable() { m_unreadableSince.reset(); }
    bool isUnreadable() const { return m_unreadableSince.has_value(); }
    /// The latest time for which the configuration is proven; the epoch if there is none.
    TimePoint provenAt() const
    {
        return std::min(m_provenAt, m_unreadableSince.value_or(m_provenAt));
    }
    /// The same without regard to a version that cannot be read: until then the store was followed.
    TimePoint followedAt() const { return m_provenAt; }
    /// Whether another node has a newer configuration in force, and has said so a short time ago.
    bool isSuperseded(TimePoint now) const
    {
        return m_version < m_heardVersion && now - m_lastHeardAt <= heardMemory;
    }

private:
    /// A version that no node states any more is forgotten after this time. What the store has lost
    /// is written again much sooner.
    static constexpr Duration heardMemory {10'000};

    std::uint64_t m_version = 0; ///< Of the configuration in force; 0 if there is none.
    std::uint64_t m_heardVersion = 0; ///< The newest one that another node has in force.
    TimePoint m_heardAt; ///< When it was stated first.
    TimePoint m_lastHeardAt;
    TimePoint m_countsFrom;
    TimePoint m_provenAt;
    std::optional<TimePoint> m_unreadableSince;
};

} // namespace bramleypitch
