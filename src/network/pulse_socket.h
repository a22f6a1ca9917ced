#pragma once

#include "network/event_loop.h"
#include "request/presence_type.h"

#include <functional>
#include <vector>

namespace bramleypitch {

/// Sends and receives pulses as datagrams in Thrift's compact form.
class PulseSocket
{
public:
    using PulseHook = std::function<void(const Pulse &)>;

    /// Throws Failure(InvalidSetting) if the address cannot be bound.
    PulseSocket(EventLoop &loop, const Address &address, PulseHook hook);
    ~PulseSocket();
    PulseSocket(const PulseSocket &) = delete;
    PulseSocket &operator=(const PulseSocket &) = delete;

    /// Sends to each address; a datagram that cannot be sent is left out, the next one follows.
    void send(const Pulse &pulse, const std::vector<Address> &addresses);
    /// Datagrams that could not be read, since the start.
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    static void readable(evutil_socket_t descriptor, short, void *self);

    int m_descriptor;
    event *m_event;
    PulseHook m_hook;
    std::uint64_t m_unreadable = 0;
};

} // namespace bramleypitch
