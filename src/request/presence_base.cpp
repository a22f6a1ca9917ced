#include "request/presence_base.h"

#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

const std::string feederKey = "feeder/";

} // namespace

PresenceTable::PresenceTable(PresenceOptions options)
    : m_options(std::move(options))
{
}

void PresenceTable::setRecord(const PresenceRecord &record, TimePoint now)
{
    if (record.node == m_options.own.node)
        return;
    Peer &peer = m_peers[record.node];
    if (peer.record != record)
        peer.recordAt = now;
    peer.record = record;
}

void PresenceTable::eraseRecord(const NodeId &node)
{
    const auto found = m_peers.find(node);
    if (found != m_peers.end())
        found->second.record.reset();
}

bool PresenceTable::pulseCame(const Pulse &pulse, TimePoint now)
{
    Peer &peer = m_peers[pulse.node];
    if (pulse.life == peer.pulse.life && pulse.number <= peer.pulse.number)
        return false;
    peer.pulse = pulse;
    peer.pulseAt = now;
    peer.counted = true;
    return true;
}

bool PresenceTable::alive(const Peer &peer, TimePoint now) const
{
    return now - peer.pulseAt < m_options.silence
        || (peer.record && now - peer.recordAt < m_options.newcomer);
}

bool PresenceTable::isLive(const NodeId &node, TimePoint now) const
{
    if (node == m_options.own.node)
        return true;
    const auto found = m_peers.find(node);
    return found != m_peers.end() && alive(found->second, now);
}

std::vector<NodeId> PresenceTable::live(TimePoint now) const
{
    std::vector<NodeId> nodes {m_options.own.node};
    for (const auto &[node, peer] : m_peers) {
        if (alive(peer, now))
            nodes.push_back(node);
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

std::vector<NodeId> PresenceTable::takeSilent(TimePoint now)
{
    std::vector<NodeId> silent;
    for (auto &[node, peer] : m_peers) {
        if (peer.counted && now - peer.pulseAt >= m_options.silence) {
            peer.counted = false;
            silent.push_back(node);
        }
    }
    return silent;
}

std::vector<Address> PresenceTable::peers(bool otherZones) const
{
    std::vector<Address> addresses;
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && (otherZones || peer.record->zone == m_options.own.zone))
            addresses.push_back(peer.record->peer);
    }
    return addresses;
}

bool PresenceTable::isFeeder(TimePoint now) const
{
    const ZoneId &zone = m_options.own.zone;
    std::vector<NodeId> nodes {m_options.own.node};
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && peer.record->zone == zone && alive(peer, now))
            nodes.push_back(node);
    }
    const NodeId *first = rendezvousFirst(feederKey + zone.value(), nodes, [](const NodeId &node) {
        return std::string_view(node.value());
    });
    return *first == m_options.own.node;
}

std::vector<PresenceTable::Fed> PresenceTable::fed(TimePoint now) const
{
    std::vector<Fed> fed;
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && peer.record->zone == m_options.own.zone
            && now - peer.pulseAt < m_options.silence && peer.pulse.held != Revision())
            fed.push_back({peer.record->peer, node, peer.pulse.held, peer.pulse.clock});
    }
    return fed;
}

NodeShare PresenceTable::share(TimePoint now) const
{
    NodeShare share;
    for (const auto &[node, peer] : m_peers) {
        const TimePoint seen = std::max(peer.pulseAt, peer.recordAt);
        if (!peer.record && now - seen >= m_options.boundMemory)
            continue;
        ++share.count;
        share.place += node < m_options.own.node ? 1 : 0;
    }
    return share;
}

std::vector<Address> PresenceTable::entries(const ZoneId &zone, std::size_t least,
                                            TimePoint now) const
{
    std::vector<Address> near;
    std::vector<Address> all;
    const auto add = [&](const PresenceRecord &record) {
        all.push_back(record.front);
        if (record.zone == zone)
            near.push_back(record.front);
    };
    if (m_taking)
        add(m_options.own);
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && peer.pulse.taking && now - peer.pulseAt < m_options.silence)
            add(*peer.record);
    }
    return near.size() >= least ? near : all;
}

std::map<ModelId, double> PresenceTable::demand(TimePoint now) const
{
    std::map<ModelId, double> sum;
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.pulseAt >= m_options.silence)
            continue;
        for (const auto &[model, requests] : peer.pulse.demand)
            sum[model] += requests;
    }
    return sum;
}

} // namespace bramleypitch
