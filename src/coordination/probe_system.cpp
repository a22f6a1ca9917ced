#include "coordination/probe_system.h"

#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

ProbeSystem::ProbeSystem(NodeState &state)
    : m_state(state)
{
}

void ProbeSystem::onVmListRead(const VmListRead &read)
{
    if (read.ok && m_state.vms.update(read.vms))
        m_state.groups.resolve(m_state.vms);
}

void ProbeSystem::onProbeDone(const ProbeDone &done, TimePoint now)
{
    Vm *vm = m_state.vms.find(done.vm);
    if (!vm)
        return;
    vm->probing = false;
    if (!done.ok) {
        m_state.counters.add(Counter::ProbesFailed);
        m_state.vms.suspect(done.vm, now);
        return;
    }
    m_state.vms.confirm(done.vm, done.report, done.sentAt);
    const std::optional<VmIndex> index = m_state.vms.indexOf(done.vm);
    m_state.groups.forEach([&](GroupIndex, Group &group) {
        if (!group.vms.empty() && group.vms.front() == index)
            onReportReceived(group, done.report);
    });
}

bool ProbeSystem::isDue(const Vm &vm, TimePoint now) const
{
    if (!vm.listed)
        return false;
    if (vm.probing)
        return now - vm.probeSentAt >= 2 * m_state.options.probeTimeout;
    return vm.probeSentAt == TimePoint() || now - vm.probeSentAt >= m_state.options.probeInterval;
}

void ProbeSystem::tick(const std::set<DomainId> &owned, TimePoint now, Actions &actions)
{
    if (!m_listRequested || now - m_listRequestedAt >= m_state.options.vmListInterval) {
        m_listRequested = true;
        m_listRequestedAt = now;
        actions.emplace_back(ReadVmList {m_state.newOperation()});
    }
    std::set<DomainId> domains = m_state.routed;
    domains.insert(owned.begin(), owned.end());
    for (const DomainId &domain : domains) {
        m_state.vms.forEachOfDomain(domain, [&](Vm &vm) {
            if (!isDue(vm, now))
                return;
            vm.probing = true;
            vm.probeSentAt = now;
            m_state.counters.add(Counter::ProbesSent);
            actions.emplace_back(SendProbe {vm.record.id, vm.record.address});
        });
    }
    m_state.groups.forEach([&](GroupIndex, Group &group) {
        const Vm *head = group.vms.empty() ? nullptr : m_state.vms.find(group.vms.front());
        if (head && head->probing && head->probeSentAt == now)
            onProbeSent(group);
    });
}

std::set<DomainId> routedDomains(const NodeState &state)
{
    std::vector<DomainId> domains = state.domains;
    if (domains.size() > state.options.maxRoutedDomains) {
        domains = rendezvousOrder(state.options.node.value(), domains,
                                  [](const DomainId &domain) { return domain.value(); });
        domains.resize(state.options.maxRoutedDomains);
    }
    return {domains.begin(), domains.end()};
}

} // namespace bramleypitch
