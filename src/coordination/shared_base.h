#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace bramleypitch {

/// A value under the shared prefix of the platform's store.
struct SharedValue
{
    std::string key;
    Revision revision; ///< The store revision that wrote it; higher is newer.
    std::string value;
};

/// Every shared value of the platform as this node knows it, and how recent that knowledge is.
///
/// Values are complete up to `newest()`: whoever merges must have read all values above the
/// revision asked for. So one number is the digest of the whole table, and "all above R" is the
/// difference between two tables. A value is only ever replaced by one of a higher revision.
class SharedState
{
public:
    /// Merges a complete read of all values above a revision that was at most newest() when it
    /// was asked for. `asOf` is a time by this node's clock at which nothing newer existed than
    /// what the other side holds, and `through` the newest revision it holds. Returns changed keys.
    std::vector<std::string> merge(const std::vector<SharedValue> &values, Revision through,
                                   TimePoint asOf);

    /// The highest revision held; 0 if nothing is.
    Revision newest() const { return m_newest; }
    /// The latest time at which newest() was known to be current; the epoch if never.
    TimePoint evidence() const { return m_evidence; }
    /// Whether the platform's values were ever read, by this node or by a peer it learnt from.
    bool known() const { return m_known; }
    /// All values above a revision, by key.
    std::vector<SharedValue> since(Revision revision) const;
    /// The value of a key, or null.
    const SharedValue *find(const std::string &key) const;

    const std::map<std::string, SharedValue> &values() const { return m_values; }

private:
    std::map<std::string, SharedValue> m_values;
    Revision m_newest;
    TimePoint m_evidence;
    bool m_known = false;
};

} // namespace bramleypitch
