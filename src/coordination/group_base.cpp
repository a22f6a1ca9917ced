#include "coordination/group_base.h"

#include "coordination/environment_func.h"
#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Whether a domain is that of a service. The domain of an empty service name is the prefix that
/// all service domains share.
bool isServiceDomain(const DomainId &domain)
{
    return domain.value().rfind(serviceDomain(ServiceId()).value(), 0) == 0;
}

/// Extracts the domain from a group id, which has the form "DOMAIN/GENERATION".
DomainId domainOf(const Group &group)
{
    const std::string &id = group.placed.id.value();
    return DomainId(id.substr(0, id.rfind('/')));
}

} // namespace

void GroupTable::update(const DomainPlacement &placement, const Envelope &envelope)
{
    std::map<std::pair<GroupId, Generation>, const PlacedGroup *> newGroups;
    for (const PlacedGroup &group : placement.groups) {
        if (group.environment == envelope.environment.name)
            newGroups[{group.id, group.generation}] = &group;
    }
    std::vector<GroupIndex> removed;
    m_groups.forEach([&](GroupIndex index, Group &group) {
        if (domainOf(group) != placement.domain)
            return;
        const auto found = newGroups.find({group.placed.id, group.placed.generation});
        if (found == newGroups.end()) {
            removed.push_back(index);
            return;
        }
        group.placed = *found->second;
        newGroups.erase(found);
    });
    for (const GroupIndex index : removed)
        m_groups.erase(index);
    for (const auto &[id, placed] : newGroups) {
        Group group;
        group.placed = *placed;
        group.isService = isServiceDomain(placement.domain);
        group.limits = targetLimits(envelope.environment, placed->target, group.isService);
        m_groups.insert(std::move(group));
    }
}

void GroupTable::applyLimits(const Environment &environment)
{
    m_groups.forEach([&](GroupIndex, Group &group) {
        group.limits = targetLimits(environment, group.placed.target, group.isService);
    });
}

void GroupTable::retainDomains(const std::set<DomainId> &routed)
{
    std::vector<GroupIndex> removed;
    m_groups.forEach([&](GroupIndex index, Group &group) {
        if (routed.count(domainOf(group)) == 0)
            removed.push_back(index);
    });
    for (const GroupIndex index : removed)
        m_groups.erase(index);
}

void GroupTable::updateShares(const std::vector<MemberEntry> &nodes, const NodeId &self)
{
    const auto name = [](const MemberEntry &entry) { return entry.node.value(); };
    m_groups.forEach([&](GroupIndex, Group &group) {
        const auto order = rendezvousOrder(group.placed.id.value(), nodes, name);
        const auto position =
            std::find_if(order.begin(), order.end(),
                         [&](const MemberEntry &entry) { return entry.node == self; });
        const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, nodes.size()));
        if (position == order.end()) {
            group.ownShare = 0;
            return;
        }
        const auto rank = static_cast<std::uint32_t>(position - order.begin());
        const std::uint32_t remainder = group.limits.concurrency % count;
        group.ownShare = group.limits.concurrency / count + (rank < remainder ? 1 : 0);
    });
}

void GroupTable::resolve(const VmTable &vms)
{
    m_groups.forEach([&](GroupIndex, Group &group) {
        group.vms.clear();
        for (const VmId &member : group.placed.members) {
            if (const std::optional<VmIndex> index = vms.indexOf(member))
                group.vms.push_back(*index);
        }
    });
    indexTargets();
}

void GroupTable::indexTargets()
{
    m_targets.clear();
    m_groups.forEach(
        [&](GroupIndex index, Group &group) { m_targets[group.placed.target].push_back(index); });
}

const std::vector<GroupIndex> &GroupTable::groupsOfTarget(const std::string &target) const
{
    static const std::vector<GroupIndex> none;
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? none : found->second;
}

TargetLimits targetLimits(const Environment &environment, const std::string &target, bool isService)
{
    if (isService) {
        const ServiceSpec *spec = findService(environment, ServiceId(target));
        return spec ? TargetLimits {spec->concurrency, spec->coldAllowance, spec->warmAfter}
                    : TargetLimits {};
    }
    const ModelGroupSpec *spec = findModelGroup(environment, ModelGroupId(target));
    return spec ? TargetLimits {spec->concurrency, spec->coldAllowance, spec->warmAfter}
                : TargetLimits {};
}

} // namespace bramleypitch
