#pragma once

#include "coordination/node.h"
#include "network/caller_api.h"
#include "network/engine_client.h"
#include "network/event_loop.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "network/lease_keeper.h"
#include "network/metrics.h"
#include "network/peer_client.h"
#include "network/peer_server.h"
#include "network/platform_client.h"

#include <deque>
#include <map>
#include <string>

namespace bramleypitch {

/// What the daemon is started with.
struct DaemonOptions
{
    NodeOptions node;
    Address platform;
    Address vmList;
    Duration leaseTime {10'000};
    Duration tickInterval {20};
};

/// One entry process: turns what the event loop brings into events of its Node, and the Node's
/// actions into calls. It decides nothing itself.
class Daemon
{
public:
    Daemon(EventLoop &loop, DaemonOptions options);

    /// Opens the sockets and begins. Throws Failure if an address cannot be bound.
    void start();
    /// Begins the planned stop; the loop is stopped once every request has ended.
    void stop();

private:
    /// A caller whose completion is not answered yet.
    struct Caller
    {
        bool stream = false;
        bool started = false;
        CompletionWriter writer;
        std::string text; ///< Tokens so far, where the answer is given at once.
        TimePoint arrivedAt;
        TimePoint lastTokenAt;
    };

    void post(Event event);
    void perform(const Actions &actions);
    void perform(const ReadShared &read);
    void perform(const WatchShared &watch);
    void perform(const ReadNodes &read);
    void perform(const ReadKey &read);
    void perform(const CompareAndSwap &swap);
    void perform(const RenewLease &renew);
    void perform(const ReleaseLease &release);
    void perform(const ReadVmList &read);
    void perform(const SendProbe &probe);
    void perform(const SendOrder &order);
    void perform(const SendHeartbeat &heartbeat);
    void perform(const PullShared &pull);
    void perform(const SendLedger &ask);
    void perform(const AnswerLedger &answer);
    void perform(const DispatchEngine &dispatch);
    void perform(const DispatchService &dispatch);
    void perform(const CancelAttempt &cancel);
    void perform(const AnswerToken &token);
    void perform(const AnswerEnd &end);
    void perform(const AnswerService &answer);
    void perform(const Refuse &refuse);
    void perform(const LogChange &change);
    void perform(const Stopped &stopped);

    PeerHooks peerHooks();
    void requestCame(const HttpRequest &request);
    void completionCame(const HttpRequest &request);
    void serviceCame(const HttpRequest &request);
    void replyEntries(const HttpRequest &request);
    void replyHealth(const HttpRequest &request);
    void replyMetrics(const HttpRequest &request);
    void replyStatus(const HttpRequest &request);

    EventLoop &m_loop;
    DaemonOptions m_options;
    Node m_node;
    HttpClient m_http;
    PlatformClient m_platform;
    LeaseKeeper m_lease;
    EngineClient m_engines;
    PeerClient m_peers;
    HttpServer m_server;
    PeerServer m_peerServer;
    Timer m_tick;
    std::deque<Event> m_events;
    bool m_handling = false;
    std::map<RequestId, Caller> m_callers;
    std::map<RequestId, TimePoint> m_serviceCallers;
    std::map<OperationId, std::function<void(const LedgerReply &)>> m_ledgerAskers;
    std::uint64_t m_lastPeerOperation;
    Distributions m_distributions;
    std::uint64_t m_entriesAsked = 0;
};

} // namespace bramleypitch
