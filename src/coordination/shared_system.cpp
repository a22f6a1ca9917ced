#include "coordination/shared_system.h"

#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

SharedSystem::SharedSystem(NodeState &state)
    : m_state(state)
{
}

bool SharedSystem::isWatcher() const
{
    std::vector<NodeId> sameZone;
    for (const MemberEntry &entry : m_state.members.view()) {
        if (entry.zone == m_state.options.zone)
            sameZone.push_back(entry.node);
    }
    const auto order =
        rendezvousOrder("watch", sameZone, [](const NodeId &node) { return node.value(); });
    for (std::size_t i = 0; i < order.size() && i < m_state.options.watchersPerZone; ++i) {
        if (order[i] == m_state.options.node)
            return true;
    }
    return false;
}

std::vector<std::string> SharedSystem::onSharedRead(const SharedRead &read)
{
    if (!read.ok || read.operation != m_readOperation)
        return {};
    Revision sourceNewest = m_readAbove;
    for (const SharedValue &value : read.values)
        sourceNewest = std::max(sourceNewest, value.revision);
    return m_state.shared.merge(read.values, sourceNewest, read.sentAt);
}

void SharedSystem::onSharedWatched(const SharedWatchUpdated &watched, TimePoint now,
                                   Actions &actions)
{
    if (watched.ended) {
        m_watching = false;
        return;
    }
    m_state.readSharedNow = true;
    readShared(now, actions);
}

std::vector<std::string> SharedSystem::onSharedPulled(const SharedPulled &pulled)
{
    if (!pulled.known)
        return {};
    return m_state.shared.merge(pulled.values, pulled.newest, pulled.sentAt - pulled.evidenceAge);
}

void SharedSystem::onLeaseRenewed(const LeaseRenewed &renewed, Actions &actions)
{
    if (!renewed.ok)
        return;
    if (renewed.incarnation != m_state.lease.incarnation) {
        m_state.lease.incarnation = renewed.incarnation;
        m_state.members.setIncarnation(renewed.incarnation);
        actions.emplace_back(
            LogChange {"lease_granted", std::to_string(renewed.incarnation.value())});
    }
    m_state.lease.validUntil = renewed.sentAt + renewed.timeToLive - m_state.options.leaseMargin;
}

void SharedSystem::heartbeat(const HeartbeatReceived &received, TimePoint now, Actions &actions)
{
    const Heartbeat &heartbeat = received.heartbeat;
    m_state.counters.add(Counter::HeartbeatsReceived);
    m_state.members.merge(heartbeat.members, now);
    if (received.isReply)
        m_state.lastAnsweredHeartbeatAt =
            std::max(m_state.lastAnsweredHeartbeatAt, received.sentAt);
    if (!heartbeat.known)
        return;
    m_state.newestPeerRevision = std::max(m_state.newestPeerRevision, heartbeat.newest);
    const bool peerIsAhead = heartbeat.newest > m_state.shared.newest() || !m_state.shared.known();
    if (peerIsAhead) {
        const Member *peer = m_state.members.find(heartbeat.from);
        if (!peer)
            return;
        m_state.counters.add(Counter::SharedPulls);
        actions.emplace_back(PullShared {peer->entry.peerAddress, m_state.shared.newest()});
        return;
    }
    // Only a reply allows converting the age to this node's clock: the peer measured it after the
    // request was sent, so subtracting it from the send time gives a safe lower bound.
    if (received.isReply && heartbeat.newest == m_state.shared.newest())
        m_state.shared.merge({}, heartbeat.newest, received.sentAt - heartbeat.evidenceAge);
}

Heartbeat SharedSystem::createHeartbeat(TimePoint now) const
{
    Heartbeat heartbeat;
    heartbeat.from = m_state.options.node;
    heartbeat.members = m_state.members.digest(now);
    heartbeat.newest = m_state.shared.newest();
    heartbeat.known = m_state.shared.known();
    heartbeat.evidenceAge = now - m_state.shared.evidence();
    return heartbeat;
}

void SharedSystem::renewLease(TimePoint now, Actions &actions)
{
    if (m_state.stopping || (m_started && now - m_renewAt < m_state.options.leaseRenewInterval))
        return;
    m_renewAt = now;
    m_state.counters.add(Counter::PlatformWrites);
    actions.emplace_back(RenewLease {m_state.newOperation(), m_state.members.self()});
}

void SharedSystem::readShared(TimePoint now, Actions &actions)
{
    const bool isDue = !m_started || now - m_readAt >= m_state.options.sharedReadInterval;
    // A node without any values yet, or cut off from the watchers, reads the platform itself.
    const bool isCutOff = !m_state.shared.known()
        || now - m_state.shared.evidence() >= m_state.options.configurationFreshness / 2;
    if (!m_state.readSharedNow && (!isDue || (!isCutOff && !isWatcher())))
        return;
    m_state.readSharedNow = false;
    if (!m_watching && isWatcher()) {
        m_watching = true;
        actions.emplace_back(WatchShared {m_state.shared.newest()});
    }
    m_readAt = now;
    m_readAbove = m_state.shared.newest();
    m_readOperation = m_state.newOperation();
    m_state.counters.add(Counter::PlatformReads);
    actions.emplace_back(ReadShared {m_readOperation, m_readAbove});
}

void SharedSystem::sendHeartbeats(TimePoint now, Actions &actions)
{
    if (m_started && now - m_heartbeatAt < m_state.options.heartbeatInterval)
        return;
    m_heartbeatAt = now;
    m_state.members.tick(now);
    m_state.members.setLeaving(m_state.stopping);
    const Heartbeat heartbeat = createHeartbeat(now);
    for (const MemberEntry &target : m_state.members.heartbeatTargets(now, m_state.random)) {
        m_state.counters.add(Counter::HeartbeatsSent);
        actions.emplace_back(SendHeartbeat {target.peerAddress, target.node, heartbeat});
    }
}

void SharedSystem::tick(TimePoint now, Actions &actions)
{
    renewLease(now, actions);
    readShared(now, actions);
    sendHeartbeats(now, actions);
    m_started = true;
}

} // namespace bramleypitch
