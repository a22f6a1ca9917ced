#include "request/membership_base.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bramleypitch {

namespace {

const std::string representativeKey = "feeder/";
const std::string watcherKey = "watcher";
/// A node of which nothing was heard for this time after the start of this node takes no requests:
/// pulses of the own zone have arrived by then, and digests of the others.
constexpr Duration ownZoneHearingTime {500};
constexpr Duration otherZoneHearingTime {1'500};

using Records = std::vector<const MembershipRecord *>;

std::string_view nameOf(const MembershipRecord *record)
{
    return record->node.value();
}

/// Removes the nodes with less than half of the processor share of the largest one.
void keepLargest(Records &records)
{
    double most = 0;
    for (const MembershipRecord *record : records)
        most = std::max(most, record->cores);
    std::erase_if(records, [most](const auto *record) { return 2 * record->cores < most; });
}

template<typename Key, typename Value>
void addTo(std::map<Key, Value> &sum, const std::map<Key, Value> &part)
{
    for (const auto &[key, value] : part)
        sum[key] += value;
}

/// Keeps the first entries of a map by an order of their values.
template<typename Key, typename Value, typename Less>
void keepFirst(std::map<Key, Value> &entries, std::size_t count, Less less)
{
    if (entries.size() <= count)
        return;
    std::vector<std::pair<Key, Value>> sorted(entries.begin(), entries.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const auto &a, const auto &b) { return less(a.second, b.second); });
    sorted.resize(count);
    entries = std::map<Key, Value>(sorted.begin(), sorted.end());
}

/// Joins the news of several nodes about parts of prompts.
class NewsSum
{
public:
    /// Adds news that were sent a while ago.
    void add(const QuarantineNews &news, Duration age)
    {
        for (CrashEvidence crash : news.crashes) {
            crash.age += age;
            const auto known = m_crashes.try_emplace({crash.part, crash.run}, crash).first;
            if (crash.age < known->second.age)
                known->second = crash;
        }
        for (const auto &[part, ago] : news.cleared) {
            const auto known = m_news.cleared.try_emplace(part, ago + age).first;
            known->second = std::min(known->second, ago + age);
        }
        for (const auto &[part, quarantine] : news.quarantined) {
            if (quarantine.timeLeft <= age)
                continue;
            QuarantinedPart &known = m_news.quarantined[part];
            known.timeLeft = std::max(known.timeLeft, quarantine.timeLeft - age);
            known.times = std::max(known.times, quarantine.times);
        }
    }

    /// The sum, within QuarantineLimits: the most recent evidence, the longest quarantines.
    QuarantineNews take()
    {
        for (auto &[key, crash] : m_crashes)
            m_news.crashes.push_back(std::move(crash));
        // Evidence against parts in several crashes first, as it may soon decide; crashes without a
        // part last.
        std::map<PromptPart, std::size_t> runs;
        for (const CrashEvidence &crash : m_news.crashes) {
            if (crash.part != noPart)
                runs[crash.part] = std::min(runs[crash.part] + 1, QuarantineLimits::rankedRuns);
        }
        std::stable_sort(m_news.crashes.begin(), m_news.crashes.end(),
                         [&](const CrashEvidence &a, const CrashEvidence &b) {
                             return std::pair(runs[b.part], a.age) < std::pair(runs[a.part], b.age);
                         });
        if (m_news.crashes.size() > QuarantineLimits::reportedCrashes)
            m_news.crashes.resize(QuarantineLimits::reportedCrashes);
        keepFirst(m_news.cleared, QuarantineLimits::reportedParts, std::less<>());
        keepFirst(m_news.quarantined, QuarantineLimits::reportedParts,
                  [](const auto &a, const auto &b) { return a.timeLeft > b.timeLeft; });
        return std::move(m_news);
    }

private:
    std::map<std::pair<PromptPart, ServerRun>, CrashEvidence> m_crashes;
    QuarantineNews m_news;
};

} // namespace

MembershipTable::MembershipTable(MembershipOptions options)
    : m_options(std::move(options))
{
}

void MembershipTable::setRecord(const MembershipRecord &record, TimePoint now)
{
    if (record.node == m_options.own.node)
        return;
    Peer &peer = m_peers[record.node];
    if (peer.record != record)
        peer.recordAt = now;
    peer.record = record;
}

void MembershipTable::eraseRecord(const NodeId &node)
{
    const auto found = m_peers.find(node);
    if (found != m_peers.end())
        found->second.record.reset();
}

bool MembershipTable::onPulse(const Pulse &pulse, TimePoint now)
{
    Peer &peer = m_peers[pulse.node];
    // A pulse of an earlier run may still be under way when its node has restarted. The wall clock
    // may also have been set back, so a lower number of the run is accepted after a silence.
    const bool isOfEarlierRun =
        pulse.life < peer.pulse.life && now - peer.seenAt < m_options.nodeTimeout;
    if (isOfEarlierRun || (pulse.life == peer.pulse.life && pulse.number <= peer.pulse.number))
        return false;
    peer.pulse = pulse;
    peer.seenAt = now;
    peer.taking = pulse.taking;
    peer.cut = pulse.cut;
    peer.writeRefused = pulse.writeRefused;
    peer.seenSinceReport = true;
    return true;
}

bool MembershipTable::onDigest(const ZoneDigest &digest, TimePoint now)
{
    const auto author = m_peers.find(digest.node);
    if (digest.zone == m_options.own.zone || author == m_peers.end() || !author->second.record)
        return false;
    Zone &zone = m_zones[digest.zone];
    const ZoneDigest &last = zone.digest;
    if (digest.node == last.node && digest.life == last.life && digest.number <= last.number)
        return false;
    zone.digest = digest;
    zone.digestAt = now;
    zone.seenSinceReport = true;
    for (const auto &[node, taking] : digest.taking) {
        Peer &peer = m_peers[node];
        peer.seenAt = now;
        peer.taking = taking;
        peer.cut = digest.cut.count(node) > 0;
        peer.writeRefused = digest.writeRefused.count(node) > 0;
        peer.seenSinceReport = true;
    }
    for (auto &[node, peer] : m_peers) {
        if (peer.record && peer.record->zone == digest.zone && !digest.taking.count(node))
            peer.taking = false;
    }
    return true;
}

bool MembershipTable::isInOwnZone(const Peer &peer) const
{
    return peer.record && peer.record->zone == m_options.own.zone;
}

bool MembershipTable::alive(const Peer &peer, TimePoint now) const
{
    const Duration maxSilence = isInOwnZone(peer) ? m_options.nodeTimeout : m_options.zoneTimeout;
    if (peer.record && now - peer.recordAt < m_options.startGracePeriod)
        return true;
    if (now - peer.seenAt >= maxSilence)
        return false;
    if (!peer.record || isInOwnZone(peer))
        return true;
    // A later digest of its zone that no longer lists the node means that it is dead.
    const auto zone = m_zones.find(peer.record->zone);
    return zone == m_zones.end() || zone->second.digestAt <= peer.seenAt;
}

bool MembershipTable::isLive(const NodeId &node, TimePoint now) const
{
    if (node == m_options.own.node)
        return true;
    const auto found = m_peers.find(node);
    return found != m_peers.end() && alive(found->second, now);
}

std::vector<NodeId> MembershipTable::dutyNodes(TimePoint now) const
{
    Records records;
    Records refused; // The store does not accept their writes.
    Records cut;
    const auto add = [&](const MembershipRecord &record, bool isCut, bool isRefused) {
        (isCut ? cut : isRefused ? refused : records).push_back(&record);
    };
    add(m_options.own, m_cut, m_writeRefused);
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && alive(peer, now))
            add(*peer.record, peer.cut, peer.writeRefused);
    }
    if (records.empty())
        records = refused.empty() ? cut : refused;
    keepLargest(records);
    std::vector<NodeId> nodes;
    for (const MembershipRecord *record : records)
        nodes.push_back(record->node);
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

std::vector<NodeId> MembershipTable::takeSilentNodes(TimePoint now)
{
    std::vector<NodeId> silent;
    for (auto &[node, peer] : m_peers) {
        if (peer.seenSinceReport && !alive(peer, now)) {
            peer.seenSinceReport = false;
            silent.push_back(node);
        }
    }
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.record && !peer.seenSinceReport
            && now - std::max(peer.seenAt, peer.recordAt) >= m_options.nodeCountMemory;
    });
    return silent;
}

std::vector<ZoneId> MembershipTable::takeSilentZones(TimePoint now)
{
    std::vector<ZoneId> silent;
    for (auto &[id, zone] : m_zones) {
        if (zone.seenSinceReport && now - zone.digestAt >= m_options.zoneTimeout) {
            zone.seenSinceReport = false;
            silent.push_back(id);
        }
    }
    return silent;
}

std::vector<Address> MembershipTable::ownZonePeers() const
{
    std::vector<Address> addresses;
    for (const auto &[node, peer] : m_peers) {
        if (isInOwnZone(peer))
            addresses.push_back(peer.record->peer);
    }
    return addresses;
}

std::vector<ZoneId> MembershipTable::zones() const
{
    std::set<ZoneId> named {m_options.own.zone};
    for (const auto &[node, peer] : m_peers) {
        if (peer.record)
            named.insert(peer.record->zone);
    }
    return {named.begin(), named.end()};
}

const MembershipRecord *MembershipTable::representativeOf(const ZoneId &zone, TimePoint now) const
{
    const auto lastDigest = m_zones.find(zone);
    if (lastDigest != m_zones.end() && now - lastDigest->second.digestAt < m_options.nodeTimeout) {
        const auto author = m_peers.find(lastDigest->second.digest.node);
        if (author != m_peers.end() && author->second.record)
            return &*author->second.record;
    }
    Records known;
    Records liveNodes;
    Records settled;
    const auto add = [&](const MembershipRecord &record, bool isAlive, bool isSettled) {
        known.push_back(&record);
        if (isAlive)
            liveNodes.push_back(&record);
        if (isAlive && isSettled)
            settled.push_back(&record);
    };
    if (zone == m_options.own.zone)
        add(m_options.own, true, isSettled(now));
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && peer.record->zone == zone)
            add(*peer.record, alive(peer, now), peer.pulse.settled);
    }
    Records candidates = !settled.empty() ? settled : !liveNodes.empty() ? liveNodes : known;
    keepLargest(candidates);
    const MembershipRecord *const *first =
        rendezvousFirst(representativeKey + zone.value(), candidates, nameOf);
    return first ? *first : nullptr;
}

bool MembershipTable::isZoneRepresentative(TimePoint now) const
{
    return !m_leaving && representativeOf(m_options.own.zone, now)->node == m_options.own.node;
}

bool MembershipTable::isStoreWatcher(TimePoint now) const
{
    if (!isZoneRepresentative(now))
        return false;
    Records representatives;
    for (const ZoneId &zone : zones()) {
        if (const MembershipRecord *representative = representativeOf(zone, now))
            representatives.push_back(representative);
    }
    return (*rendezvousFirst(watcherKey, representatives, nameOf))->node == m_options.own.node;
}

std::vector<Address> MembershipTable::otherZoneRepresentatives(TimePoint now) const
{
    std::vector<Address> addresses;
    for (const ZoneId &zone : zones()) {
        if (zone == m_options.own.zone)
            continue;
        if (const MembershipRecord *representative = representativeOf(zone, now))
            addresses.push_back(representative->peer);
    }
    return addresses;
}

ZoneDigest MembershipTable::digest(const Pulse &own, TimePoint now) const
{
    ZoneDigest sum;
    sum.zone = m_options.own.zone;
    sum.node = own.node;
    sum.life = own.life;
    sum.number = own.number;
    sum.clock = own.clock;
    sum.held = own.held;
    sum.era = own.era;
    sum.newestVersion = own.newestVersion;
    NewsSum quarantine;
    std::vector<std::pair<VmId, ReportedLimit>> limits;
    std::vector<std::pair<VmId, ClosedGroup>> closed;
    const auto add = [&](const Pulse &pulse, Duration age) {
        sum.taking[pulse.node] = pulse.taking;
        if (pulse.cut)
            sum.cut.insert(pulse.node);
        if (pulse.writeRefused)
            sum.writeRefused.insert(pulse.node);
        for (const auto &[head, group] : pulse.closedGroups) {
            closed.emplace_back(head, group);
            closed.back().second.age += age;
        }
        for (const auto &[server, count] : pulse.running)
            sum.running[server] += count;
        addTo(sum.demand, pulse.demand);
        for (const auto &[server, left] : pulse.suspects) {
            if (left > age)
                sum.suspects[server] = std::max(sum.suspects[server], left - age);
        }
        for (const auto &[server, ago] : pulse.recentProgress) {
            const auto known = sum.recentProgress.try_emplace(server, ago + age).first;
            known->second = std::min(known->second, ago + age);
        }
        for (const auto &[server, startedAt] : pulse.leaving) {
            const auto known = sum.leaving.try_emplace(server, startedAt).first;
            known->second = std::max(known->second, startedAt);
        }
        quarantine.add(pulse.quarantine, age);
        for (auto [server, limit] : pulse.limits) {
            limit.age += age;
            limits.emplace_back(server, limit);
        }
    };
    add(own, Duration(0));
    for (const auto &[node, peer] : m_peers) {
        if (isInOwnZone(peer) && now - peer.seenAt < m_options.nodeTimeout)
            add(peer.pulse, now - peer.seenAt);
    }
    sum.quarantine = quarantine.take();
    std::stable_sort(closed.begin(), closed.end(),
                     [](const auto &a, const auto &b) { return a.second.age < b.second.age; });
    for (const auto &[head, group] : closed) {
        if (sum.closedGroups.size() < ClosedGroupBounds::reportedByZone)
            sum.closedGroups.try_emplace(head, group);
    }
    std::stable_sort(limits.begin(), limits.end(),
                     [](const auto &a, const auto &b) { return a.second.age < b.second.age; });
    for (const auto &[server, limit] : limits) {
        if (sum.limits.size() < LimitBounds::reportedByZone)
            sum.limits.try_emplace(server, limit);
    }
    return sum;
}

std::vector<MembershipTable::FeedTarget> MembershipTable::feedTargets(bool watches,
                                                                      TimePoint now) const
{
    std::vector<FeedTarget> feedTargets;
    for (const auto &[node, peer] : m_peers) {
        if (isInOwnZone(peer) && now - peer.seenAt < m_options.nodeTimeout
            && peer.pulse.held != Revision())
            feedTargets.push_back(
                {peer.record->peer, node, peer.pulse.held, peer.pulse.era, peer.pulse.clock});
    }
    if (!watches)
        return feedTargets;
    for (const auto &[id, zone] : m_zones) {
        const auto author = m_peers.find(zone.digest.node);
        if (now - zone.digestAt < m_options.nodeTimeout && zone.digest.held != Revision()
            && author != m_peers.end() && author->second.record)
            feedTargets.push_back({author->second.record->peer, zone.digest.node, zone.digest.held,
                                   zone.digest.era, zone.digest.clock});
    }
    return feedTargets;
}

bool MembershipTable::mayExist(const Peer &peer, TimePoint now) const
{
    return peer.record || now - std::max(peer.seenAt, peer.recordAt) < m_options.nodeCountMemory;
}

std::vector<NodeId> MembershipTable::limitNodes(TimePoint now) const
{
    std::vector<NodeId> all {m_options.own.node};
    std::vector<NodeId> live {m_options.own.node};
    for (const auto &[node, peer] : m_peers) {
        if (!mayExist(peer, now))
            continue;
        all.push_back(node);
        if (alive(peer, now))
            live.push_back(node);
    }
    std::vector<NodeId> &nodes = 3 * live.size() >= 2 * all.size() ? live : all;
    std::sort(nodes.begin(), nodes.end());
    return std::move(nodes);
}

std::vector<PeerNode> MembershipTable::servingPeers(TimePoint now) const
{
    std::vector<PeerNode> peers;
    for (const auto &[node, peer] : m_peers) {
        if (peer.record && peer.taking && !peer.cut && alive(peer, now))
            peers.push_back({node, peer.record->front, isInOwnZone(peer), peer.record->forwardKey});
    }
    return peers;
}

StartPeers MembershipTable::startPeers(TimePoint since, TimePoint now) const
{
    StartPeers peers;
    for (const auto &[node, peer] : m_peers) {
        if (!peer.record)
            continue;
        const bool isOwnZone = isInOwnZone(peer);
        const Duration hearingTime = isOwnZone ? ownZoneHearingTime : otherZoneHearingTime;
        const bool isHeard = peer.seenAt != TimePoint();
        if (isHeard ? peer.taking && alive(peer, now) : now - since < hearingTime)
            ++(isOwnZone ? peers.ownZone : peers.otherZones);
    }
    return peers;
}

std::optional<Address> MembershipTable::peerAddress(const NodeId &node) const
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end() || !found->second.record)
        return std::nullopt;
    return found->second.record->peer;
}

NodeShare MembershipTable::share(TimePoint now) const
{
    NodeShare share;
    for (const auto &[node, peer] : m_peers) {
        if (!mayExist(peer, now))
            continue;
        ++share.count;
        share.nodeIndex += node < m_options.own.node ? 1 : 0;
    }
    return share;
}

std::size_t MembershipTable::zoneSize() const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(m_peers.begin(), m_peers.end(),
                             [this](const auto &entry) { return isInOwnZone(entry.second); }));
}

std::vector<Address> MembershipTable::entryAddresses(const ZoneId &zone, std::size_t minCount,
                                                     TimePoint now) const
{
    std::vector<Address> near;
    std::vector<Address> all;
    const auto add = [&](const MembershipRecord &record) {
        all.push_back(record.front);
        if (record.zone == zone)
            near.push_back(record.front);
    };
    if (m_accepting)
        add(m_options.own);
    for (const auto &[node, peer] : m_peers) {
        const Duration maxSilence =
            isInOwnZone(peer) ? m_options.nodeTimeout : m_options.zoneTimeout;
        if (peer.record && peer.taking && now - peer.seenAt < maxSilence)
            add(*peer.record);
    }
    return near.size() >= minCount ? near : all;
}

std::map<ModelId, double> MembershipTable::demand(TimePoint now) const
{
    std::map<ModelId, double> sum;
    for (const auto &[node, peer] : m_peers) {
        if (isInOwnZone(peer) && now - peer.seenAt < m_options.nodeTimeout)
            addTo(sum, peer.pulse.demand);
    }
    for (const auto &[id, zone] : m_zones) {
        if (now - zone.digestAt < m_options.zoneTimeout)
            addTo(sum, zone.digest.demand);
    }
    return sum;
}

} // namespace bramleypitch
