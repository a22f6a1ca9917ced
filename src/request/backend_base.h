#pragma once

#include "core/pool_type.h"
#include "request/backend_type.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace bramleypitch {

/// Requests that one node has running, by backend server.
using RunningCounts = std::unordered_map<VmId, std::uint32_t>;

/// Names one formation of a group.
struct FormationKey
{
    GroupId name;
    Generation generation;
    auto operator<=>(const FormationKey &) const = default;
};

/// The backend servers of all services, and which of them take requests for a model.
class BackendTable
{
public:
    /// Takes a report in; a server that started anew loses what was known of its former life.
    void update(const BackendReport &report, TimePoint now);
    /// The store lists the server no more.
    void erase(const VmId &id);
    /// Marks a server whose entry vanished while the store was away.
    void setListing(const VmId &id, Listing listing);

    Backend *find(const VmId &id);
    const Backend *find(const VmId &id) const;
    Backend *find(BackendIndex index) { return m_pool.find(index); }
    const Backend *find(BackendIndex index) const { return m_pool.find(index); }

    /// The servers to which requests of a service are sent, for `model` where it is not empty: the
    /// heads of open groups whose members are all present, or plain servers.
    const std::vector<BackendIndex> &targets(const ServiceId &service, const ModelId &model,
                                             const ServingConfiguration &configuration);
    /// Whether the server takes requests: neither leaving nor, for a head, short of a member.
    bool isServable(const Backend &backend, const ServingConfiguration &configuration) const;
    /// Every server of a fabric domain, in the order of their ids.
    std::vector<const Backend *> inDomain(const DomainId &domain) const;
    /// Every fabric domain that a server named.
    std::set<DomainId> domains() const;

    /// The groups of a fabric domain that are being taken apart: they take no new requests.
    void setDissolving(const DomainId &domain, std::set<FormationKey> groups);

    /// A request of this node was sent to a server.
    void dispatched(Backend &backend, TimePoint now);
    /// A server sent an event or an answer to this node.
    void progressed(Backend &backend, TimePoint now);
    /// A request of this node failed at a server, which comes last for a while.
    void suspect(Backend &backend, Suspicion reason, Duration duration, TimePoint now);
    /// Replaces what a peer said to have running. An empty count forgets the peer.
    void setPeerRunning(const NodeId &peer, const RunningCounts &counts);
    /// Servers that this node's own requests show as failing, for how much longer they come last.
    std::map<VmId, Duration> suspects(TimePoint now) const;
    /// What a peer suspects is suspected here as well, unless the server answers this node.
    void addSuspects(const std::map<VmId, Duration> &suspects, TimePoint now);
    /// Servers that sent something to this node a moment ago, and how long ago.
    std::map<VmId, Duration> heard(TimePoint now) const;
    /// What a peer heard of servers.
    void addHeard(const std::map<VmId, Duration> &heard, TimePoint now);
    /// This node's own requests, by server.
    RunningCounts ownRunning() const;
    /// Counts up on each change that may alter targets().
    std::uint64_t version() const { return m_version; }

    template<typename Visit>
    void forEach(Visit visit)
    {
        m_pool.forEach([&](BackendIndex index, Backend &backend) { visit(index, backend); });
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

    void changed() { ++m_version; }
    void countMembers() const;
    /// A sign of life at `at`: it ends a suspicion of silence.
    static void noteProgress(Backend &backend, TimePoint at);

    Pool<Backend, BackendIndex> m_pool;
    std::unordered_map<VmId, BackendIndex> m_byId;
    std::map<TargetKey, TargetList> m_targets;
    std::map<NodeId, RunningCounts> m_peers;
    std::uint64_t m_version = 1;
    std::map<DomainId, std::set<FormationKey>> m_dissolving;
    mutable std::map<FormationKey, std::uint32_t> m_presentMembers;
    mutable std::uint64_t m_membersVersion = 0;
};

} // namespace bramleypitch
