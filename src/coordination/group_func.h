#pragma once

#include "coordination/environment_type.h"
#include "coordination/group_type.h"
#include "coordination/placement_func.h"
#include "coordination/vm_base.h"

namespace bramleypitch {

/// This node's lease. The expiry is given by the node's own clock and reduced by a safety margin.
struct OwnLease
{
    NodeId node;
    Incarnation incarnation;
    TimePoint validUntil;
};

/// The admission check of a group, called the serve gate. The gate is open only if every member has
/// confirmed this group and generation within the freshness bound, no member is leaving and no
/// member is in a zone that is out of service. It must be evaluated with the current time before
/// each dispatch, so that a node that was paused does not dispatch on outdated confirmations.
GateState gateState(const Group &group, const VmTable &vms, const Envelope &envelope,
                    const PlacementLimits &limits, TimePoint now);

/// Whether every member has completed enough requests since its boot.
bool isWarm(const Group &group, const VmTable &vms);

/// Records the number of running and abandoned attempts when a probe is sent to the head of the
/// group, i.e. its first member.
void onProbeSent(Group &group);

/// Updates the load of other nodes from a report of the head. The estimate is never too low.
/// Attempts abandoned before the probe was sent are no longer counted separately, since the report
/// includes them if they are still running.
void onReportReceived(Group &group, const VmReport &report);

/// Updates the load after one of this node's attempts has ended. An abandoned attempt counts as
/// running until a later probe has been answered. A request without any response may even arrive at
/// the server later, so it also counts against the limit of a cold group for some time.
void onAttemptEnded(Group &group, AttemptOutcome end, TimePoint now);

/// Returns how many more requests this node may send to a group whose gate is open. Only the home
/// node may send to a cold group, and only while its lease is valid.
std::uint32_t freeSlots(const Group &group, const VmTable &vms, const OwnLease &lease,
                        TimePoint now);

} // namespace bramleypitch
