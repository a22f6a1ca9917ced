#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleypitch {

using BackendIndex = StrongType<struct BackendIndexTag, std::uint32_t>;

/// Where a VM stands in the group that it belongs to.
enum class MemberState {
    None, ///< It belongs to no group.
    Joining,
    Ready, ///< It holds the weights and waits, or works for the head.
    Open, ///< It is the head and takes requests.
    Closing,
    Broken,
};

/// The group that a VM says it belongs to.
struct GroupClaim
{
    GroupId name; ///< Empty: none.
    Generation generation;
    std::uint32_t rank = 0; ///< 0 is the head.
    MemberState state = MemberState::None;

    bool operator==(const GroupClaim &) const = default;
};

/// What a backend server last said of itself.
struct BackendReport
{
    VmId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    DomainId domain;
    std::uint32_t slots = 0;
    bool draining = false;
    Duration coldFor {0}; ///< How much longer it bears only a little load.
    ModelId model; ///< That it runs or ran last; empty for none and for plain servers.
    std::vector<ModelId> staged; ///< Whose weights lie on the VM.
    GroupClaim group;
    std::int64_t startedAt = 0; ///< Unix milliseconds; tells one life from the next.

    bool operator==(const BackendReport &) const = default;
};

/// Whether the store lists a server.
enum class Listing {
    Listed,
    Lapsed, ///< Its entry vanished while the store was away and may come back: it still serves.
    Overdue, ///< It lapsed longer ago than a leaving server may be sent work: nothing new is sent.
    Missing, ///< Its entry is gone: nothing is sent to it, but it may still serve its group's head.
};

/// Why a server is suspected.
enum class Suspicion {
    Failure, ///< It failed a request; others may still succeed there.
    Silence, ///< Nothing came from it, or no connection could be made.
};

/// A backend server with what is known of it here.
struct Backend
{
    BackendReport report;
    TimePoint reportedAt; ///< When this node learnt the report.
    TimePoint coldUntil;
    ModelId
        lastModel; ///< Of the group it was last in during this life; it still holds the weights.
    Listing listing = Listing::Listed;
    std::uint32_t ownRunning = 0; ///< Requests of this node on it.
    std::uint32_t peersRunning = 0; ///< Requests of the other nodes, as they last said.
    TimePoint suspectUntil; ///< It failed a request or stalled: others go first until then.
    bool suspectedBySilence = false; ///< Its next progress ends the suspicion.
    TimePoint ownSuspicionUntil; ///< As far as this node's own requests show.
    TimePoint lastProgress; ///< When it last sent an event or answer, to whichever node.
    TimePoint ownProgress; ///< The same, to this node.
    TimePoint ownRunningSince; ///< Since when this node has had requests on it all the time.
    double gapMs = 0; ///< Smoothed milliseconds between events of a stream; 0 before the first.
    TimePoint openSince; ///< When this node saw it begin to take requests; epoch if it did before.
    TimePoint coldSince; ///< When this node learnt that it is cold.
    TimePoint coldDispatchAt; ///< When this node last sent it a request while it was cold.
};

} // namespace bramleypitch
