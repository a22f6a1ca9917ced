#pragma once

#include "core/pool_type.h"
#include "request/backend_type.h"
#include "request/closed_group_table.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace bramleypitch {

/// Number of running requests of one node, by backend server.
using RunningCounts = std::unordered_map<VmId, std::uint32_t>;

/// Identifies one generation of a group.
struct GroupKey
{
    GroupId name;
    Generation generation;
    auto operator<=>(const GroupKey &) const = default;
};

/// The runs of servers that have announced in a response that they leave: the start of each run as
/// in BackendReport::startedAt.
using LeavingRuns = std::map<VmId, std::int64_t>;

/// The backend servers of all services. Determines which of them can take requests for a model.
class BackendTable
{
public:
    /// Adds or updates a server. If the server has restarted, its pause statistics, loaded model
    /// and suspicion are reset.
    void update(const BackendReport &report, TimePoint now);
    /// Removes a server that the store no longer lists.
    void erase(const VmId &id);
    /// Records whether the store lists the server.
    void setListing(const VmId &id, Listing listing);

    Backend *find(const VmId &id);
    const Backend *find(const VmId &id) const;
    Backend *find(BackendIndex index) { return m_pool.find(index); }
    const Backend *find(BackendIndex index) const { return m_pool.find(index); }

    /// The servers that can take requests of a service. For services with engines these are the
    /// heads of open groups of `model` whose members are all present; otherwise all plain servers
    /// of the service, and `model` is ignored.
    const std::vector<BackendIndex> &targets(const ServiceId &service, const ModelId &model,
                                             const ServingConfiguration &configuration);
    /// Bounds the memory for the results of targets(), which are invalid afterwards.
    void pruneTargets();
    /// Whether the server can take requests: it is listed or lapsed, is not draining and, in a
    /// service with engines, it is the head of an open group whose members are all present.
    bool isServable(const Backend &backend, const ServingConfiguration &configuration) const;
    /// All servers of a fabric domain, sorted by id.
    std::vector<const Backend *> serversInDomain(const DomainId &domain) const;
    /// The servers of all fabric domains that are named in server reports, by id.
    const std::map<DomainId, std::map<VmId, BackendIndex>> &domains() const { return m_domains; }

    /// Records that a run of a server has announced that it leaves. It counts as draining from now
    /// on, whatever its reports say; a later run does not. Returns whether this is new.
    bool markLeaving(const VmId &id, std::int64_t startedAt, TimePoint now);
    /// Start of the newest run of a server that any of its reports named. An entry may be outdated,
    /// so that the server is known to have started later. 0 if none is known.
    std::int64_t newestStart(const VmId &id) const;
    /// Adopts the runs that a peer node reports. Returns those that are new to this node.
    LeavingRuns mergeLeaving(const LeavingRuns &runs, TimePoint now);
    /// The runs of listed servers that have announced this to any node, and others that announced
    /// it to this node a short time ago, for the other nodes.
    LeavingRuns recentlyLeaving(TimePoint now) const;
    /// The server has asked this node for no requests until the given time. Holds across its runs
    /// and while its entry is missing.
    void pause(const VmId &id, TimePoint until, TimePoint now);

    /// The head refused a request of this node as it does not serve its group, which takes no new
    /// requests from now on. Returns whether this is new.
    bool closeGroup(const Backend &head, TimePoint now);
    /// Adopts the closed groups that a peer node reports. Returns the heads of those that are new
    /// to this node.
    std::vector<VmId> mergeClosedGroups(const ClosedGroups &groups, TimePoint now);
    /// The groups that heads refused to serve to this node a short time ago, for the other nodes.
    ClosedGroups recentlyClosed(TimePoint now) const { return m_closed.recent(now); }
    std::size_t closedGroups() const { return m_closed.size(); }
    /// Tries groups again that have been closed for long.
    void expireClosedGroups(TimePoint now);

    /// Sets the groups of a fabric domain that are being dissolved. They take no new requests.
    void setDissolving(const DomainId &domain, std::set<GroupKey> groups);

    /// Counts a request that this node sends to the server.
    void onDispatched(Backend &backend, TimePoint now);
    /// Records that the server sent an event or a response to this node.
    void onProgress(Backend &backend, TimePoint now);
    /// When any server last sent an event or a response to this node.
    TimePoint lastHeard() const { return m_lastHeard; }
    /// Marks the server as suspected after a request of this node failed there. Other servers are
    /// preferred to it for `duration`.
    void suspect(Backend &backend, Suspicion reason, Duration duration, TimePoint now);
    /// Replaces the running requests that a peer node reported. Empty counts remove the peer.
    void setPeerRunning(const NodeId &peer, const RunningCounts &counts);
    /// Servers that are suspected because of this node's own requests, with the remaining time.
    std::map<VmId, Duration> suspects(TimePoint now) const;
    /// Adopts the suspicions of a peer node, except for servers that showed progress recently.
    void mergeSuspects(const std::map<VmId, Duration> &suspects, TimePoint now);
    /// Servers with requests of this node that sent it something recently, with the elapsed time.
    std::map<VmId, Duration> recentProgress(TimePoint now) const;
    /// Merges the server progress that a peer node observed.
    void mergeRecentProgress(const std::map<VmId, Duration> &recentProgress, TimePoint now);
    /// Number of this node's own running requests, by server.
    RunningCounts ownRunning() const;
    /// Increases with each change that may alter the result of targets().
    std::uint64_t version() const { return m_version; }

    template<typename Visit>
    void forEach(Visit visit)
    {
        m_pool.forEach([&](BackendIndex index, Backend &backend) { visit(index, backend); });
    }
    template<typename Visit>
    void forEach(Visit visit) const
    {
        m_pool.forEach([&](BackendIndex index, const Backend &backend) { visit(index, backend); });
    }
    std::size_t size() const { return m_byId.size(); }

private:
    struct TargetKey
    {
        ServiceId service;
        ModelId model;
        auto operator<=>(const TargetKey &) const = default;
    };
    struct TargetList
    {
        std::uint64_t version = 0;
        std::uint64_t configuration = 0;
        std::vector<BackendIndex> servers;
    };

    struct LeavingMark
    {
        std::int64_t startedAt = 0; ///< The run that leaves.
        TimePoint learnedAt;
        bool isOwn = false; ///< This node received the response.
    };

    struct KnownRun
    {
        std::int64_t startedAt = 0;
        TimePoint seenAt;
    };

    void changed() { ++m_version; }
    void recordRun(const BackendReport &report, TimePoint now);
    bool addLeavingMark(const VmId &id, std::int64_t startedAt, bool isOwn, TimePoint now);
    bool isMarkedLeaving(const BackendReport &report, TimePoint now) const;
    void addToDomain(const BackendReport &report, BackendIndex index);
    void removeFromDomain(const BackendReport &report);
    /// Updates the number of present members by group if the table has changed.
    void updateMemberCounts() const;
    /// Records progress of the server at time `at`. Ends a suspicion that was caused by silence.
    static void recordProgress(Backend &backend, TimePoint at);

    Pool<Backend, BackendIndex> m_pool;
    std::unordered_map<VmId, BackendIndex> m_byId;
    std::map<DomainId, std::map<VmId, BackendIndex>> m_domains;
    std::map<TargetKey, TargetList> m_targets;
    std::map<NodeId, RunningCounts> m_peers;
    TimePoint m_lastHeard;
    std::map<VmId, KnownRun> m_newestRuns; ///< Outlives the server's entry for a while.
    std::map<VmId, LeavingMark> m_leaving;
    std::map<VmId, TimePoint> m_pauses;
    std::uint64_t m_version = 1;
    std::map<DomainId, std::set<GroupKey>> m_dissolving;
    ClosedGroupTable m_closed;
    mutable std::map<GroupKey, std::uint32_t> m_memberCounts;
    mutable std::uint64_t m_membersVersion = 0;
};

} // namespace bramleypitch
