#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace bramleypitch {

/// A value stored under the shared prefix of the platform's store.
struct SharedValue
{
    std::string key;
    Revision revision; ///< Store revision of the last write of the key.
    std::string value;
};

/// This node's copy of all shared values of the platform, and the time at which it was last known
/// to be current.
///
/// The copy is complete up to revision newest(), provided that each merge contains all values above
/// the requested revision. Therefore one revision identifies the state of the whole table, and the
/// difference between two tables consists of all values above the older revision. A value is only
/// replaced by one with a higher revision.
class SharedState
{
public:
    /// Merges the result of a read and returns the keys that changed. `values` must contain all
    /// values above the requested revision, which must not have been above newest() at the time of
    /// the request. `sourceNewest` is the newest revision that the source holds. `asOf` is a time
    /// by this node's clock at which the source was known to be current.
    std::vector<std::string> merge(const std::vector<SharedValue> &values, Revision sourceNewest,
                                   TimePoint asOf);

    /// Returns the highest revision held, or 0 if the table is empty.
    Revision newest() const { return m_newest; }
    /// Returns the last time at which newest() was known to be current; the epoch if never.
    TimePoint evidence() const { return m_evidence; }
    /// Whether a complete copy was ever obtained, from the platform or from a peer.
    bool known() const { return m_known; }
    /// Returns all values above a revision, sorted by key.
    std::vector<SharedValue> since(Revision revision) const;
    /// Returns the value of a key, or null.
    const SharedValue *find(const std::string &key) const;

    const std::map<std::string, SharedValue> &values() const { return m_values; }

private:
    std::map<std::string, SharedValue> m_values;
    Revision m_newest;
    TimePoint m_evidence;
    bool m_known = false;
};

} // namespace bramleypitch
