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

/// Start-up options of the daemon.
struct DaemonOptions
{
    NodeOptions node;
    Address platform; ///< The platform's key-value store.
    Address vmList; ///< The server of the platform's VM list.
    Duration leaseTimeToLive {10'000}; ///< Time to live requested for the node's lease.
    Duration tickInterval {20};
};

/// An entry process. It translates input from the event loop into events for its Node and carries
/// out the actions that the Node returns; all decisions are made by the Node.
class Daemon
{
public:
    Daemon(EventLoop &loop, DaemonOptions options);

    /// Opens the listening sockets and starts serving. Throws Failure if an address cannot be
    /// bound.
    void start();
    /// Starts a graceful shutdown; the event loop stops once all requests have ended.
    void stop();

private:
    /// A caller that is waiting for the response to its completion request.
    struct Caller
    {
        bool stream = false; ///< The caller asked for a streamed response.
        bool started = false; ///< The response headers have been sent.
        CompletionWriter writer;
        std::string text; ///< Tokens so far, if the response is not streamed.
        TimePoint arrivedAt;
        TimePoint lastTokenAt;
    };

    /// Queues an event for the node; unless an event is already being handled, handles all queued
    /// events in order.
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
    void perform(const SendLedgerRequest &ledgerRequest);
    void perform(const SendLedgerReply &answer);
    void perform(const DispatchCompletion &dispatch);
    void perform(const DispatchServiceCall &dispatch);
    void perform(const CancelAttempt &cancel);
    void perform(const ForwardToken &token);
    void perform(const ForwardEnd &end);
    void perform(const ForwardServiceResponse &answer);
    void perform(const Refuse &refuse);
    void perform(const LogChange &change);
    void perform(const Stopped &stopped);

    PeerHooks peerHooks();
    void onRequest(const HttpRequest &request);
    void onCompletionRequest(const HttpRequest &request);
    void onServiceCall(const HttpRequest &request);
    void replyEntries(const HttpRequest &request);
    void replyHealth(const HttpRequest &request);
    void replyMetrics(const HttpRequest &request);
    void replyStatus(const HttpRequest &request);

    EventLoop &m_loop;
    DaemonOptions m_options;
    Node m_node;
    HttpClient m_http;
    PlatformClient m_platform;
    LeaseKeeper m_leaseKeeper;
    EngineClient m_engineClient;
    PeerClient m_peerClient;
    HttpServer m_server;
    PeerServer m_peerServer;
    Timer m_tick;
    std::deque<Event> m_events;
    bool m_handlingEvents = false;
    std::map<RequestId, Caller> m_callers;
    std::map<RequestId, TimePoint> m_serviceCallArrivals; ///< Arrival times of open service calls.
    /// Callbacks for ledger requests of peers that have not been answered yet.
    std::map<OperationId, std::function<void(const LedgerReply &)>> m_pendingLedgerReplies;
    std::uint64_t m_lastPeerOperation;
    Distributions m_distributions;
    std::uint64_t m_entriesRequestCount = 0; ///< Requests to /v1/entries; varies the order.
};

} // namespace bramleypitch
