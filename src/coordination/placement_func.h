#pragma once

#include "coordination/environment_type.h"
#include "coordination/member_type.h"
#include "coordination/placement_type.h"
#include "coordination/vm_base.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace bramleypitch {

/// Time limits shared by placement and the serve gate. Before placement reuses a VM, it must wait
/// until the gate of the VM's former group is certain to be closed on every node.
struct PlacementLimits
{
    Duration memberFreshness {1'500}; ///< How long a member's confirmation keeps a gate open.
    Duration clockMargin {200}; ///< Added to each wait for a time limit on another node.
    Duration memberLossTimeout {
        2'000}; ///< A member silent for this long is removed from its group.
    Duration orderLifetime {10'000}; ///< How long after sending an order may still arrive.
};

/// A VM and the fencing token of a release order. The confirmation of an earlier release is not
/// valid for a later one.
using ReleaseKey = std::pair<VmId, Generation>;

/// Input of the placement planner besides the placement value itself.
struct PlanInput
{
    DomainId domain;
    const Envelope *envelope = nullptr;
    const VmTable *vms = nullptr;
    std::vector<NodeRecord> nodes; ///< Nodes that hold a lease according to the platform.
    std::map<ReleaseKey, TimePoint>
        releaseConfirmedAt; ///< When released VMs confirmed that they are free.
    /// When this node became the owner of the domain. Silence of a VM counts only after this time,
    /// as this node may not have probed it before.
    TimePoint ownerSince;
};

/// Parses a placement value. Throws Failure(PlatformProtocol) if it is malformed.
DomainPlacement parsePlacement(std::string_view text);
/// Serializes a placement value to the compact JSON kept in the store.
std::string serializePlacement(const DomainPlacement &placement);

/// Returns the next placement value of a domain, or none if no change is needed. This is a pure
/// function of its arguments. In this order, it dissolves groups that have lost a member or are no
/// longer required, frees released VMs whose wait is over, replaces homes without a lease, and
/// forms new groups from free VMs.
std::optional<DomainPlacement> planDomain(const DomainPlacement &placement, const PlanInput &input,
                                          const PlacementLimits &limits, TimePoint now);

/// Returns how long a released VM must wait after its confirmation before it may join another
/// group.
Duration releaseWait(const ReleasedVm &released, const PlacementLimits &limits);

/// Returns the name of the domain in which the servers of a service are placed: "service/NAME".
DomainId serviceDomain(const ServiceId &service);
/// Returns the domains used by the model groups and services of an environment.
std::vector<DomainId> referencedDomains(const Environment &environment);

/// A spare VM, i.e. one without a group, and the model whose weights it is to fetch in advance.
struct Prefetch
{
    VmId vm;
    std::string model;
};

/// Selects the next spare VM of a domain that is to fetch model weights, or none. A spare that
/// already holds the weights does not have to load them when it replaces a lost member.
std::optional<Prefetch> nextPrefetch(const DomainPlacement &placement, const PlanInput &input,
                                     const PlacementLimits &limits, TimePoint now);

/// Returns how many usable VMs remain without a group because they are too few for another one.
std::uint32_t strandedVms(std::uint32_t usable, std::uint32_t span);

} // namespace bramleypitch
