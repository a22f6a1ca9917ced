#pragma once

#include "network/event_loop.h"
#include "network/feed_codec.h"
#include "request/membership_type.h"
#include "request/server_permit_type.h"

#include <functional>
#include <string_view>
#include <vector>

namespace bramleypitch {

/// Callbacks for the datagrams received from other nodes.
struct PulseHooks
{
    std::function<void(const Pulse &)> pulse;
    std::function<void(const ZoneDigest &)> digest;
    std::function<void(const StoreFeed &)> feed;
    std::function<void(const PermitMessage &)> permits;
    /// The format version of a node that sent one of the messages above, except a feed. Optional.
    std::function<void(const NodeId &, std::int32_t)> version;
};

/// UDP socket for the messages between nodes: pulses, zone digests, store feeds and messages on the
/// limits of servers, each one datagram in Thrift's compact protocol.
class PulseSocket
{
public:
    /// Throws Failure(AddressUnavailable) if the address cannot be bound.
    PulseSocket(EventLoop &loop, const Address &address, PulseHooks hooks);
    ~PulseSocket();
    PulseSocket(const PulseSocket &) = delete;
    PulseSocket &operator=(const PulseSocket &) = delete;

    /// Sends to each address. A datagram that cannot be sent is dropped without an error; the next
    /// periodic message replaces it.
    void send(const Pulse &pulse, const std::vector<Address> &addresses);
    void send(const ZoneDigest &digest, const std::vector<Address> &addresses);
    void send(const PermitMessage &message, const Address &address);
    /// Returns false if the feed is too large for a datagram.
    bool send(const StoreFeed &feed, const Address &address);
    /// Number of malformed datagrams, and of those of unknown types, received since the socket was
    /// opened.
    std::uint64_t malformedDatagrams() const { return m_malformedDatagrams; }

private:
    static int openSocket(const Address &address);
    void sendBytes(const std::string &bytes, const Address &address);
    /// Passes a message to the hooks. Malformed ones are counted.
    void onDatagram(std::string_view bytes);
    static void onReadable(evutil_socket_t descriptor, short, void *self);

    int m_descriptor;
    event *m_event;
    PulseHooks m_hooks;
    FeedCodec m_feedCodec;
    std::uint64_t m_malformedDatagrams = 0;
};

} // namespace bramleypitch
