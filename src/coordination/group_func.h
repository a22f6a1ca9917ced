#pragma once

#include "coordination/environment_type.h"
#include "coordination/group_type.h"
#include "coordination/placement_func.h"
#include "coordination/vm_base.h"

namespace bramleypitch {

/// This node's lease as it may rely on it: by its own clock, less a margin.
struct OwnLease
{
    NodeId node;
    Incarnation incarnation;
    TimePoint validUntil;
};

/// The serve gate: open only while every member confirmed this very group and generation within
/// the freshness bound, none is leaving and none is in a zone that is out. It is asked before
/// each dispatch with the present time, so a node that was paused finds it shut.
GateState gateState(const Group &group, const VmTable &vms, const Envelope &envelope,
                    const PlacementLimits &limits, TimePoint now);

/// Whether every member has completed enough answers since its boot.
bool isWarm(const Group &group, const VmTable &vms);

/// A probe of the group's head is being sent.
void noteProbe(Group &group);

/// Takes in the load that the group's head reported; other nodes' share is never underrated.
/// Attempts given up before the probe was sent are in the report if they still run.
void noteReport(Group &group, const VmReport &report);

/// One of this node's attempts on the group has ended. The server may bear an attempt that was
/// given up until a later report shows that it does not; one that was not heard of may even
/// arrive only now, and a cold server is spared for that long.
void noteEnded(Group &group, AttemptEnd end, TimePoint now);

/// How many more requests this node may send to an open group now. While the group is cold only
/// its home may send, and only while the home's own lease holds.
std::uint32_t freeSlots(const Group &group, const VmTable &vms, const OwnLease &lease,
                        TimePoint now);

} // namespace bramleypitch
