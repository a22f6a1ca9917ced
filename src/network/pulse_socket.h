#pragma once

#include "network/event_loop.h"
#include "network/store_client.h"
#include "request/presence_type.h"

#include <functional>
#include <vector>

namespace bramleypitch {

/// What other nodes send.
struct PulseHooks
{
    std::function<void(const Pulse &)> pulse;
    std::function<void(const ZoneDigest &)> digest;
    std::function<void(const StoreFeed &)> feed;
};

/// Sends and receives pulses, digests and feeds as datagrams in Thrift's compact form.
class PulseSocket
{
public:
    /// Throws Failure(InvalidSetting) if the address cannot be bound.
    PulseSocket(EventLoop &loop, const Address &address, PulseHooks hooks);
    ~PulseSocket();
    PulseSocket(const PulseSocket &) = delete;
    PulseSocket &operator=(const PulseSocket &) = delete;

    /// Sends to each address; a datagram that cannot be sent is left out, the next one follows.
    void send(const Pulse &pulse, const std::vector<Address> &addresses);
    void send(const ZoneDigest &digest, const std::vector<Address> &addresses);
    void send(const StoreFeed &feed, const Address &address);
    /// Datagrams that could not be read, since the start.
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    void sendBytes(const std::string &bytes, const Address &address);
    static void readable(evutil_socket_t descriptor, short, void *self);

    int m_descriptor;
    event *m_event;
    PulseHooks m_hooks;
    std::uint64_t m_unreadable = 0;
};

} // namespace bramleypitch
