#include "network/daemon.h"

#include "core/error_type.h"
#include "network/log.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

namespace {

using nlohmann::json;

/// Ids of operations requested by peers start here, above all ids that the node assigns itself.
constexpr std::uint64_t firstPeerOperationId = std::uint64_t {1} << 62;
constexpr const char *jsonContentType = "application/json";
constexpr const char *eventStreamContentType = "text/event-stream";
constexpr const char *metricsContentType = "text/plain; version=0.0.4";

SwapDone toEvent(OperationId operation, const StoreSwapResult &swap)
{
    SwapDone done;
    done.operation = operation;
    done.outcome = swap.outcome == StoreSwapOutcome::Written ? SwapOutcome::Written
        : swap.outcome == StoreSwapOutcome::Conflict         ? SwapOutcome::Conflict
                                                             : SwapOutcome::Unknown;
    done.revision = swap.revision;
    done.value = swap.value;
    return done;
}

std::string queryParameter(const std::string &query, const std::string &name)
{
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string parameter = query.substr(start, end - start);
        if (parameter.rfind(name + "=", 0) == 0)
            return parameter.substr(name.size() + 1);
        start = end + 1;
    }
    return {};
}

Refuse makeRefusal(const HttpRequest &request, const Failure &failure)
{
    Refuse refuse;
    refuse.request = RequestId(request.exchange.value());
    refuse.code = failure.code();
    refuse.message = failure.what();
    return refuse;
}

} // namespace

Daemon::Daemon(EventLoop &loop, DaemonOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_node(m_options.node)
    , m_http(loop)
    , m_platform(loop, m_http, m_options.platform, m_options.vmList)
    , m_leaseKeeper(
          loop, m_platform, nodePrefix(m_options.node.environment) + m_options.node.node.value(),
          m_options.leaseTimeToLive, [this](const LeaseRenewed &renewed) { post(renewed); })
    , m_engineClient(loop, m_http, m_options.node.node.value(),
                     [this](const Event &event) { post(event); })
    , m_peerClient(m_http)
    , m_server(loop, maxCallerBodyBytes)
    , m_peerServer(loop, peerHooks())
    , m_tick(loop,
             [this] {
                 post(Tick {m_loop.wallTime()});
                 flushLog();
             })
    , m_lastPeerOperation(firstPeerOperationId)
{
    m_server.setRequestHook([this](const HttpRequest &request) { onRequest(request); });
    m_server.setDisconnectHook([this](ExchangeId exchange) {
        const RequestId request(exchange.value());
        m_callers.erase(request);
        m_serviceCallArrivals.erase(request);
        post(CallerDisconnected {request});
    });
}

void Daemon::start()
{
    m_server.listen(m_options.node.entryAddress);
    m_peerServer.listen(m_options.node.peerAddress);
    m_tick.startRepeating(m_options.tickInterval);
    logLine(LogLevel::Info, "started",
            {{"listen", m_options.node.entryAddress.value()},
             {"peer_listen", m_options.node.peerAddress.value()},
             {"environment", m_options.node.environment.value()},
             {"availability_zone", m_options.node.zone.value()}});
    post(Tick {m_loop.wallTime()});
}

void Daemon::stop()
{
    post(StopRequested {});
}

void Daemon::post(Event event)
{
    // An action may post another event synchronously; it is handled after the current one.
    m_events.push_back(std::move(event));
    if (m_handlingEvents)
        return;
    m_handlingEvents = true;
    while (!m_events.empty()) {
        const Event next = std::move(m_events.front());
        m_events.pop_front();
        perform(m_node.handle(next, m_loop.now()));
    }
    m_handlingEvents = false;
}

void Daemon::perform(const Actions &actions)
{
    for (const Action &action : actions)
        std::visit([this](const auto &specific) { perform(specific); }, action);
}

void Daemon::perform(const ReadShared &read)
{
    const TimePoint sentAt = m_loop.now();
    m_platform.readPrefix(sharedPrefix, read.above,
                          [this, operation = read.operation, sentAt](const StoreRead &result) {
                              post(SharedRead {operation, result.ok, result.values, sentAt});
                          });
}

void Daemon::perform(const WatchShared &watch)
{
    m_platform.watchPrefix(
        sharedPrefix, watch.above, [this] { post(SharedWatchUpdated {false}); },
        [this] { post(SharedWatchUpdated {true}); });
}

void Daemon::perform(const ReadNodes &read)
{
    m_platform.readPrefix(nodePrefix(m_options.node.environment), Revision(0),
                          [this, operation = read.operation](const StoreRead &result) {
                              post(NodesRead {operation, result.ok, parseNodeRecords(result)});
                          });
}

void Daemon::perform(const ReadKey &read)
{
    m_platform.readKey(read.key, [this, operation = read.operation](const StoreRead &result) {
        KeyRead done;
        done.operation = operation;
        done.ok = result.ok;
        if (!result.values.empty()) {
            done.revision = result.values.front().revision;
            done.value = result.values.front().value;
        }
        post(std::move(done));
    });
}

void Daemon::perform(const CompareAndSwap &swap)
{
    m_platform.compareAndSwap(swap.key, swap.expected, swap.value, 0,
                              [this, operation = swap.operation](const StoreSwapResult &result) {
                                  post(toEvent(operation, result));
                              });
}

void Daemon::perform(const RenewLease &renew)
{
    m_leaseKeeper.renew(renew);
}

void Daemon::perform(const ReleaseLease &)
{
    m_leaseKeeper.release([this] {
        logLine(LogLevel::Info, "stopped", {});
        flushLog();
        m_loop.stop();
    });
}

void Daemon::perform(const ReadVmList &read)
{
    m_platform.readVmList(
        [this, operation = read.operation](const std::optional<std::vector<VmRecord>> &vms) {
            post(VmListRead {operation, vms.has_value(), vms.value_or(std::vector<VmRecord>())});
        });
}

void Daemon::perform(const SendProbe &probe)
{
    m_engineClient.probe(probe, m_options.node.probeTimeout);
}

void Daemon::perform(const SendOrder &order)
{
    m_engineClient.order(order, m_options.node.orderTimeout);
}

void Daemon::perform(const SendHeartbeat &send)
{
    const TimePoint sentAt = m_loop.now();
    m_peerClient.heartbeat(send.peer, send.heartbeat, [this, sentAt](const Heartbeat &reply) {
        post(HeartbeatReceived {reply, sentAt, true});
    });
}

void Daemon::perform(const PullShared &pull)
{
    const TimePoint sentAt = m_loop.now();
    m_peerClient.pull(pull.peer, pull.above, [this, sentAt](SharedPulled pulled) {
        pulled.sentAt = sentAt;
        post(std::move(pulled));
    });
}

void Daemon::perform(const SendLedgerRequest &ledgerRequest)
{
    m_peerClient.ledger(
        ledgerRequest.peer, ledgerRequest.segment, ledgerRequest.request,
        [this, operation = ledgerRequest.operation](const std::optional<LedgerReply> &reply) {
            post(LedgerReplied {operation, reply.value_or(LedgerReply())});
        });
}

void Daemon::perform(const SendLedgerReply &answer)
{
    const auto found = m_pendingLedgerReplies.find(answer.operation);
    if (found == m_pendingLedgerReplies.end())
        return;
    const auto reply = std::move(found->second);
    m_pendingLedgerReplies.erase(found);
    reply(answer.reply);
}

void Daemon::perform(const DispatchCompletion &dispatch)
{
    m_engineClient.dispatch(dispatch);
}

void Daemon::perform(const DispatchServiceCall &dispatch)
{
    m_engineClient.dispatch(dispatch);
}

void Daemon::perform(const CancelAttempt &cancel)
{
    m_engineClient.cancel(cancel);
}

void Daemon::perform(const ForwardToken &token)
{
    const auto found = m_callers.find(token.request);
    if (found == m_callers.end())
        return;
    Caller &caller = found->second;
    const TimePoint now = m_loop.now();
    if (caller.lastTokenAt == TimePoint())
        m_distributions.firstToken.add(static_cast<double>((now - caller.arrivedAt).count()));
    else
        m_distributions.betweenTokens.add(static_cast<double>((now - caller.lastTokenAt).count()));
    caller.lastTokenAt = now;
    if (!caller.stream) {
        caller.text += token.text;
        return;
    }
    const ExchangeId exchange(token.request.value());
    if (!caller.started) {
        caller.started = true;
        m_server.startStream(exchange, 200, eventStreamContentType);
    }
    m_server.sendChunk(exchange, caller.writer.tokenEvent(token.text));
}

void Daemon::perform(const ForwardEnd &end)
{
    const auto found = m_callers.find(end.request);
    if (found == m_callers.end())
        return;
    const Caller caller = std::move(found->second);
    m_callers.erase(found);
    const ExchangeId exchange(end.request.value());
    if (!caller.stream) {
        m_server.reply(exchange, 200, jsonContentType,
                       caller.writer.responseBody(caller.text, end.tokens));
        return;
    }
    m_server.startStream(exchange, 200, eventStreamContentType);
    m_server.sendChunk(exchange, caller.writer.endEvents());
    m_server.endStream(exchange);
}

void Daemon::perform(const ForwardServiceResponse &answer)
{
    const auto found = m_serviceCallArrivals.find(answer.request);
    if (found == m_serviceCallArrivals.end())
        return;
    m_distributions.serviceCall.add(static_cast<double>((m_loop.now() - found->second).count()));
    m_serviceCallArrivals.erase(found);
    HttpHeaders headers;
    if (answer.repeated)
        headers.emplace_back("Idempotency-Replayed", "true");
    if (answer.outcome.cut)
        headers.emplace_back("Idempotency-Body-Cut", "true");
    m_server.reply(ExchangeId(answer.request.value()), answer.outcome.status,
                   answer.outcome.contentType, answer.outcome.body, headers);
}

void Daemon::perform(const Refuse &refuse)
{
    const ExchangeId exchange(refuse.request.value());
    const auto found = m_callers.find(refuse.request);
    const bool started = found != m_callers.end() && found->second.started;
    m_callers.erase(refuse.request);
    m_serviceCallArrivals.erase(refuse.request);
    if (started) {
        // The status line has already been sent, so the error is reported by an error event and by
        // a body that is not ended.
        m_server.breakStream(exchange, CompletionWriter::errorEvent(refuse));
        return;
    }
    const RefusalResponse text = formatRefusal(refuse);
    m_server.reply(exchange, text.status, jsonContentType, text.body, text.headers);
}

void Daemon::perform(const LogChange &change)
{
    logLine(LogLevel::Info, change.event, {{"detail", change.detail}});
}

void Daemon::perform(const Stopped &)
{
    // The event loop stops once the lease has been released; see ReleaseLease.
}

PeerHooks Daemon::peerHooks()
{
    PeerHooks hooks;
    hooks.heartbeat = [this](const Heartbeat &heartbeat) {
        post(HeartbeatReceived {heartbeat, m_loop.now(), false});
        return m_node.heartbeatReply(m_loop.now());
    };
    hooks.pull = [this](Revision above) {
        const NodeState &state = m_node.state();
        SharedPulled pulled;
        pulled.values = m_node.sharedValuesSince(above);
        pulled.newest = state.shared.newest();
        pulled.known = state.shared.known();
        pulled.evidenceAge = m_loop.now() - state.shared.evidence();
        return pulled;
    };
    hooks.ledger = [this](SegmentIndex segment, const LedgerRequest &request,
                          std::function<void(const LedgerReply &)> reply) {
        const OperationId operation(++m_lastPeerOperation);
        m_pendingLedgerReplies[operation] = std::move(reply);
        post(LedgerRequested {operation, segment, request});
    };
    return hooks;
}

void Daemon::onRequest(const HttpRequest &request)
{
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        onCompletionRequest(request);
    else if (request.path.rfind("/services/", 0) == 0)
        onServiceCall(request);
    else if (request.path == "/v1/entries" && request.method == "GET")
        replyEntries(request);
    else if (request.path == "/healthz" && request.method == "GET")
        replyHealth(request);
    else if (request.path == "/metrics" && request.method == "GET")
        replyMetrics(request);
    else if (request.path == "/status" && request.method == "GET")
        replyStatus(request);
    else
        perform(
            makeRefusal(request, Failure(ErrorCode::UnknownPath, "unknown path " + request.path)));
}

void Daemon::onCompletionRequest(const HttpRequest &request)
{
    try {
        ParsedCompletion parsed = parseCompletion(request);
        Caller caller;
        caller.stream = parsed.stream;
        caller.arrivedAt = m_loop.now();
        caller.writer = CompletionWriter(parsed.nodeEvent.request, parsed.nodeEvent.model.value(),
                                         m_loop.wallTime());
        m_callers[parsed.nodeEvent.request] = std::move(caller);
        post(std::move(parsed.nodeEvent));
    } catch (const Failure &failure) {
        perform(makeRefusal(request, failure));
    }
}

void Daemon::onServiceCall(const HttpRequest &request)
{
    try {
        ServiceRequested nodeEvent = parseServiceCall(request);
        m_serviceCallArrivals[nodeEvent.request] = m_loop.now();
        post(std::move(nodeEvent));
    } catch (const Failure &failure) {
        perform(makeRefusal(request, failure));
    }
}

void Daemon::replyEntries(const HttpRequest &request)
{
    const std::string requestedZone = queryParameter(request.query, "availability_zone");
    const ZoneId preferredZone(requestedZone.empty() ? m_options.node.zone.value() : requestedZone);
    json body {{"entries", json::array()}, {"keep_ms", m_options.node.entryCacheTime.count()}};
    for (const EntryAddress &entry :
         m_node.entries(preferredZone, ++m_entriesRequestCount, m_loop.now()))
        body["entries"].push_back({{"address", entry.address}, {"availability_zone", entry.zone}});
    m_server.reply(request.exchange, 200, jsonContentType, body.dump());
}

void Daemon::replyHealth(const HttpRequest &request)
{
    const bool isAccepting = m_node.isAccepting(m_loop.now());
    m_server.reply(request.exchange, isAccepting ? 200 : 503, jsonContentType,
                   json({{"accepting", isAccepting}}).dump());
}

void Daemon::replyMetrics(const HttpRequest &request)
{
    const NodeState &state = m_node.state();
    const TimePoint now = m_loop.now();
    std::string text = counterText(state.counters);
    text += gaugeText({"open_requests", "Requests not yet answered.",
                       static_cast<double>(m_node.openRequests())});
    text += gaugeText({"configuration_revision", "Revision of the configuration in force.",
                       static_cast<double>(state.envelopeRevision.value())});
    text += gaugeText({"configuration_evidence_age_ms", "Age of the proof that it is current.",
                       static_cast<double>((now - state.shared.evidence()).count())});
    text += gaugeText({"members_alive", "Nodes heard of lately, this one included.",
                       static_cast<double>(state.members.alive(now, true).size())});
    text += gaugeText({"groups_known", "Groups this node may route to.",
                       static_cast<double>(state.groups.size())});
    text += gaugeText({"ledger_segment_writes", "Compare-and-swaps of ledger segments.",
                       static_cast<double>(m_node.ledger().writes())});
    text += m_distributions.firstToken.text("first_token_ms", "Arrival to first token.");
    text += m_distributions.betweenTokens.text("between_tokens_ms", "Token to token.");
    text += m_distributions.serviceCall.text("service_call_ms", "Arrival to service answer.");
    m_server.reply(request.exchange, 200, metricsContentType, text);
}

void Daemon::replyStatus(const HttpRequest &request)
{
    NodeState &state = m_node.state();
    const TimePoint now = m_loop.now();
    json body {{"node", state.options.node},
               {"availability_zone", state.options.zone},
               {"accepting", m_node.isAccepting(now)},
               {"configuration_revision", state.envelopeRevision},
               {"members", json::array()},
               {"groups", json::array()}};
    for (const MemberEntry &entry : state.members.alive(now, true))
        body["members"].push_back({{"node", entry.node}, {"leaving", entry.leaving}});
    state.groups.forEach([&](GroupIndex, Group &group) {
        const GateState gate =
            gateState(group, state.vms, *state.envelope, state.options.placement, now);
        body["groups"].push_back({{"id", group.placed.id},
                                  {"target", group.placed.target},
                                  {"generation", group.placed.generation},
                                  {"members", group.placed.members},
                                  {"home", group.placed.home},
                                  {"gate", gateStateName(gate)},
                                  {"warm", isWarm(group, state.vms)},
                                  {"running", group.ownRunning}});
    });
    m_server.reply(request.exchange, 200, jsonContentType, body.dump());
}

} // namespace bramleypitch
