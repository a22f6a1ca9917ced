#include "network/pulse_socket.h"

#include "core/error_type.h"
#include "core/format_version.h"
#include "network/address_func.h"
#include "network/gen/peer_types.h"
#include "network/thrift_bytes.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>

namespace bramleypitch {

namespace {

constexpr std::size_t maxDatagramSize = 60'000;
/// The first byte of a datagram is the type of its message.
constexpr char pulseTag = 'P';
constexpr char feedTag = 'Z';
constexpr char uncompressedFeedTag = 'F'; ///< Feeds of earlier versions.
constexpr char digestTag = 'D';
constexpr char permitTag = 'L';
/// Limit on the datagrams read in one event loop iteration, so that a flood cannot starve other
/// events.
constexpr int maxReadsPerTurn = 64;
/// Evidence about servers with longer names is not exchanged, so that it fits into a datagram.
constexpr std::size_t maxServerNameSize = 255;
/// Limits on what another node may state about the quarantine of a part.
constexpr Duration maxQuarantineTime {600'000};
constexpr std::uint32_t maxQuarantineTimes = 1'000;
/// Limit on the time for which another node may deny permits.
constexpr Duration maxPermitDenial {60'000};
constexpr std::int32_t unusedPermit = -1;
/// Limits on what another node may state: a time since or until something, slots, and clocks and
/// revisions, which are far from an overflow.
constexpr Duration maxPeerDuration {600'000};
constexpr double maxPeerDemand = 1e6;
constexpr std::int64_t maxPeerInteger = (std::int64_t {1} << 53U) - 1;

TimePoint toClock(std::int64_t milliseconds)
{
    return timePoint(std::clamp<std::int64_t>(milliseconds, 0, maxPeerInteger));
}

Revision toRevision(std::int64_t revision)
{
    return Revision(std::clamp<std::int64_t>(revision, 0, maxPeerInteger));
}

StoreEra toEra(std::int64_t era)
{
    return StoreEra(std::clamp<std::int64_t>(era, 0, maxPeerInteger));
}

template<typename Wire>
std::string toBytes(char tag, const Wire &wire)
{
    return tag + toThriftBytes(wire);
}

using WireCounts = std::map<std::string, std::int32_t>;
using WireDemand = std::map<std::string, double>;

WireCounts toWire(const RunningCounts &running)
{
    WireCounts wire;
    for (const auto &[server, count] : running)
        wire[server.value()] = static_cast<std::int32_t>(count);
    return wire;
}

WireCounts toWire(const std::map<VmId, Duration> &durations)
{
    WireCounts wire;
    for (const auto &[server, duration] : durations)
        wire[server.value()] = static_cast<std::int32_t>(duration.count());
    return wire;
}

WireDemand toWire(const std::map<ModelId, double> &demand)
{
    WireDemand wire;
    for (const auto &[model, slots] : demand)
        wire[model.value()] = slots;
    return wire;
}

std::map<std::string, std::int64_t> toWire(const LeavingRuns &runs)
{
    std::map<std::string, std::int64_t> wire;
    for (const auto &[server, startedAt] : runs)
        wire[server.value()] = startedAt;
    return wire;
}

LeavingRuns toLeaving(const std::map<std::string, std::int64_t> &wire)
{
    LeavingRuns runs;
    for (const auto &[server, startedAt] : wire)
        runs[VmId(server)] = startedAt;
    return runs;
}

RunningCounts toRunning(const WireCounts &wire)
{
    RunningCounts running;
    for (const auto &[server, count] : wire) {
        if (count > 0)
            running[VmId(server)] = static_cast<std::uint32_t>(count);
    }
    return running;
}

std::map<VmId, Duration> toDurations(const WireCounts &wire)
{
    std::map<VmId, Duration> durations;
    for (const auto &[server, duration] : wire)
        durations[VmId(server)] = std::clamp(Duration(duration), Duration(0), maxPeerDuration);
    return durations;
}

std::map<ModelId, double> toDemand(const WireDemand &wire)
{
    std::map<ModelId, double> demand;
    for (const auto &[model, slots] : wire) {
        if (slots >= 0 && slots <= maxPeerDemand) // Excludes values that are not finite.
            demand[ModelId(model)] = slots;
    }
    return demand;
}

std::int32_t toWireMilliseconds(Duration duration)
{
    constexpr Duration::rep longest = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp<Duration::rep>(duration.count(), 0, longest));
}

peer::Quarantine toWire(const QuarantineNews &news)
{
    peer::Quarantine wire;
    for (const CrashEvidence &crash : news.crashes) {
        if (wire.crashes.size() == QuarantineLimits::reportedCrashes)
            break;
        if (crash.run.server.value().size() > maxServerNameSize)
            continue;
        peer::QuarantineCrash &entry = wire.crashes[static_cast<int>(wire.crashes.size())];
        entry.part = static_cast<std::int64_t>(crash.part.value());
        entry.server = crash.run.server.value();
        entry.started = crash.run.startedAt;
        entry.request = static_cast<std::int64_t>(crash.request);
        entry.age_ms = toWireMilliseconds(crash.age);
    }
    for (const auto &[part, age] : news.cleared) {
        if (wire.cleared_ms.size() == QuarantineLimits::reportedParts)
            break;
        wire.cleared_ms[static_cast<std::int64_t>(part.value())] = toWireMilliseconds(age);
    }
    for (const auto &[part, quarantine] : news.quarantined) {
        if (wire.parts.size() == QuarantineLimits::reportedParts)
            break;
        peer::QuarantinedPart &entry = wire.parts[static_cast<std::int64_t>(part.value())];
        entry.left_ms = toWireMilliseconds(quarantine.timeLeft);
        entry.times = static_cast<std::int32_t>(std::min(quarantine.times, maxQuarantineTimes));
    }
    return wire;
}

/// Takes what a correct node could have sent. Other entries are dropped, as evidence of the wrong
/// age could keep requests away from all servers.
QuarantineNews toNews(const peer::Quarantine &wire)
{
    QuarantineNews news;
    for (const auto &[position, entry] : wire.crashes) {
        if (news.crashes.size() == QuarantineLimits::reportedCrashes)
            break;
        if (entry.age_ms < 0 || entry.server.empty() || entry.server.size() > maxServerNameSize)
            continue;
        news.crashes.push_back({PromptPart(static_cast<std::uint64_t>(entry.part)),
                                {VmId(entry.server), entry.started},
                                static_cast<std::uint64_t>(entry.request),
                                Duration(entry.age_ms)});
    }
    for (const auto &[part, age] : wire.cleared_ms) {
        if (news.cleared.size() == QuarantineLimits::reportedParts)
            break;
        if (age >= 0)
            news.cleared[PromptPart(static_cast<std::uint64_t>(part))] = Duration(age);
    }
    for (const auto &[part, entry] : wire.parts) {
        if (news.quarantined.size() == QuarantineLimits::reportedParts)
            break;
        if (entry.left_ms <= 0 || entry.times <= 0)
            continue;
        news.quarantined[PromptPart(static_cast<std::uint64_t>(part))] = {
            std::min(Duration(entry.left_ms), maxQuarantineTime),
            std::min(static_cast<std::uint32_t>(entry.times), maxQuarantineTimes)};
    }
    return news;
}

std::map<std::string, peer::ServerLimit> toWire(const LimitNews &news)
{
    std::map<std::string, peer::ServerLimit> wire;
    for (const auto &[server, limit] : news) {
        if (server.value().size() > maxServerNameSize)
            continue;
        peer::ServerLimit &entry = wire[server.value()];
        entry.started = limit.startedAt;
        entry.per_second = limit.perSecond.value_or(0);
        entry.refusals_only = limit.refusalsOnly;
        entry.age_ms = toWireMilliseconds(limit.age);
    }
    return wire;
}

/// Takes what a correct node could have sent, at most `maximum` entries.
LimitNews toLimits(const std::map<std::string, peer::ServerLimit> &wire, std::size_t maximum)
{
    LimitNews news;
    for (const auto &[server, entry] : wire) {
        const bool isLimit = entry.per_second >= LimitBounds::minPerSecond
            && entry.per_second <= LimitBounds::maxPerSecond;
        if (news.size() == maximum)
            break;
        if (entry.age_ms < 0 || server.empty() || (!isLimit && entry.per_second != 0))
            continue;
        news[VmId(server)] = {entry.started,
                              isLimit ? std::optional(entry.per_second) : std::nullopt,
                              entry.refusals_only, Duration(entry.age_ms)};
    }
    return news;
}

std::string serialize(const PermitMessage &message)
{
    peer::Permits wire;
    wire.node = message.from.value();
    wire.life = message.life;
    wire.clock_ms = milliseconds(message.clock);
    wire.echo_ms = milliseconds(message.echo);
    wire.limits = toWire(message.limits);
    for (const auto &[server, count] : message.requests)
        wire.requests[server.value()] = static_cast<std::int32_t>(count);
    for (const auto &[number, server] : message.grants)
        wire.grants[static_cast<std::int64_t>(number.value())] = server.value();
    wire.denials_ms = toWire(message.denials);
    for (const auto &[number, sinceUse] : message.settled)
        wire.settled_ms[static_cast<std::int64_t>(number.value())] =
            sinceUse ? toWireMilliseconds(*sinceUse) : unusedPermit;
    wire.__set_version(formatVersion);
    return toBytes(permitTag, wire);
}

/// Takes the first entries of a map, up to the bound of a message.
template<typename Wire, typename Take>
void takeEntries(const Wire &wire, Take take)
{
    std::size_t left = PermitBounds::entries;
    for (const auto &[key, value] : wire) {
        if (left-- == 0)
            return;
        take(key, value);
    }
}

PermitMessage toPermits(const peer::Permits &wire)
{
    PermitMessage message;
    message.from = NodeId(wire.node);
    message.life = wire.life;
    message.clock = toClock(wire.clock_ms);
    message.echo = toClock(wire.echo_ms);
    message.limits = toLimits(wire.limits, PermitBounds::entries);
    takeEntries(wire.requests, [&](const std::string &server, std::int32_t count) {
        if (count > 0)
            message.requests[VmId(server)] = static_cast<std::uint32_t>(count);
    });
    takeEntries(wire.grants, [&](std::int64_t number, const std::string &server) {
        message.grants[PermitNumber(static_cast<std::uint64_t>(number))] = VmId(server);
    });
    takeEntries(wire.denials_ms, [&](const std::string &server, std::int32_t wait) {
        message.denials[VmId(server)] = std::clamp(Duration(wait), Duration(0), maxPermitDenial);
    });
    takeEntries(wire.settled_ms, [&](std::int64_t number, std::int32_t sinceUse) {
        message.settled[PermitNumber(static_cast<std::uint64_t>(number))] =
            sinceUse >= 0 ? std::optional(Duration(sinceUse)) : std::nullopt;
    });
    return message;
}

std::map<std::string, peer::ClosedGroup> toWire(const ClosedGroups &groups)
{
    std::map<std::string, peer::ClosedGroup> wire;
    for (const auto &[head, group] : groups) {
        peer::ClosedGroup &entry = wire[head.value()];
        entry.started = group.startedAt;
        entry.group = group.name.value();
        entry.generation = static_cast<std::int64_t>(group.generation.value());
        entry.age_ms = toWireMilliseconds(group.age);
    }
    return wire;
}

ClosedGroups toClosedGroups(const std::map<std::string, peer::ClosedGroup> &wire,
                            std::size_t maximum)
{
    ClosedGroups groups;
    for (const auto &[head, entry] : wire) {
        if (groups.size() == maximum)
            break;
        if (entry.age_ms < 0 || entry.generation < 0 || head.empty() || entry.group.empty())
            continue;
        groups[VmId(head)] = {entry.started, GroupId(entry.group),
                              Generation(static_cast<std::uint64_t>(entry.generation)),
                              Duration(entry.age_ms)};
    }
    return groups;
}

/// A version of the configuration; 0, "none", if the sender does not state a valid one.
std::uint64_t toVersion(std::int64_t version)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(version, 0));
}

std::string serialize(const Pulse &pulse)
{
    peer::Pulse wire;
    wire.node = pulse.node.value();
    wire.life = pulse.life;
    wire.number = pulse.number;
    wire.taking = pulse.taking;
    wire.settled = pulse.settled;
    wire.running = toWire(pulse.running);
    wire.demand = toWire(pulse.demand);
    wire.suspects_ms = toWire(pulse.suspects);
    wire.heard_ms = toWire(pulse.recentProgress);
    wire.clock_ms = milliseconds(pulse.clock);
    wire.held_revision = pulse.held.value();
    wire.store_era = pulse.era.value();
    wire.newest_version = static_cast<std::int64_t>(pulse.newestVersion);
    wire.leaving = toWire(pulse.leaving);
    wire.quarantine = toWire(pulse.quarantine);
    wire.limits = toWire(pulse.limits);
    wire.cut = pulse.cut;
    wire.write_refused = pulse.writeRefused;
    wire.closed_groups = toWire(pulse.closedGroups);
    wire.__set_version(formatVersion);
    return toBytes(pulseTag, wire);
}

Pulse toPulse(const peer::Pulse &wire)
{
    Pulse pulse;
    pulse.node = NodeId(wire.node);
    pulse.life = wire.life;
    pulse.number = wire.number;
    pulse.taking = wire.taking;
    pulse.settled = wire.settled;
    pulse.running = toRunning(wire.running);
    pulse.demand = toDemand(wire.demand);
    pulse.suspects = toDurations(wire.suspects_ms);
    pulse.recentProgress = toDurations(wire.heard_ms);
    pulse.clock = toClock(wire.clock_ms);
    pulse.held = toRevision(wire.held_revision);
    pulse.era = toEra(wire.store_era);
    pulse.newestVersion = toVersion(wire.newest_version);
    pulse.leaving = toLeaving(wire.leaving);
    pulse.quarantine = toNews(wire.quarantine);
    pulse.limits = toLimits(wire.limits, LimitBounds::reportedByNode);
    pulse.cut = wire.cut;
    pulse.writeRefused = wire.write_refused;
    pulse.closedGroups = toClosedGroups(wire.closed_groups, ClosedGroupBounds::reportedByNode);
    return pulse;
}

std::string serialize(const ZoneDigest &digest)
{
    peer::Digest wire;
    wire.zone = digest.zone.value();
    wire.node = digest.node.value();
    wire.life = digest.life;
    wire.number = digest.number;
    for (const auto &[node, taking] : digest.taking)
        wire.taking[node.value()] = taking;
    wire.running = toWire(digest.running);
    wire.demand = toWire(digest.demand);
    wire.suspects_ms = toWire(digest.suspects);
    wire.heard_ms = toWire(digest.recentProgress);
    wire.clock_ms = milliseconds(digest.clock);
    wire.held_revision = digest.held.value();
    wire.store_era = digest.era.value();
    wire.newest_version = static_cast<std::int64_t>(digest.newestVersion);
    wire.leaving = toWire(digest.leaving);
    wire.quarantine = toWire(digest.quarantine);
    wire.limits = toWire(digest.limits);
    for (const NodeId &node : digest.cut)
        wire.cut.insert(node.value());
    for (const NodeId &node : digest.writeRefused)
        wire.write_refused.insert(node.value());
    wire.closed_groups = toWire(digest.closedGroups);
    wire.relayed = digest.relayed;
    wire.__set_version(formatVersion);
    return toBytes(digestTag, wire);
}

ZoneDigest toDigest(const peer::Digest &wire)
{
    ZoneDigest digest;
    digest.zone = ZoneId(wire.zone);
    digest.node = NodeId(wire.node);
    digest.life = wire.life;
    digest.number = wire.number;
    for (const auto &[node, taking] : wire.taking)
        digest.taking[NodeId(node)] = taking;
    digest.running = toRunning(wire.running);
    digest.demand = toDemand(wire.demand);
    digest.suspects = toDurations(wire.suspects_ms);
    digest.recentProgress = toDurations(wire.heard_ms);
    digest.clock = toClock(wire.clock_ms);
    digest.held = toRevision(wire.held_revision);
    digest.era = toEra(wire.store_era);
    digest.newestVersion = toVersion(wire.newest_version);
    digest.leaving = toLeaving(wire.leaving);
    digest.quarantine = toNews(wire.quarantine);
    digest.limits = toLimits(wire.limits, LimitBounds::reportedByZone);
    for (const std::string &node : wire.cut)
        digest.cut.insert(NodeId(node));
    for (const std::string &node : wire.write_refused)
        digest.writeRefused.insert(NodeId(node));
    digest.closedGroups = toClosedGroups(wire.closed_groups, ClosedGroupBounds::reportedByZone);
    digest.relayed = wire.relayed;
    return digest;
}

template<typename Wire>
void reportVersion(const PulseHooks &hooks, const Wire &wire)
{
    if (hooks.version)
        hooks.version(NodeId(wire.node),
                      wire.__isset.version ? wire.version : unstatedFormatVersion);
}

} // namespace

PulseSocket::PulseSocket(EventLoop &loop, const Address &address, PulseHooks hooks)
    : m_descriptor(openSocket(address))
    , m_event(event_new(loop.base(), m_descriptor, EV_READ | EV_PERSIST, onReadable, this))
    , m_hooks(std::move(hooks))
{
    event_add(m_event, nullptr);
}

int PulseSocket::openSocket(const Address &address)
{
    const sockaddr_in localAddress = parseSocketAddress(address);
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&localAddress), sizeof(localAddress))
        != 0) {
        const int error = errno;
        close(descriptor);
        throw bindFailure(address, error);
    }
    return descriptor;
}

PulseSocket::~PulseSocket()
{
    event_free(m_event);
    close(m_descriptor);
}

void PulseSocket::send(const Pulse &pulse, const std::vector<Address> &addresses)
{
    const std::string bytes = serialize(pulse);
    for (const Address &address : addresses)
        sendBytes(bytes, address);
}

void PulseSocket::send(const ZoneDigest &digest, const std::vector<Address> &addresses)
{
    const std::string bytes = serialize(digest);
    for (const Address &address : addresses)
        sendBytes(bytes, address);
}

void PulseSocket::send(const PermitMessage &message, const Address &address)
{
    sendBytes(serialize(message), address);
}

bool PulseSocket::send(const StoreFeed &feed, const Address &address)
{
    const std::string bytes = feedTag + m_feedCodec.serialize(feed);
    if (bytes.size() > maxDatagramSize)
        return false;
    sendBytes(bytes, address);
    return true;
}

void PulseSocket::sendBytes(const std::string &bytes, const Address &address)
{
    const sockaddr_in target = parseSocketAddress(address);
    sendto(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&target), sizeof(target));
}

void PulseSocket::onReadable(evutil_socket_t descriptor, short, void *self)
{
    auto *socket = static_cast<PulseSocket *>(self);
    static std::array<std::uint8_t, maxDatagramSize> bytes;
    for (int i = 0; i < maxReadsPerTurn; ++i) {
        const ssize_t length = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (length <= 0)
            return;
        guardCallback("datagram", [&] {
            socket->onDatagram(
                {reinterpret_cast<const char *>(bytes.data()), static_cast<std::size_t>(length)});
        });
    }
}

void PulseSocket::onDatagram(std::string_view bytes)
{
    const std::string_view message = bytes.substr(1);
    try {
        if (bytes[0] == feedTag || bytes[0] == uncompressedFeedTag) {
            m_hooks.feed(FeedCodec::parse(message));
        } else if (bytes[0] == digestTag) {
            const auto wire = fromThriftBytes<peer::Digest>(message);
            if (!wire.relayed) // Otherwise the version is that of the node that relayed it.
                reportVersion(m_hooks, wire);
            m_hooks.digest(toDigest(wire));
        } else if (bytes[0] == permitTag) {
            const auto wire = fromThriftBytes<peer::Permits>(message);
            reportVersion(m_hooks, wire);
            m_hooks.permits(toPermits(wire));
        } else if (bytes[0] == pulseTag) {
            const auto wire = fromThriftBytes<peer::Pulse>(message);
            reportVersion(m_hooks, wire);
            m_hooks.pulse(toPulse(wire));
        } else {
            ++m_malformedDatagrams;
        }
    } catch (const Failure &) {
        ++m_malformedDatagrams;
    } catch (const apache::thrift::TException &) {
        ++m_malformedDatagrams;
    }
}

} // namespace bramleypitch
