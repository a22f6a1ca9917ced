#include "coordination/vm_base.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Number of changes of the VM list after which a VM missing from it is removed.
constexpr std::uint32_t maxMissedLists = 600;

} // namespace

bool VmTable::update(const std::vector<VmRecord> &records)
{
    if (records == m_lastList)
        return false;
    m_lastList = records;
    m_vms.forEach([](VmIndex, Vm &vm) { ++vm.missedLists; });
    for (const VmRecord &record : records) {
        const auto [found, isNew] = m_index.try_emplace(record.id);
        if (isNew)
            found->second = m_vms.insert(Vm());
        Vm &vm = *m_vms.find(found->second);
        const bool hasSameAddress = vm.record.address == record.address;
        const bool wasLeaving = hasSameAddress && vm.listed && vm.record.leaving;
        if (!hasSameAddress)
            vm = Vm();
        vm.record = record;
        vm.record.leaving = record.leaving || wasLeaving;
        vm.missedLists = 0;
    }
    m_vms.forEach([](VmIndex, Vm &vm) { vm.listed = vm.missedLists == 0; });
    removeLongUnlisted();
    indexDomains();
    return true;
}

void VmTable::removeLongUnlisted()
{
    for (auto it = m_index.begin(); it != m_index.end();) {
        if (m_vms.find(it->second)->missedLists < maxMissedLists) {
            ++it;
            continue;
        }
        m_vms.erase(it->second);
        it = m_index.erase(it);
    }
}

void VmTable::indexDomains()
{
    m_domains.clear();
    m_vms.forEach([&](VmIndex index, Vm &vm) { m_domains[vm.record.domain].push_back(index); });
    for (auto &[domain, indices] : m_domains) {
        std::sort(indices.begin(), indices.end(), [&](VmIndex a, VmIndex b) {
            return m_vms.find(a)->record.id < m_vms.find(b)->record.id;
        });
    }
}

void VmTable::confirm(const VmId &id, const VmReport &report, TimePoint sentAt)
{
    Vm *vm = find(id);
    if (!vm || sentAt < vm->confirmedAt)
        return;
    vm->report = report;
    vm->confirmedAt = sentAt;
    vm->lastSeen = sentAt;
}

void VmTable::suspect(const VmId &id, TimePoint now)
{
    Vm *vm = find(id);
    if (!vm)
        return;
    vm->report.reset();
    // Reports of probes sent before this time must be ignored.
    vm->confirmedAt = std::max(vm->confirmedAt, now);
}

Vm *VmTable::find(const VmId &id)
{
    const std::optional<VmIndex> index = indexOf(id);
    return index ? m_vms.find(*index) : nullptr;
}

const Vm *VmTable::find(const VmId &id) const
{
    const std::optional<VmIndex> index = indexOf(id);
    return index ? m_vms.find(*index) : nullptr;
}

std::optional<VmIndex> VmTable::indexOf(const VmId &id) const
{
    const auto found = m_index.find(id);
    if (found == m_index.end())
        return std::nullopt;
    return found->second;
}

std::vector<const Vm *> VmTable::listedVmsOfDomain(const DomainId &domain) const
{
    std::vector<const Vm *> vms;
    const auto found = m_domains.find(domain);
    if (found == m_domains.end())
        return vms;
    for (const VmIndex index : found->second) {
        const Vm *vm = m_vms.find(index);
        if (vm->listed)
            vms.push_back(vm);
    }
    return vms;
}

} // namespace bramleypitch
