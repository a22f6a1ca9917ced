#pragma once

#include "coordination/event_type.h"
#include "network/http_client.h"

#include <thrift/protocol/TProtocol.h>

#include <functional>
#include <memory>
#include <optional>

namespace bramleypitch {

/// Thrift calls to other nodes. Each call has a time limit; none of the hooks is called where the
/// peer gave no readable answer, unless it takes an optional.
class PeerClient
{
public:
    explicit PeerClient(HttpClient &http);

    void heartbeat(const Address &peer, const Heartbeat &heartbeat,
                   const std::function<void(const Heartbeat &)> &done);
    void pull(const Address &peer, Revision above, const std::function<void(SharedPulled)> &done);
    void ledger(const Address &peer, SegmentIndex segment, const LedgerRequest &request,
                const std::function<void(const std::optional<LedgerReply> &)> &done);

private:
    HttpClient &m_http;
    std::unique_ptr<apache::thrift::protocol::TProtocolFactory> m_protocols;
};

} // namespace bramleypitch
