#include "network/pulse_socket.h"

#include "core/error_type.h"
#include "network/address_func.h"
#include "network/gen/peer_types.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <array>

namespace bramleypitch {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t maxDatagramSize = 60'000;
/// The first byte of a datagram is the type of its message.
constexpr char pulseTag = 'P';
constexpr char feedTag = 'F';
constexpr char digestTag = 'D';
/// Limit on the datagrams read in one event loop iteration, so that a flood cannot starve other
/// events.
constexpr int maxReadsPerTurn = 64;

sockaddr_in toSocketAddress(const Address &address)
{
    const HostPort parsed = parseAddress(address);
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(parsed.port);
    if (inet_pton(AF_INET, parsed.host.c_str(), &socketAddress.sin_addr) != 1)
        throw Failure(ErrorCode::InvalidSetting, address.value() + " is not an IPv4 address");
    return socketAddress;
}

template<typename Wire>
std::string toBytes(char tag, const Wire &wire)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    wire.write(&protocol);
    return tag + buffer->getBufferAsString();
}

template<typename Wire>
Wire fromBytes(std::uint8_t *bytes, std::size_t length)
{
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<std::uint32_t>(length));
    TCompactProtocol protocol(buffer);
    Wire wire;
    wire.read(&protocol);
    return wire;
}

std::string serialize(const StoreFeed &feed)
{
    peer::Feed wire;
    wire.from_revision = feed.from.value();
    wire.to_revision = feed.to.value();
    wire.echo_ms = milliseconds(feed.echo);
    wire.proof_age_ms = feed.proofAge.count();
    for (const StoreChange &change : feed.changes) {
        peer::FeedChange item;
        item.key = change.key;
        item.revision = change.revision.value();
        item.deleted = change.deleted;
        item.value = change.value;
        wire.changes.push_back(std::move(item));
    }
    return toBytes(feedTag, wire);
}

StoreFeed toFeed(const peer::Feed &wire)
{
    StoreFeed feed;
    feed.from = Revision(wire.from_revision);
    feed.to = Revision(wire.to_revision);
    feed.echo = timePoint(wire.echo_ms);
    feed.proofAge = Duration(wire.proof_age_ms);
    for (const peer::FeedChange &item : wire.changes)
        feed.changes.push_back({item.key, Revision(item.revision), item.deleted, item.value});
    return feed;
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

RunningCounts toRunning(const WireCounts &wire)
{
    RunningCounts running;
    for (const auto &[server, count] : wire)
        running[VmId(server)] = static_cast<std::uint32_t>(count);
    return running;
}

std::map<VmId, Duration> toDurations(const WireCounts &wire)
{
    std::map<VmId, Duration> durations;
    for (const auto &[server, duration] : wire)
        durations[VmId(server)] = Duration(duration);
    return durations;
}

std::map<ModelId, double> toDemand(const WireDemand &wire)
{
    std::map<ModelId, double> demand;
    for (const auto &[model, slots] : wire)
        demand[ModelId(model)] = slots;
    return demand;
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
    pulse.clock = timePoint(wire.clock_ms);
    pulse.held = Revision(wire.held_revision);
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
    wire.relayed = digest.relayed;
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
    digest.clock = timePoint(wire.clock_ms);
    digest.held = Revision(wire.held_revision);
    digest.relayed = wire.relayed;
    return digest;
}

} // namespace

PulseSocket::PulseSocket(EventLoop &loop, const Address &address, PulseHooks hooks)
    : m_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_event(event_new(loop.base(), m_descriptor, EV_READ | EV_PERSIST, onReadable, this))
    , m_hooks(std::move(hooks))
{
    const sockaddr_in localAddress = toSocketAddress(address);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&localAddress), sizeof(localAddress))
        != 0)
        throw Failure(ErrorCode::InvalidSetting, "cannot bind UDP socket to " + address.value());
    event_add(m_event, nullptr);
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

void PulseSocket::send(const StoreFeed &feed, const Address &address)
{
    sendBytes(serialize(feed), address);
}

void PulseSocket::sendBytes(const std::string &bytes, const Address &address)
{
    const sockaddr_in target = toSocketAddress(address);
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
        try {
            const auto size = static_cast<std::size_t>(length) - 1;
            if (bytes[0] == feedTag)
                socket->m_hooks.feed(toFeed(fromBytes<peer::Feed>(bytes.data() + 1, size)));
            else if (bytes[0] == digestTag)
                socket->m_hooks.digest(toDigest(fromBytes<peer::Digest>(bytes.data() + 1, size)));
            else
                socket->m_hooks.pulse(toPulse(fromBytes<peer::Pulse>(bytes.data() + 1, size)));
        } catch (const apache::thrift::TException &) {
            ++socket->m_malformedDatagrams;
        }
    }
}

} // namespace bramleypitch
