#include "coordination/group_base.h"

#include "coordination/environment_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

bool isServiceDomainName(const DomainId &domain)
{
    return domain.value().rfind(serviceDomain(ServiceId()).value(), 0) == 0;
}

bool ofDomain(const Group &group, const DomainId &domain)
{
    const std::string &id = group.placed.id.value();
    return id.substr(0, id.rfind('/')) == domain.value();
}

} // namespace

void GroupTable::update(const DomainPlacement &placement, const Envelope &envelope)
{
    std::map<std::pair<GroupId, Generation>, const PlacedGroup *> wanted;
    for (const PlacedGroup &group : placement.groups) {
        if (group.environment == envelope.environment.name)
            wanted[{group.id, group.generation}] = &group;
    }
    std::vector<GroupIndex> gone;
    m_groups.forEach([&](GroupIndex index, Group &group) {
        if (!ofDomain(group, placement.domain))
            return;
        const auto found = wanted.find({group.placed.id, group.placed.generation});
        if (found == wanted.end()) {
            gone.push_back(index);
            return;
        }
        group.placed = *found->second;
        wanted.erase(found);
    });
    for (const GroupIndex index : gone)
        m_groups.erase(index);
    for (const auto &[id, placed] : wanted) {
        Group group;
        group.placed = *placed;
        group.isService = isServiceDomainName(placement.domain);
        group.limits = limitsOf(envelope.environment, placed->target, group.isService);
        m_groups.insert(std::move(group));
    }
}

void GroupTable::applyLimits(const Environment &environment)
{
    m_groups.forEach([&](GroupIndex, Group &group) {
        group.limits = limitsOf(environment, group.placed.target, group.isService);
    });
}

std::vector<GroupIndex> GroupTable::ofTarget(const std::string &target)
{
    std::vector<GroupIndex> indices;
    m_groups.forEach([&](GroupIndex index, Group &group) {
        if (group.placed.target == target)
            indices.push_back(index);
    });
    return indices;
}

TargetLimits limitsOf(const Environment &environment, const std::string &target, bool isService)
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
