#include "coordination/shared_base.h"

#include <algorithm>

namespace bramleypitch {

std::vector<std::string> SharedState::merge(const std::vector<SharedValue> &values,
                                            Revision sourceNewest, TimePoint asOf)
{
    std::vector<std::string> changed;
    for (const SharedValue &value : values) {
        SharedValue &held = m_values[value.key];
        if (value.revision <= held.revision)
            continue;
        held = value;
        changed.push_back(value.key);
        m_newest = std::max(m_newest, value.revision);
    }
    // A source that is behind cannot confirm that the newer values held here are current.
    if (sourceNewest >= m_newest) {
        m_evidence = std::max(m_evidence, asOf);
        m_known = true;
    }
    return changed;
}

std::vector<SharedValue> SharedState::since(Revision revision) const
{
    std::vector<SharedValue> newer;
    for (const auto &[key, value] : m_values) {
        if (value.revision > revision)
            newer.push_back(value);
    }
    return newer;
}

const SharedValue *SharedState::find(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second;
}

} // namespace bramleypitch
