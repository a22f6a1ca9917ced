#pragma once

#include "coordination/environment_type.h"
#include "coordination/group_type.h"
#include "coordination/placement_func.h"
#include "coordination/vm_base.h"
#include "core/pool_type.h"

#include <map>
#include <string>
#include <vector>

namespace bramleypitch {

/// The groups that this node may route to, kept in step with the placement values.
class GroupTable
{
public:
    /// Takes in a domain's placement as of a newer revision: groups of other environments are
    /// left out, groups gone or of another generation lose their entry.
    void update(const DomainPlacement &placement, const Envelope &envelope);
    /// Applies limits of a new document to all groups.
    void applyLimits(const Environment &environment);

    Group *find(GroupIndex index) { return m_groups.find(index); }
    /// The indices of a target's groups, in order of creation.
    std::vector<GroupIndex> ofTarget(const std::string &target);
    /// Calls visit(GroupIndex, Group &) for every group.
    template<typename Visit>
    void forEach(Visit visit)
    {
        m_groups.forEach(visit);
    }
    std::size_t size() const { return m_groups.size(); }

private:
    Pool<Group, GroupIndex> m_groups;
};

/// The limits that a document gives a target; defaults where it names no such target.
TargetLimits limitsOf(const Environment &environment, const std::string &target, bool isService);

} // namespace bramleypitch
