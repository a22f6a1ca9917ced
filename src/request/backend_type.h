#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleypitch {

using BackendIndex = StrongType<struct BackendIndexTag, std::uint32_t>;

/// State of a VM within its group.
enum class MemberState {
    None, ///< The VM belongs to no group.
    Joining,
    Ready, ///< The weights are loaded. The VM waits, or works for the head of the group.
    Open, ///< The VM is the head of the group and takes requests.
    Closing,
    Broken,
};

/// The group that a VM reports to belong to.
struct GroupMembership
{
    GroupId name; ///< Empty if the VM belongs to no group.
    Generation generation;
    std::uint32_t rank = 0; ///< 0 is the head.
    MemberState state = MemberState::None;

    bool operator==(const GroupMembership &) const = default;
};

/// The latest state that a backend server published about itself.
struct BackendReport
{
    VmId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    DomainId domain;
    std::uint32_t slots = 0;
    bool draining = false;
    Duration coldTimeLeft {0}; ///< Remaining cold-start time, in which the request rate is limited.
    ModelId model; ///< Current or last model. Empty if none, and for plain servers.
    std::vector<ModelId> staged; ///< Models whose weights are stored on the VM.
    GroupMembership group;
    std::int64_t startedAt = 0; ///< Unix milliseconds. Changes when the server restarts.
    std::int64_t number = 0; ///< Of this report since the server's start. 0 if it is not known.

    bool operator==(const BackendReport &) const = default;
};

/// One start of a server.
struct ServerRun
{
    VmId server;
    std::int64_t startedAt = 0; ///< As in BackendReport::startedAt.

    auto operator<=>(const ServerRun &) const = default;
};

/// How the end of the response to an attempt is known.
enum class ResponseEnd {
    Framed, ///< By its length or its last chunk.
    ConnectionClose, ///< By the end of the connection alone. The server may have ended.
    None, ///< The attempt was given up while its server was silent.
};

/// Whether the store lists a server, and whether it can be used if not.
enum class Listing {
    Listed,
    /// The entry disappeared during a store outage and may return. The server still takes requests.
    Lapsed,
    /// The entry lapsed longer ago than a stopping server may still be sent requests. The server
    /// gets no new requests.
    Overdue,
    /// The entry disappeared while the store was reachable. The server gets no requests, but may
    /// still work for the head of its group.
    Missing,
};

/// Why a server is suspected.
enum class Suspicion {
    Failure, ///< A request failed there. Other requests may still succeed.
    Silence, ///< It sent nothing, or no connection could be established.
};

/// A backend server with the state that this node keeps for it.
struct Backend
{
    BackendReport report;
    TimePoint reportReceivedAt; ///< When this node received the report.
    TimePoint coldUntil;
    /// Model of the last group that the server was in since it started. It still holds the weights.
    ModelId lastModel;
    Listing listing = Listing::Listed;
    std::uint32_t ownRunning = 0; ///< Running requests of this node.
    std::uint64_t ownTokens = 0; ///< Tokens of the running requests of this node.
    std::size_t ownUnsentBytes = 0; ///< Of bodies of these that wait to be written to it.
    std::uint32_t peersRunning = 0; ///< Running requests of the other nodes, as last reported.
    TimePoint suspectUntil; ///< Other servers are preferred until then, after a failure or stall.
    bool isSuspectedForSilence = false; ///< Progress of the server ends the suspicion.
    TimePoint ownSuspectUntil; ///< The part of the suspicion that own requests caused.
    TimePoint lastProgress; ///< When it last sent an event or a response to any node.
    TimePoint unreachableAt; ///< When a connection of this node to it last failed.
    TimePoint peerProgress; ///< When it last sent something to another node, as last reported.
    TimePoint ownProgress; ///< When it last sent an event or a response to this node.
    TimePoint ownRunningSince; ///< Start of the time with at least one own request running.
    double eventGapMs = 0; ///< Smoothed milliseconds between stream events. 0 if not measured yet.
    TimePoint openedAt; ///< When it was seen to open its group. Epoch if it was open before.
    TimePoint coldSince; ///< When this node learnt of the current cold phase.
    TimePoint pausedUntil; ///< The server asked this node for no requests until then.
    TimePoint lastColdDispatchAt; ///< When this node last sent a request to it while it was cold.
};

} // namespace bramleypitch
