#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <optional>

namespace bramleypitch {

using VmIndex = StrongType<struct VmIndexTag, std::uint32_t>;

/// One VM as the platform's VM list gives it.
struct VmRecord
{
    VmId id;
    Address address;
    ZoneId zone;
    DomainId domain; ///< Fabric domain; for a plain service's VM, "service/NAME".
    bool leaving = false;

    bool operator==(const VmRecord &) const = default;
};

/// What an engine or service says it is doing.
enum class EngineState { Empty, Loading, Ready };

/// A backend server's own report, as a probe brought it.
struct VmReport
{
    BootId boot;
    EngineState state = EngineState::Empty;
    GroupId group; ///< Empty for services and for engines without order.
    Generation generation; ///< Fencing number of the order it obeys.
    std::string heldModel; ///< Weights on the VM, loaded or not.
    std::uint32_t running = 0;
    std::uint32_t completed = 0; ///< Answers completed since boot.
};

/// A VM with what is known of it here.
struct Vm
{
    VmRecord record;
    bool listed = false; ///< In the newest VM list.
    std::uint32_t missedLists = 0; ///< Changed lists since one named it.
    std::optional<VmReport> report; ///< None after any sign of loss, until the next good probe.
    TimePoint confirmedAt; ///< When the probe that brought the report was sent.
    TimePoint lastSeen; ///< Like confirmedAt, but kept through losses.
    bool probing = false; ///< A probe is on its way.
    TimePoint probeSentAt;
};

} // namespace bramleypitch
