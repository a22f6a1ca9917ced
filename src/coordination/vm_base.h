#pragma once

#include "coordination/vm_type.h"
#include "core/pool_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bramleypitch {

/// The backend servers that this node knows, by VM. Indices stay valid until update() says that
/// the table has changed.
class VmTable
{
public:
    /// Takes in a whole VM list and returns whether it changed anything. VMs it no longer names
    /// stay for a while, marked as not listed. A leaving mark is only taken back by leaving the
    /// list and coming again, as the list lags.
    bool update(const std::vector<VmRecord> &records);
    /// A probe sent at `sentAt` brought a report. Reports older than the one held are dropped.
    void confirm(const VmId &vm, const VmReport &report, TimePoint sentAt);
    /// Any sign of loss: a refused or broken connection, or a probe without answer.
    void suspect(const VmId &vm, TimePoint now);

    Vm *find(const VmId &vm);
    const Vm *find(const VmId &vm) const;
    const Vm *find(VmIndex index) const { return m_vms.find(index); }
    /// The index of a VM, or none.
    std::optional<VmIndex> indexOf(const VmId &vm) const;
    /// The listed VMs of a fabric domain, by id.
    std::vector<const Vm *> ofDomain(const DomainId &domain) const;
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
    void forgetLongUnlisted();
    void indexDomains();

    Pool<Vm, VmIndex> m_vms;
    std::unordered_map<VmId, VmIndex> m_index;
    std::map<DomainId, std::vector<VmIndex>> m_domains;
    std::vector<VmRecord> m_lastList;
};

} // namespace bramleypitch
