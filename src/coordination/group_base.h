#pragma once

#include "coordination/environment_type.h"
#include "coordination/group_type.h"
#include "coordination/member_type.h"
#include "coordination/placement_func.h"
#include "coordination/vm_base.h"
#include "core/pool_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bramleypitch {

/// The groups to which this node may route, synchronized with the placement values.
class GroupTable
{
public:
    /// Replaces the groups of a domain with those of a newer placement value. Groups of other
    /// environments are ignored. A group with a new generation gets a new entry.
    void update(const DomainPlacement &placement, const Envelope &envelope);
    /// Removes the groups of all domains to which this node does not route.
    void retainDomains(const std::set<DomainId> &routed);
    /// Resolves the members of all groups and rebuilds the index of targets. Must be called after
    /// the VM table or the set of groups has changed.
    void resolve(const VmTable &vms);
    /// Divides the concurrency of each group equally between the live nodes. The remainder goes to
    /// the first nodes in the rendezvous order of the group.
    void updateShares(const std::vector<MemberEntry> &nodes, const NodeId &self);
    /// Applies the limits of a new document to all groups.
    void applyLimits(const Environment &environment);

    Group *find(GroupIndex index) { return m_groups.find(index); }
    /// Returns the indices of a target's groups.
    const std::vector<GroupIndex> &groupsOfTarget(const std::string &target) const;
    /// Calls visit(GroupIndex, Group &) for every group.
    template<typename Visit>
    void forEach(Visit visit)
    {
        m_groups.forEach(visit);
    }
    std::size_t size() const { return m_groups.size(); }

private:
    void indexTargets();

    Pool<Group, GroupIndex> m_groups;
    std::map<std::string, std::vector<GroupIndex>> m_targets;
};

/// Returns the limits of a target, or the defaults if the document does not declare the target.
TargetLimits targetLimits(const Environment &environment, const std::string &target,
                          bool isService);

} // namespace bramleypitch
