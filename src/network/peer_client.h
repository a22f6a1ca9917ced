#pragma once

#include "coordination/event_type.h"
#include "network/http_client.h"

#include <thrift/protocol/TProtocol.h>

#include <functional>
#include <memory>
#include <optional>

namespace bramleypitch {

/// Thrift client for calls to other nodes. Each call has a timeout. If a peer does not send a valid
/// reply, a callback that takes an optional is called without a value, and any other callback is
/// not called.
class PeerClient
{
public:
    explicit PeerClient(HttpClient &http);

    /// Sends a heartbeat; the peer replies with its own.
    void heartbeat(const Address &peer, const Heartbeat &heartbeat,
                   const std::function<void(const Heartbeat &)> &done);
    /// Requests all shared values above a revision.
    void pull(const Address &peer, Revision above, const std::function<void(SharedPulled)> &done);
    /// Sends a request to the owner of a ledger segment.
    void ledger(const Address &peer, SegmentIndex segment, const LedgerRequest &request,
                const std::function<void(const std::optional<LedgerReply> &)> &done);

private:
    HttpClient &m_http;
    std::unique_ptr<apache::thrift::protocol::TProtocolFactory> m_protocols;
};

} // namespace bramleypitch
