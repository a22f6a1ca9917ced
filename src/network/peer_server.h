#pragma once

#include "coordination/event_type.h"
#include "network/event_loop.h"

#include <functional>
#include <memory>

struct evhttp;

namespace apache::thrift::async {
class TEvhttpServer;
}

namespace bramleypitch {

/// Handlers for the requests of other nodes.
struct PeerHooks
{
    /// Handles a heartbeat and returns the reply to it.
    std::function<Heartbeat(const Heartbeat &)> heartbeat;
    /// Returns the shared values above a revision, together with the newest revision held and the
    /// age of the proof that it is current.
    std::function<SharedPulled(Revision above)> pull;
    /// Handles a ledger request; the reply callback may be called after the handler has returned.
    std::function<void(SegmentIndex, const LedgerRequest &,
                       std::function<void(const LedgerReply &)>)>
        ledger;
};

/// Thrift server for the requests of other nodes. It runs on the event loop of the process.
class PeerServer
{
public:
    PeerServer(EventLoop &loop, PeerHooks hooks);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Throws Failure(AddressUnavailable) if the address cannot be bound.
    void listen(const Address &address);

private:
    evhttp *m_http;
    std::unique_ptr<apache::thrift::async::TEvhttpServer> m_server;
};

} // namespace bramleypitch
