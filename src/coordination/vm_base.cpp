#include "coordination/vm_base.h"

#include <algorithm>
#include <set>

namespace bramleypitch {

void VmTable::update(const std::vector<VmRecord> &records)
{
    std::set<VmId> before;
    for (auto &[id, vm] : m_vms) {
        if (vm.listed)
            before.insert(id);
        vm.listed = false;
    }
    for (const VmRecord &record : records) {
        Vm &vm = m_vms[record.id];
        const bool sameVm = vm.record.address == record.address;
        const bool wasLeaving = sameVm && vm.record.leaving && before.count(record.id);
        if (!sameVm)
            vm = Vm {};
        vm.record = record;
        vm.record.leaving = record.leaving || wasLeaving;
        vm.listed = true;
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
    // A probe that was under way before the loss may not confirm afterwards.
    vm->confirmedAt = std::max(vm->confirmedAt, now);
}

Vm *VmTable::find(const VmId &id)
{
    const auto found = m_vms.find(id);
    return found == m_vms.end() ? nullptr : &found->second;
}

const Vm *VmTable::find(const VmId &id) const
{
    const auto found = m_vms.find(id);
    return found == m_vms.end() ? nullptr : &found->second;
}

std::vector<const Vm *> VmTable::ofDomain(const DomainId &domain) const
{
    std::vector<const Vm *> vms;
    for (const auto &[id, vm] : m_vms) {
        if (vm.listed && vm.record.domain == domain)
            vms.push_back(&vm);
    }
    return vms;
}

} // namespace bramleypitch
