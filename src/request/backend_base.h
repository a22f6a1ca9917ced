#pragma once

#include "core/pool_type.h"
#include "request/backend_type.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace bramleypitch {

/// Requests that one node has running, by backend server.
using RunningCounts = std::unordered_map<VmId, std::uint32_t>;

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

    /// Replaces what a peer said to have running. An empty count forgets the peer.
    void setPeerRunning(const NodeId &peer, const RunningCounts &counts);
    /// Servers that are to come last, for how much longer.
    std::map<VmId, Duration> suspects(TimePoint now) const;
    /// What a peer suspects is suspected here as well.
    void addSuspects(const std::map<VmId, Duration> &suspects, TimePoint now);
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
    struct ClaimKey
    {
        GroupId name;
        Generation generation;
        auto operator<=>(const ClaimKey &) const = default;
    };

    void changed() { ++m_version; }
    void countMembers() const;

    Pool<Backend, BackendIndex> m_pool;
    std::unordered_map<VmId, BackendIndex> m_byId;
    std::map<TargetKey, TargetList> m_targets;
    std::map<NodeId, RunningCounts> m_peers;
    std::uint64_t m_version = 1;
    mutable std::map<ClaimKey, std::uint32_t> m_presentMembers;
    mutable std::uint64_t m_membersVersion = 0;
};

} // namespace bramleypitch
