#pragma once

#include "request/server_limit_base.h"
#include "request/server_permit_type.h"

#include <unordered_map>
#include <vector>

namespace bramleypitch {

/// Divides the limit of a server into shares of one request in an interval each.
///
/// The interval is longer than the time over which servers count, so that the shares together send
/// at most their number of requests in that time. Above a number of shares each of them is used
/// more often instead.
LimitShares limitShares(double perSecond);

/// The shares of this node in the limits of servers, and permits that nodes lend each other.
///
/// Each share is owned by one node, the first one by rendezvous hashing among all nodes that may
/// exist, whether they are live or not. The sum over all nodes therefore stays within the limit,
/// regardless of what each node knows about the others. A node that needs more than its own shares
/// asks the owners of other ones for permits, which are valid for a short time. A share that was
/// lent counts as used at the end of that time, until the borrower tells otherwise.
class PermitTable
{
public:
    explicit PermitTable(LimitTable &limits);

    /// Sets the nodes that may exist, sorted by name and including this one, and the run of this
    /// node, which started at `startedAt`. The shares of its earlier runs may just have been used.
    void setNodes(const NodeId &own, std::vector<NodeId> nodes, std::int64_t life,
                  TimePoint startedAt, TimePoint now);

    /// Whether a request may be sent to a server now: it has no limit, or there is a permit.
    bool mayTake(const ServerRun &run, TimePoint now);
    /// Takes a permit for a server with a limit; none if there is none, or no limit.
    std::optional<Permit> take(const ServerRun &run, TimePoint now);
    /// Whether a permit that was taken still holds.
    static bool isValid(const Permit &permit, TimePoint now) { return now <= permit.validUntil; }
    /// The request of a permit was written to the server.
    void onWritten(const Permit &permit, TimePoint now);
    /// The request of a permit was not written.
    void giveBack(const Permit &permit);
    /// The earliest time at which this node may have a permit, as far as it knows.
    TimePoint nextAt(const ServerRun &run, TimePoint now);

    /// Sets the number of permits that waiting requests need, by server. Asks other nodes for them,
    /// and returns those that are not needed.
    void setWanted(const std::map<ServerRun, std::uint32_t> &wanted, TimePoint now);
    /// The messages to send to other nodes since the last call.
    std::map<NodeId, PermitMessage> takeMessages(TimePoint now);
    /// Processes the message of another node. Returns the reply, which may be empty. Permits that
    /// were lent can be taken from now on.
    PermitMessage onMessage(const PermitMessage &message, TimePoint now);
    /// Forgets servers whose limits were forgotten.
    void prune(TimePoint now);

    const PermitCounts &counts() const { return m_counts; }

private:
    struct Share
    {
        std::size_t owner = 0; ///< Index of a node.
        /// When an own share was used, or may be used if it is lent. Epoch if it is not an own one.
        TimePoint usedAt;
    };
    /// A server with a limit.
    struct Server
    {
        std::int64_t startedAt = 0;
        std::uint64_t nodesVersion = 0;
        LimitShares division;
        std::vector<Share> shares; ///< At least division.count; the others were used before.
        std::vector<Permit> borrowed; ///< Permits of other nodes that were not taken yet.
        std::map<NodeId, TimePoint> deniedUntil; ///< By owners that had no permit to lend.
        std::map<NodeId, TimePoint> askedAt;
        std::size_t nextAsked = 0; ///< The share whose owner is asked next.
    };
    struct Lent
    {
        NodeId borrower;
        VmId server;
        std::size_t share = 0;
        TimePoint shareUsedBefore;
        TimePoint at;
    };
    struct Lender
    {
        std::int64_t life = 0;
        PermitNumber last; ///< Messages may arrive twice, or out of order.
    };

    /// The server if it has a limit, with its shares updated; null if it has none.
    Server *find(const ServerRun &run, TimePoint now);
    void updateShares(const VmId &id, Server &server, TimePoint now);
    bool isOwn(const Share &share) const { return m_nodes[share.owner] == m_own; }
    /// The own share that was not used for the longest time; null if none was unused for an
    /// interval.
    Share *readyShare(Server &server, TimePoint now) const;
    void askOwners(const VmId &id, Server &server, std::uint32_t count, TimePoint now);
    void lend(const NodeId &borrower, const VmId &id, std::uint32_t count, PermitMessage &reply,
              TimePoint now);
    /// Tells the owner of a permit that it has ended.
    void settle(const Permit &permit, std::optional<TimePoint> usedAt);

    LimitTable &m_limits;
    NodeId m_own;
    std::vector<NodeId> m_nodes;
    std::vector<std::uint64_t> m_nodeHashes; ///< Of the names of m_nodes.
    std::uint64_t m_nodesVersion = 1;
    TimePoint m_nodesChangedAt;
    std::int64_t m_life = 0;
    TimePoint m_startedAt;
    std::unordered_map<VmId, Server> m_servers;
    std::map<PermitNumber, Lent> m_lent;
    std::uint64_t m_lastNumber = 0;
    std::map<NodeId, Lender> m_lenders;
    std::map<NodeId, PermitMessage> m_outbox;
    /// When permits that were lent to this node were used, by owner; nothing if they were not.
    std::map<NodeId, std::map<PermitNumber, std::optional<TimePoint>>> m_settled;
    PermitCounts m_counts;
};

} // namespace bramleypitch
