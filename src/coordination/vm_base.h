#pragma once

#include "coordination/vm_type.h"
#include "core/pool_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bramleypitch {

/// The VMs known to this node with the state of their backend servers. Indices remain valid until
/// update() returns true.
class VmTable
{
public:
    /// Updates the table from a complete VM list and returns whether the list has changed. VMs that
    /// are no longer listed are kept for some time and marked as not listed. Since the list may be
    /// outdated, a VM once marked as leaving stays so until it has been missing from the list or
    /// has a new address.
    bool update(const std::vector<VmRecord> &records);
    /// Stores the report returned by a probe that was sent at `sentAt`. Reports older than the
    /// current one, or sent before the VM was last suspected, are ignored.
    void confirm(const VmId &vm, const VmReport &report, TimePoint sentAt);
    /// Marks a VM as possibly failed after a refused or broken connection or a probe without reply.
    void suspect(const VmId &vm, TimePoint now);

    Vm *find(const VmId &vm);
    const Vm *find(const VmId &vm) const;
    const Vm *find(VmIndex index) const { return m_vms.find(index); }
    /// Returns the index of a VM, or none if it is unknown.
    std::optional<VmIndex> indexOf(const VmId &vm) const;
    /// Returns the listed VMs of a fabric domain, sorted by id.
    std::vector<const Vm *> listedVmsOfDomain(const DomainId &domain) const;
    /// Calls visit(Vm &) for every VM of a fabric domain, listed or not.
    template<typename Visit>
    void forEachOfDomain(const DomainId &domain, Visit visit)
    {
        const auto found = m_domains.find(domain);
        if (found == m_domains.end())
            return;
        for (const VmIndex index : found->second)
            visit(*m_vms.find(index));
    }
    std::size_t size() const { return m_vms.size(); }

private:
    /// Removes VMs that have been missing from the list for too long.
    void removeLongUnlisted();
    /// Rebuilds the index of VMs by domain.
    void indexDomains();

    Pool<Vm, VmIndex> m_vms;
    std::unordered_map<VmId, VmIndex> m_index;
    std::map<DomainId, std::vector<VmIndex>> m_domains;
    std::vector<VmRecord> m_lastList;
};

} // namespace bramleypitch
