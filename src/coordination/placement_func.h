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

/// Bounds that placement and the serve gate share; the first must cover the second.
struct PlacementLimits
{
    Duration memberFreshness {1'500}; ///< A member's confirmation opens a gate for so long.
    Duration clockMargin {200}; ///< Added to every wait for another node's clock to run out.
    Duration lossAfter {2'000}; ///< A member unheard of for so long has left its group.
    Duration orderLifetime {10'000}; ///< An order may still arrive so long after it was sent.
};

/// A VM with the fence of the release it confirmed: an earlier release's confirmation proves
/// nothing for a later one.
using ReleaseKey = std::pair<VmId, Generation>;

/// What the owner of a domain knows beyond the placement value.
struct PlanInput
{
    DomainId domain;
    const Envelope *envelope = nullptr;
    const VmTable *vms = nullptr;
    std::vector<NodeRecord> nodes; ///< Lease holders, as the platform listed them.
    std::map<ReleaseKey, TimePoint> releasedAt; ///< When each released VM confirmed it is free.
    TimePoint ownerSince; ///< Losses count only from here: before, nobody looked.
};

/// Reads a placement value; throws Failure(PlatformProtocol) if it is not one.
DomainPlacement parsePlacement(std::string_view text);
/// The placement value as stored, compact JSON.
std::string serializePlacement(const DomainPlacement &placement);

/// The next placement value of a domain, or none if it may stay. Pure: decides from its arguments.
/// Order: groups that lost a member or their reason are dissolved, released VMs that have waited
/// are freed, homes without lease are replaced, new groups are formed from free VMs.
std::optional<DomainPlacement> planDomain(const DomainPlacement &placement, const PlanInput &input,
                                          const PlacementLimits &limits, TimePoint now);

/// How long a released VM waits after confirming, before it may join another group.
Duration releaseWait(const ReleasedVm &released, const PlacementLimits &limits);

/// Domain name under which a plain service's servers are placed: "service/NAME".
DomainId serviceDomain(const ServiceId &service);
/// The domains that an environment's document makes use of.
std::vector<DomainId> domainsOf(const Environment &environment);

/// The spare of a domain whose weights are to be fetched next, with the model, or none: a spare
/// that holds them already saves their loading when a member is lost.
struct Prefetch
{
    VmId vm;
    std::string model;
};
std::optional<Prefetch> nextPrefetch(const DomainPlacement &placement, const PlanInput &input,
                                     const PlacementLimits &limits, TimePoint now);

/// Accelerators that stay without a group although they are usable, given the span.
std::uint32_t strandedVms(std::uint32_t usable, std::uint32_t span);

} // namespace bramleypitch
