#include "network/peer_server.h"

#include "core/error_type.h"
#include "network/address_func.h"
#include "network/gen/Peer.h"
#include "network/peer_convert.h"

#include <event2/http.h>
#include <thrift/async/TAsyncProtocolProcessor.h>
#include <thrift/async/TEvhttpServer.h>
#include <thrift/protocol/TCompactProtocol.h>

namespace bramleypitch {

namespace {

constexpr ev_ssize_t maxMessageBytes = 8 * 1024 * 1024;
constexpr int idleTimeoutSeconds = 30;

/// Forwards Thrift calls to the hooks.
class PeerHandler : public peer::PeerCobSvIf
{
public:
    explicit PeerHandler(PeerHooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    void heartbeat(std::function<void(const peer::Heartbeat &)> reply,
                   const peer::Heartbeat &heartbeat) override
    {
        reply(toWire(m_hooks.heartbeat(fromWire(heartbeat))));
    }

    void pull(std::function<void(const peer::SharedValues &)> reply,
              const std::int64_t above) override
    {
        const SharedPulled pulled = m_hooks.pull(Revision(above));
        peer::SharedValues wire;
        for (const SharedValue &value : pulled.values)
            wire.values.push_back(toWire(value));
        wire.newest = pulled.newest.value();
        wire.known = pulled.known;
        wire.evidence_age_ms = pulled.evidenceAge.count();
        reply(wire);
    }

    void ledger(std::function<void(const peer::LedgerReply &)> reply,
                const peer::LedgerRequest &request) override
    {
        m_hooks.ledger(SegmentIndex(static_cast<std::uint32_t>(request.segment)), fromWire(request),
                       [reply](const LedgerReply &answer) { reply(toWire(answer)); });
    }

private:
    PeerHooks m_hooks;
};

} // namespace

PeerServer::PeerServer(EventLoop &loop, PeerHooks hooks)
    : m_http(evhttp_new(loop.base()))
{
    const auto handler = std::make_shared<PeerHandler>(std::move(hooks));
    const auto processor = std::make_shared<peer::PeerAsyncProcessor>(handler);
    const auto protocols = std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>();
    m_server = std::make_unique<apache::thrift::async::TEvhttpServer>(
        std::make_shared<apache::thrift::async::TAsyncProtocolProcessor>(processor, protocols));
    evhttp_set_max_body_size(m_http, maxMessageBytes);
    evhttp_set_timeout(m_http, idleTimeoutSeconds);
    evhttp_set_cb(m_http, "/", apache::thrift::async::TEvhttpServer::request, m_server.get());
}

PeerServer::~PeerServer()
{
    evhttp_free(m_http);
}

void PeerServer::listen(const Address &address)
{
    const HostPort hostPort = parseAddress(address);
    if (evhttp_bind_socket(m_http, hostPort.host.c_str(), hostPort.port) != 0)
        throw bindFailure(address, errno);
}

} // namespace bramleypitch
