#include "request/server_permit_base.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// The 4 s over which servers count their requests, and a margin for requests that take longer than
/// others to arrive.
constexpr double countingSeconds = 4.2;
constexpr double maxShares = 32;
constexpr double millisecondsPerSecond = 1'000;
/// A permit that was lent is valid for this time after the borrower asked for it: enough to open a
/// connection.
constexpr Duration permitTime {450};
/// Lent permits are settled within this time, or not at all.
constexpr Duration settleTime {5'000};
/// An owner that does not reply is asked again after this time.
constexpr Duration askInterval {150};
/// For each permit that is needed, this many owners are asked at once.
constexpr std::uint32_t ownersPerPermit = 2;
/// An owner that knows of no limit, or has no share of it, is not asked again for this time.
constexpr Duration noShareInterval {1'000};

} // namespace

LimitShares limitShares(double perSecond)
{
    const double requests = countingSeconds * perSecond;
    const double usesPerShare = std::ceil(requests / maxShares);
    const double count = std::ceil(requests / usesPerShare);
    LimitShares shares;
    shares.count = static_cast<std::size_t>(count);
    shares.interval =
        Duration(static_cast<Duration::rep>(std::ceil(millisecondsPerSecond * count / perSecond)));
    return shares;
}

PermitTable::PermitTable(LimitTable &limits)
    : m_limits(limits)
    , m_nodes {NodeId()}
    , m_nodeHashes {stableHash("")}
{
}

void PermitTable::setNodes(const NodeId &own, std::vector<NodeId> nodes, std::int64_t life,
                           TimePoint startedAt, TimePoint now)
{
    m_own = own;
    m_life = life;
    m_startedAt = startedAt;
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    m_nodeHashes.clear();
    m_nodeHashes.reserve(m_nodes.size());
    for (const NodeId &node : m_nodes)
        m_nodeHashes.push_back(stableHash(node.value()));
    ++m_nodesVersion;
    m_nodesChangedAt = now;
}

void PermitTable::updateShares(const VmId &id, Server &server, TimePoint now)
{
    const std::size_t known = server.shares.size();
    const std::size_t count = std::max(known, server.division.count);
    const bool isSameNodes = server.nodesVersion == m_nodesVersion;
    const TimePoint from = known == 0 ? m_limits.learnedAt(id) : now;
    if (isSameNodes && count == known)
        return;
    server.shares.resize(count);
    for (std::size_t i = isSameNodes ? known : 0; i < count; ++i) {
        Share &share = server.shares[i];
        const bool wasOwn = share.usedAt != TimePoint();
        const std::uint64_t keyHash = stableHash(id.value(), i);
        std::uint64_t highest = 0;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const std::uint64_t weight = rendezvousWeight(keyHash, m_nodeHashes[node]);
            if (node == 0 || weight > highest) {
                highest = weight;
                share.owner = node;
            }
        }
        if (!isOwn(share)) {
            share.usedAt = TimePoint();
        } else if (i >= known) {
            // The shares of all nodes are first used one after the other.
            const auto left = static_cast<Duration::rep>(server.division.count - i);
            const Duration since =
                server.division.interval * left / static_cast<Duration::rep>(count);
            share.usedAt = std::max(from - since, m_startedAt);
        } else if (!wasOwn) {
            share.usedAt = std::max(m_nodesChangedAt, m_startedAt);
        }
    }
    server.nodesVersion = m_nodesVersion;
}

PermitTable::Server *PermitTable::find(const ServerRun &run, TimePoint now)
{
    const std::optional<double> limit = m_limits.limit(run.server, run.startedAt, now);
    if (!limit)
        return nullptr;
    Server &server = m_servers[run.server];
    if (server.startedAt != run.startedAt) {
        server = Server();
        server.startedAt = run.startedAt;
    }
    server.division = limitShares(*limit);
    updateShares(run.server, server, now);
    return &server;
}

PermitTable::Share *PermitTable::readyShare(Server &server, TimePoint now) const
{
    Share *ready = nullptr;
    for (std::size_t i = 0; i < server.division.count; ++i) {
        Share &share = server.shares[i];
        if (isOwn(share) && share.usedAt + server.division.interval <= now
            && (!ready || share.usedAt < ready->usedAt))
            ready = &share;
    }
    return ready;
}

bool PermitTable::mayTake(const ServerRun &run, TimePoint now)
{
    Server *server = find(run, now);
    return !server || readyShare(*server, now)
        || std::any_of(server->borrowed.begin(), server->borrowed.end(),
                       [now](const Permit &permit) { return isValid(permit, now); });
}

std::optional<Permit> PermitTable::take(const ServerRun &run, TimePoint now)
{
    Server *server = find(run, now);
    if (!server)
        return std::nullopt;
    while (!server->borrowed.empty()) {
        const Permit permit = server->borrowed.back();
        server->borrowed.pop_back();
        if (isValid(permit, now))
            return permit;
        settle(permit, std::nullopt);
    }
    Share *share = readyShare(*server, now);
    if (!share)
        return std::nullopt;
    Permit permit;
    permit.server = run.server;
    permit.takenAt = now;
    permit.share = static_cast<std::size_t>(share - server->shares.data());
    permit.shareUsedBefore = std::exchange(share->usedAt, now);
    permit.validUntil = now + server->division.interval - Duration(1);
    return permit;
}

void PermitTable::onWritten(const Permit &permit, TimePoint now)
{
    if (!permit.owner.value().empty()) {
        ++m_counts.borrowed;
        settle(permit, now);
        return;
    }
    ++m_counts.own;
    const auto server = m_servers.find(permit.server);
    if (server != m_servers.end() && permit.share < server->second.shares.size()) {
        TimePoint &usedAt = server->second.shares[permit.share].usedAt;
        usedAt = std::max(usedAt, now);
    }
}

void PermitTable::giveBack(const Permit &permit)
{
    const auto found = m_servers.find(permit.server);
    if (!permit.owner.value().empty()) {
        if (found != m_servers.end())
            found->second.borrowed.push_back(permit);
        else
            settle(permit, std::nullopt);
    } else if (found != m_servers.end() && permit.share < found->second.shares.size()) {
        Share &share = found->second.shares[permit.share];
        if (share.usedAt == permit.takenAt)
            share.usedAt = permit.shareUsedBefore;
    }
}

TimePoint PermitTable::nextAt(const ServerRun &run, TimePoint now)
{
    Server *server = find(run, now);
    if (!server || !server->borrowed.empty())
        return now;
    std::optional<TimePoint> next;
    for (std::size_t i = 0; i < server->division.count; ++i) {
        const Share &share = server->shares[i];
        TimePoint at = share.usedAt + server->division.interval;
        if (!isOwn(share)) {
            const auto denied = server->deniedUntil.find(m_nodes[share.owner]);
            at = denied == server->deniedUntil.end() ? now : denied->second;
        }
        next = next ? std::min(*next, at) : at;
    }
    return std::max(next.value_or(now), now);
}

void PermitTable::settle(const Permit &permit, std::optional<TimePoint> usedAt)
{
    m_counts.returned += usedAt ? 0 : 1;
    m_settled[permit.owner][permit.number] = usedAt;
}

void PermitTable::setWanted(const std::map<ServerRun, std::uint32_t> &wanted, TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        const auto found = wanted.find({id, server.startedAt});
        const std::size_t needed = found == wanted.end() ? 0 : found->second;
        while (server.borrowed.size() > needed) {
            settle(server.borrowed.back(), std::nullopt);
            server.borrowed.pop_back();
        }
    }
    for (const auto &[run, count] : wanted) {
        Server *server = find(run, now);
        if (server && count > server->borrowed.size())
            askOwners(run.server, *server,
                      count - static_cast<std::uint32_t>(server->borrowed.size()), now);
    }
}

void PermitTable::askOwners(const VmId &id, Server &server, std::uint32_t count, TimePoint now)
{
    std::uint32_t asked = 0;
    for (std::size_t i = 0; i < server.division.count && asked < ownersPerPermit * count; ++i) {
        server.nextAsked = (server.nextAsked + 1) % server.division.count;
        const Share &share = server.shares[server.nextAsked];
        const NodeId &owner = m_nodes[share.owner];
        if (isOwn(share))
            continue;
        const auto denied = server.deniedUntil.find(owner);
        const auto lastAsked = server.askedAt.find(owner);
        if ((denied != server.deniedUntil.end() && now < denied->second)
            || (lastAsked != server.askedAt.end() && now - lastAsked->second < askInterval))
            continue;
        PermitMessage &message = m_outbox[owner];
        if (message.requests.size() >= PermitBounds::entries)
            continue;
        server.askedAt[owner] = now;
        message.requests[id] = count;
        if (const auto report = m_limits.report(id, now))
            message.limits[id] = *report;
        ++asked;
    }
}

std::map<NodeId, PermitMessage> PermitTable::takeMessages(TimePoint now)
{
    std::map<NodeId, PermitMessage> messages = std::move(m_outbox);
    m_outbox.clear();
    for (auto &[owner, settled] : m_settled) {
        auto &entries = messages[owner].settled;
        while (!settled.empty() && entries.size() < PermitBounds::entries) {
            const auto first = settled.begin();
            entries[first->first] =
                first->second ? std::optional(now - *first->second) : std::nullopt;
            settled.erase(first);
        }
    }
    std::erase_if(m_settled, [](const auto &entry) { return entry.second.empty(); });
    for (auto &[node, message] : messages) {
        message.from = m_own;
        message.life = m_life;
        message.clock = now;
    }
    return messages;
}

PermitMessage PermitTable::onMessage(const PermitMessage &message, TimePoint now)
{
    for (const auto &[number, sinceUse] : message.settled) {
        const auto lent = m_lent.find(number);
        if (lent == m_lent.end() || lent->second.borrower != message.from)
            continue;
        const auto server = m_servers.find(lent->second.server);
        if (server != m_servers.end() && lent->second.share < server->second.shares.size())
            server->second.shares[lent->second.share].usedAt =
                sinceUse ? now - *sinceUse : lent->second.shareUsedBefore;
        m_lent.erase(lent);
    }
    for (const auto &[id, wait] : message.denials) {
        if (const auto server = m_servers.find(id); server != m_servers.end()) {
            server->second.deniedUntil[message.from] = now + wait;
            server->second.askedAt.erase(message.from);
        }
    }
    Lender &lender = m_lenders[message.from];
    if (lender.life != message.life)
        lender = {message.life, PermitNumber()};
    for (const auto &[number, id] : message.grants) {
        if (number <= lender.last)
            continue;
        lender.last = number;
        Permit permit;
        permit.server = id;
        permit.owner = message.from;
        permit.number = number;
        permit.validUntil = std::min(message.echo, now) + permitTime;
        giveBack(permit);
        if (const auto server = m_servers.find(id); server != m_servers.end())
            server->second.askedAt.erase(message.from);
    }
    PermitMessage reply;
    for (const auto &[id, count] : message.requests)
        lend(message.from, id, count, reply, now);
    reply.from = m_own;
    reply.life = m_life;
    reply.clock = now;
    reply.echo = message.clock;
    return reply;
}

void PermitTable::lend(const NodeId &borrower, const VmId &id, std::uint32_t count,
                       PermitMessage &reply, TimePoint now)
{
    const std::optional<ReportedLimit> report = m_limits.report(id, now);
    if (report)
        reply.limits[id] = *report;
    Server *server = report ? find({id, report->startedAt}, now) : nullptr;
    if (!server) {
        reply.denials[id] = noShareInterval;
        return;
    }
    std::uint32_t lent = 0;
    for (; lent < count && reply.grants.size() < PermitBounds::entries
         && m_lent.size() < PermitBounds::lentPermits;
         ++lent) {
        Share *share = readyShare(*server, now);
        if (!share)
            break;
        const PermitNumber number(++m_lastNumber);
        m_lent[number] = {borrower, id, static_cast<std::size_t>(share - server->shares.data()),
                          share->usedAt, now};
        share->usedAt = now + permitTime;
        reply.grants[number] = id;
        ++m_counts.lent;
    }
    if (lent > 0)
        return;
    std::optional<TimePoint> next;
    for (std::size_t i = 0; i < server->division.count; ++i) {
        if (isOwn(server->shares[i])) {
            const TimePoint at = server->shares[i].usedAt + server->division.interval;
            next = next ? std::min(*next, at) : at;
        }
    }
    reply.denials[id] = next ? std::max(*next - now, Duration(1)) : noShareInterval;
}

void PermitTable::prune(TimePoint now)
{
    std::erase_if(m_lent, [now](const auto &entry) { return now - entry.second.at >= settleTime; });
    std::erase_if(m_servers, [&](const auto &entry) {
        if (m_limits.report(entry.first, now))
            return false;
        for (const Permit &permit : entry.second.borrowed)
            settle(permit, std::nullopt);
        return true;
    });
    std::erase_if(m_lenders, [this](const auto &entry) {
        return !std::binary_search(m_nodes.begin(), m_nodes.end(), entry.first);
    });
}

} // namespace bramleypitch
