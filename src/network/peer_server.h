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

/// What the server asks of its node.
struct PeerHooks
{
    std::function<Heartbeat(const Heartbeat &)> heartbeat;
    /// Shared values above a revision, with the digest.
    std::function<SharedPulled(Revision above)> pull;
    /// The answer may come later.
    std::function<void(SegmentIndex, const LedgerRequest &,
                       std::function<void(const LedgerReply &)>)>
        ledger;
};

/// Thrift server for other nodes, on the same loop as everything else.
class PeerServer
{
public:
    PeerServer(EventLoop &loop, PeerHooks hooks);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Throws Failure(InvalidSetting) if the address cannot be bound.
    void listen(const Address &address);

private:
    evhttp *m_http;
    std::unique_ptr<apache::thrift::async::TEvhttpServer> m_server;
};

} // namespace bramleypitch
