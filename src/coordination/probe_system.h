#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

#include <set>

namespace bramleypitch {

/// Probes the backend servers in the domains that this node routes to or owns, and reads the VM
/// list.
class ProbeSystem
{
public:
    explicit ProbeSystem(NodeState &state);

    /// Updates the VM table from the VM list of the platform.
    void onVmListRead(const VmListRead &read);
    /// Handles the result of a probe.
    void onProbeDone(const ProbeDone &done, TimePoint now);
    /// Reads the VM list and sends probes as they fall due. `owned` are the domains whose placement
    /// this node plans.
    void tick(const std::set<DomainId> &owned, TimePoint now, Actions &actions);

private:
    bool isDue(const Vm &vm, TimePoint now) const;

    NodeState &m_state;
    TimePoint m_listRequestedAt; ///< When the VM list was last requested.
    bool m_listRequested = false; ///< Whether the VM list has ever been requested.
};

/// Returns the domains to which this node routes: those with the highest rendezvous weight for it.
/// Their number is limited so that probes and tables remain bounded in a large fleet.
std::set<DomainId> routedDomains(const NodeState &state);

} // namespace bramleypitch
