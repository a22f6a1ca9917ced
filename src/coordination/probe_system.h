#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

#include <set>

namespace bramleypitch {

/// Probes the backend servers that this node routes to or places, and reads the VM list.
class ProbeSystem
{
public:
    explicit ProbeSystem(NodeState &state);

    void vmListRead(const VmListRead &read);
    void probeDone(const ProbeDone &done, TimePoint now);
    /// Sends what is due; `owned` are the domains that this node places.
    void tick(const std::set<DomainId> &owned, TimePoint now, Actions &actions);

private:
    bool isDue(const Vm &vm, TimePoint now) const;

    NodeState &m_state;
    TimePoint m_listAskedAt;
    bool m_listAsked = false;
};

/// The fabric domains that this node routes to: those of highest rendezvous weight for it, so
/// that its probes and tables stay bounded however large the fleet is.
std::set<DomainId> routedDomains(const NodeState &state);

} // namespace bramleypitch
