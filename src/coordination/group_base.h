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

/// The groups that this node may route to, kept in step with the placement values.
class GroupTable
{
public:
    /// Takes in a domain's placement as of a newer revision: groups of other environments are
    /// left out, groups gone or of another generation lose their entry.
    void update(const DomainPlacement &placement, const Envelope &envelope);
    /// Drops the groups of domains that this node routes to no more.
    void keepDomains(const std::set<DomainId> &routed);
    /// Looks members and targets up anew; due after the VM table or the groups have changed.
    void resolve(const VmTable &vms);
    /// Divides each group's concurrency between the live nodes; what does not divide goes to the
    /// first of them in rendezvous order by group.
    void share(const std::vector<MemberEntry> &nodes, const NodeId &self);
    /// Applies limits of a new document to all groups.
    void applyLimits(const Environment &environment);

    Group *find(GroupIndex index) { return m_groups.find(index); }
    /// The indices of a target's groups.
    const std::vector<GroupIndex> &ofTarget(const std::string &target) const;
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

/// The limits that a document gives a target; defaults where it names no such target.
TargetLimits limitsOf(const Environment &environment, const std::string &target, bool isService);

} // namespace bramleypitch
