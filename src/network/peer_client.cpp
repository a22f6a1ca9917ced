#include "network/peer_client.h"

#include "network/gen/Peer.h"
#include "network/peer_convert.h"

#include <thrift/async/TAsyncChannel.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace bramleypitch {

namespace {

using apache::thrift::TException;
using apache::thrift::async::TAsyncChannel;
using apache::thrift::transport::TMemoryBuffer;

constexpr Duration callTimeout {1'000};
constexpr int statusOk = 200;

/// A Thrift channel that sends one call through HttpClient. Thrift's own evhttp channel is not
/// used, because it has no timeout and throws exceptions through the event loop.
class CallChannel : public TAsyncChannel
{
public:
    CallChannel(HttpClient &http, Address peer)
        : m_http(http)
        , m_peer(std::move(peer))
    {
    }

    bool good() const override { return true; }
    bool error() const override { return false; }
    bool timedOut() const override { return false; }

    void sendMessage(const VoidCallback &done, TMemoryBuffer *message) override
    {
        sendAndRecvMessage(done, message, message);
    }

    void recvMessage(const VoidCallback &done, TMemoryBuffer *) override { done(); }

    void sendAndRecvMessage(const VoidCallback &done, TMemoryBuffer *request,
                            TMemoryBuffer *reply) override
    {
        HttpCall call;
        call.address = m_peer;
        call.method = "POST";
        call.headers = {{"Content-Type", "application/x-thrift"}};
        call.body = request->getBufferAsString();
        call.timeLimit = callTimeout;
        request->resetBuffer();
        HttpHooks hooks;
        hooks.onResponse = [done, reply](const HttpResponse &response) {
            reply->resetBuffer();
            if (response.status == statusOk)
                reply->write(reinterpret_cast<const std::uint8_t *>(response.body.data()),
                             static_cast<std::uint32_t>(response.body.size()));
            done();
        };
        hooks.onFailure = [done, reply](const HttpFailure &) {
            reply->resetBuffer();
            done();
        };
        m_http.send(call, std::move(hooks));
    }

private:
    HttpClient &m_http;
    Address m_peer;
};

using ClientPtr = std::shared_ptr<peer::PeerCobClient>;

} // namespace

PeerClient::PeerClient(HttpClient &http)
    : m_http(http)
    , m_protocols(std::make_unique<apache::thrift::protocol::TCompactProtocolFactory>())
{
}

void PeerClient::heartbeat(const Address &address, const Heartbeat &heartbeat,
                           const std::function<void(const Heartbeat &)> &done)
{
    const ClientPtr client = std::make_shared<peer::PeerCobClient>(
        std::make_shared<CallChannel>(m_http, address), m_protocols.get());
    client->heartbeat(
        [client, done](peer::PeerCobClient *) {
            peer::Heartbeat reply;
            try {
                client->recv_heartbeat(reply);
            } catch (const TException &) {
                return;
            }
            done(fromWire(reply));
        },
        toWire(heartbeat));
}

void PeerClient::pull(const Address &address, Revision above,
                      const std::function<void(SharedPulled)> &done)
{
    const ClientPtr client = std::make_shared<peer::PeerCobClient>(
        std::make_shared<CallChannel>(m_http, address), m_protocols.get());
    client->pull(
        [client, done](peer::PeerCobClient *) {
            peer::SharedValues reply;
            try {
                client->recv_pull(reply);
            } catch (const TException &) {
                return;
            }
            SharedPulled pulled;
            for (const peer::SharedValue &value : reply.values)
                pulled.values.push_back(fromWire(value));
            pulled.newest = Revision(reply.newest);
            pulled.known = reply.known;
            pulled.evidenceAge = Duration(reply.evidence_age_ms);
            done(std::move(pulled));
        },
        above.value());
}

void PeerClient::ledger(const Address &address, SegmentIndex segment, const LedgerRequest &request,
                        const std::function<void(const std::optional<LedgerReply> &)> &done)
{
    const ClientPtr client = std::make_shared<peer::PeerCobClient>(
        std::make_shared<CallChannel>(m_http, address), m_protocols.get());
    client->ledger(
        [client, done](peer::PeerCobClient *) {
            peer::LedgerReply reply;
            try {
                client->recv_ledger(reply);
            } catch (const TException &) {
                done(std::nullopt);
                return;
            }
            done(fromWire(reply));
        },
        toWire(segment, request));
}

} // namespace bramleypitch
