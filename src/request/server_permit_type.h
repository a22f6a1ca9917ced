#pragma once

#include "core/strong_type.h"
#include "request/server_limit_type.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bramleypitch {

/// Number of a permit that a node has lent to another one.
using PermitNumber = StrongType<struct PermitNumberTag, std::uint64_t>;

/// The right to send one request to a server that has named a limit.
struct Permit
{
    VmId server;
    NodeId owner; ///< The node that lent it; empty if it is a share of this node.
    PermitNumber number; ///< Of a lent permit.
    std::size_t share = 0; ///< The own share that it uses.
    TimePoint takenAt;
    TimePoint shareUsedBefore; ///< When that share was used before.
    TimePoint validUntil; ///< An own share may be used again afterwards.
};

/// Message between two nodes on the limits of servers.
struct PermitMessage
{
    NodeId from;
    std::int64_t life = 0; ///< Identifies the run of the sender.
    TimePoint clock; ///< Send time by the clock of the sender.
    TimePoint echo; ///< Clock of the message that this one replies to.
    LimitNews limits; ///< What the sender knows of the servers that the message names.
    std::map<VmId, std::uint32_t> requests; ///< Permits that the sender asks for.
    std::map<PermitNumber, VmId> grants; ///< Permits that the sender lends.
    std::map<VmId, Duration> denials; ///< Time until the sender may lend a permit.
    /// Permits that were lent to the sender and have ended: the time since each was used, or
    /// nothing if it was not.
    std::map<PermitNumber, std::optional<Duration>> settled;

    bool operator==(const PermitMessage &) const = default;
    bool empty() const
    {
        return requests.empty() && grants.empty() && denials.empty() && settled.empty();
    }
};

/// How a limit is divided: each share permits one request in an interval.
struct LimitShares
{
    std::size_t count = 0;
    Duration interval {0};

    bool operator==(const LimitShares &) const = default;
};

/// Bounds on the messages between nodes about permits.
struct PermitBounds
{
    /// Of each kind in one message. They fit into a datagram with the longest names of servers.
    static constexpr std::size_t entries = 64;
    static constexpr std::size_t lentPermits = 4'096; ///< That a node has lent and not got back.
};

/// Counts of permits since the start of the node.
struct PermitCounts
{
    std::uint64_t own = 0; ///< Requests sent by an own share.
    std::uint64_t borrowed = 0; ///< Requests sent by a permit of another node.
    std::uint64_t lent = 0;
    std::uint64_t returned = 0; ///< Lent to this node and not used.
};

} // namespace bramleypitch
