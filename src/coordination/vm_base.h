#pragma once

#include "coordination/vm_type.h"

#include <map>
#include <vector>

namespace bramleypitch {

/// The backend servers that this node knows, by VM.
class VmTable
{
public:
    /// Takes in a whole VM list. VMs it no longer names stay, marked as not listed. A leaving mark
    /// is only taken back by leaving the list and coming again, as the list lags.
    void update(const std::vector<VmRecord> &records);
    /// A probe sent at `sentAt` brought a report. Reports older than the one held are dropped.
    void confirm(const VmId &vm, const VmReport &report, TimePoint sentAt);
    /// Any sign of loss: a refused or broken connection, or a probe without answer.
    void suspect(const VmId &vm, TimePoint now);

    Vm *find(const VmId &vm);
    const Vm *find(const VmId &vm) const;
    /// The listed VMs of a fabric domain, by id.
    std::vector<const Vm *> ofDomain(const DomainId &domain) const;

    std::map<VmId, Vm> &all() { return m_vms; }
    const std::map<VmId, Vm> &all() const { return m_vms; }

private:
    std::map<VmId, Vm> m_vms;
};

} // namespace bramleypitch
