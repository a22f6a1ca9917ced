#include "coordination/node.h"

#include "coordination/environment_func.h"
#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

Node::Node(NodeOptions options)
    : m_state(std::move(options))
    , m_shared(m_state)
    , m_probes(m_state)
    , m_placement(m_state)
    , m_ledger(ledgerPrefix(m_state.options.environment, m_state.options.stage),
               m_state.options.node.value(), m_state.options.ledger,
               [this] { return m_state.newOperation(); })
    , m_services(m_state,
                 [this](OperationId operation, const LedgerRequest &request, std::uint32_t tries,
                        TimePoint now, Actions &actions) {
                     sendLedgerRequest(operation, request, tries, now, actions);
                 })
    , m_completions(m_state)
{
    m_ledger.setReplyHook([this](OperationId operation, const LedgerReply &reply) {
        m_pendingReplies.push_back({operation, reply});
    });
}

Actions Node::handle(const Event &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concreteEvent) { on(concreteEvent, now, actions); }, event);
    deliverLedgerReplies(now, actions);
    return actions;
}

void Node::on(const Tick &tick, TimePoint now, Actions &actions)
{
    m_state.wall = tick.wall;
    m_shared.tick(now, actions);
    if (now - m_lastControlAt >= m_state.options.controlInterval) {
        m_lastControlAt = now;
        updateGroupShares();
        m_probes.tick(m_placement.owned(), now, actions);
        m_placement.tick(now, actions);
    }
    m_ledger.tick(tick.wall, now, actions);
    m_completions.tick(now, actions);
    m_services.tick(now, actions);
    updateZoneState(now, actions);
    finishStop(now, actions);
}

void Node::on(const SharedRead &read, TimePoint now, Actions &actions)
{
    applyShared(m_shared.onSharedRead(read), now, actions);
}

void Node::on(const SharedWatchUpdated &watched, TimePoint now, Actions &actions)
{
    m_shared.onSharedWatched(watched, now, actions);
}

void Node::on(const SharedPulled &pulled, TimePoint now, Actions &actions)
{
    applyShared(m_shared.onSharedPulled(pulled), now, actions);
}

void Node::applyShared(const std::vector<std::string> &changed, TimePoint now, Actions &actions)
{
    if (changed.empty())
        return;
    const std::string configuration =
        configurationKey(m_state.options.environment, m_state.options.stage);
    const std::string placement = placementKey(DomainId());
    for (const std::string &key : changed) {
        if (key == configuration)
            applyConfiguration(actions);
        else if (key.rfind(placement, 0) == 0)
            storePlacement(m_state, *m_state.shared.find(key));
    }
    updateGroups();
    updateZoneState(now, actions);
    m_completions.dispatchWaiting(now, actions);
}

void Node::applyConfiguration(Actions &actions)
{
    const SharedValue *value =
        m_state.shared.find(configurationKey(m_state.options.environment, m_state.options.stage));
    m_state.envelope = parseEnvelope(value->value);
    m_state.envelopeRevision = value->revision;
    m_state.domains = referencedDomains(m_state.envelope->environment);
    m_state.routed = routedDomains(m_state);
    m_state.groups.applyLimits(m_state.envelope->environment);
    actions.emplace_back(
        LogChange {"configuration_in_force", std::to_string(value->revision.value())});
}

void Node::updateGroups()
{
    if (!m_state.envelope)
        return;
    m_state.groups.retainDomains(m_state.routed);
    for (const DomainId &domain : m_state.routed)
        m_state.groups.update(knownPlacement(m_state, domain).placement, *m_state.envelope);
    m_state.groups.resolve(m_state.vms);
    m_shareViewVersion.reset();
    updateGroupShares();
}

void Node::updateGroupShares()
{
    if (m_shareViewVersion == m_state.members.viewVersion())
        return;
    m_shareViewVersion = m_state.members.viewVersion();
    // Nodes in zones that are out of service accept no new requests, so they need no share.
    std::vector<MemberEntry> activeNodes = m_state.members.view();
    std::erase_if(activeNodes, [&](const MemberEntry &entry) {
        return m_state.envelope && isZoneOut(*m_state.envelope, entry.zone);
    });
    m_state.groups.updateShares(activeNodes, m_state.options.node);
}

void Node::updateZoneState(TimePoint now, Actions &actions)
{
    const bool out = isOwnZoneOut(m_state);
    const bool wasOut = m_state.zoneOutSince != TimePoint();
    if (out == wasOut)
        return;
    m_state.zoneOutSince = out ? now : TimePoint();
    actions.emplace_back(LogChange {out ? "zone_out" : "zone_in", m_state.options.zone.value()});
}

void Node::on(const NodesRead &read, TimePoint now, Actions &)
{
    m_placement.onNodesRead(read);
    if (read.ok)
        m_state.members.mergeRecords(read.nodes, now);
}

void Node::on(const KeyRead &read, TimePoint now, Actions &actions)
{
    m_ledger.onKeyRead(read, now, actions);
}

void Node::on(const SwapDone &done, TimePoint now, Actions &actions)
{
    if (!m_placement.onSwapDone(done, actions))
        m_ledger.onSwapDone(done, now, actions);
}

void Node::on(const LeaseRenewed &renewed, TimePoint, Actions &actions)
{
    m_shared.onLeaseRenewed(renewed, actions);
}

void Node::on(const VmListRead &read, TimePoint, Actions &)
{
    m_probes.onVmListRead(read);
}

void Node::on(const ProbeDone &done, TimePoint now, Actions &actions)
{
    m_probes.onProbeDone(done, now);
    m_completions.dispatchWaiting(now, actions);
}

void Node::on(const OrderDone &done, TimePoint now, Actions &)
{
    m_placement.onOrderDone(done, now);
}

void Node::on(const HeartbeatReceived &received, TimePoint now, Actions &actions)
{
    m_shared.heartbeat(received, now, actions);
}

void Node::on(const LedgerRequested &asked, TimePoint now, Actions &actions)
{
    m_ledger.submit(asked, now, actions);
}

void Node::on(const LedgerReplied &event, TimePoint now, Actions &actions)
{
    m_services.onLedgerReply(event.operation, event.reply, now, actions);
}

void Node::on(const CompletionRequested &asked, TimePoint now, Actions &actions)
{
    m_completions.onCompletionRequested(asked, now, actions);
}

void Node::on(const ServiceRequested &asked, TimePoint now, Actions &actions)
{
    m_services.onServiceRequested(asked, now, actions);
}

void Node::on(const CallerDisconnected &gone, TimePoint now, Actions &actions)
{
    if (!m_completions.onCallerDisconnected(gone.request, now, actions))
        m_services.onCallerDisconnected(gone.request, now, actions);
}

void Node::on(const EngineToken &token, TimePoint now, Actions &actions)
{
    m_completions.onToken(token, now, actions);
}

void Node::on(const EngineEnd &end, TimePoint now, Actions &actions)
{
    m_completions.onEngineEnd(end, now, actions);
}

void Node::on(const AttemptFailed &failure, TimePoint now, Actions &actions)
{
    if (!m_completions.onAttemptFailed(failure, now, actions))
        m_services.onAttemptFailed(failure, now, actions);
}

void Node::on(const ServiceResponded &event, TimePoint now, Actions &actions)
{
    m_services.onServiceResponse(event, now, actions);
}

void Node::on(const StopRequested &, TimePoint now, Actions &actions)
{
    if (m_state.stopping)
        return;
    m_state.stopping = true;
    m_stopRequestedAt = now;
    m_state.members.setLeaving(true);
    actions.emplace_back(LogChange {"stopping", std::to_string(openRequests()) + " requests open"});
}

void Node::finishStop(TimePoint now, Actions &actions)
{
    if (!m_state.stopping || m_stopped || openRequests() > 0)
        return;
    // Peers learn that this node is leaving within a few heartbeats, callers only when their list
    // of entries expires.
    if (now - m_stopRequestedAt < m_state.options.entryCacheTime)
        return;
    m_stopped = true;
    actions.emplace_back(ReleaseLease {});
    actions.emplace_back(Stopped {});
}

void Node::sendLedgerRequest(OperationId operation, const LedgerRequest &request,
                             std::uint32_t tries, TimePoint now, Actions &actions)
{
    const SegmentIndex segment = segmentOf(request.key);
    const auto nodeName = [](const MemberEntry &entry) { return entry.node.value(); };
    const auto owners = rendezvousOrder("ledger/" + std::to_string(segment.value()),
                                        m_state.members.view(), nodeName);
    if (!owners.empty()) {
        const MemberEntry &owner = owners[tries % owners.size()];
        if (owner.node != m_state.options.node) {
            actions.emplace_back(
                SendLedgerRequest {operation, owner.peerAddress, segment, request});
            return;
        }
    }
    m_localLedgerRequests.insert(operation);
    m_ledger.submit({operation, segment, request}, now, actions);
}

void Node::deliverLedgerReplies(TimePoint now, Actions &actions)
{
    while (!m_pendingReplies.empty()) {
        std::vector<PendingLedgerReply> replies;
        replies.swap(m_pendingReplies);
        for (const PendingLedgerReply &entry : replies) {
            if (m_localLedgerRequests.erase(entry.operation) > 0)
                m_services.onLedgerReply(entry.operation, entry.reply, now, actions);
            else
                actions.emplace_back(SendLedgerReply {entry.operation, entry.reply});
        }
    }
}

std::vector<EntryAddress> Node::entries(const ZoneId &near, std::uint64_t spread,
                                        TimePoint now) const
{
    std::vector<EntryAddress> usable;
    for (const MemberEntry &entry : m_state.members.alive(now, false)) {
        if (!m_state.envelope || !isZoneOut(*m_state.envelope, entry.zone))
            usable.push_back({entry.entryAddress, entry.zone});
    }
    const auto name = [](const EntryAddress &entry) { return entry.address.value(); };
    usable = rendezvousOrder(std::to_string(spread), usable, name);
    std::stable_partition(usable.begin(), usable.end(),
                          [&](const EntryAddress &entry) { return entry.zone == near; });
    return usable;
}

} // namespace bramleypitch
