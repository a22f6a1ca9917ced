#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <optional>

namespace bramleypitch {

using VmIndex = StrongType<struct VmIndexTag, std::uint32_t>;

/// An entry of the platform's VM list.
struct VmRecord
{
    VmId id;
    Address address;
    ZoneId zone;
    DomainId domain; ///< Fabric domain, or "service/NAME" for a VM of a service.
    bool leaving = false; ///< The platform is about to withdraw the VM.

    bool operator==(const VmRecord &) const = default;
};

/// State reported by an engine or service. An empty engine has no model loaded.
enum class EngineState { Empty, Loading, Ready };

/// The report of a backend server in the reply to a probe.
struct VmReport
{
    BootId boot;
    EngineState state = EngineState::Empty;
    GroupId group; ///< Empty for services and for engines that have no order.
    Generation generation; ///< Fencing token of the order it has accepted.
    std::string heldModel; ///< Model whose weights the VM holds, loaded or not.
    std::uint32_t running = 0; ///< Requests running now.
    std::uint32_t completed = 0; ///< Requests completed since boot.
};

/// A VM and the state that this node keeps for it.
struct Vm
{
    VmRecord record;
    bool listed = false; ///< The latest VM list contains it.
    std::uint32_t missedLists = 0; ///< Changes of the VM list since it last contained the VM.
    /// The last report. Empty from any sign of failure until the next successful probe.
    std::optional<VmReport> report;
    /// When the probe that returned the report was sent, or when the VM was last suspected.
    TimePoint confirmedAt;
    TimePoint lastSeen; ///< When the last successful probe was sent.
    bool probing = false; ///< A probe is waiting for its reply.
    TimePoint probeSentAt;
};

} // namespace bramleypitch
