// The store of the simulated deployment, and messages between nodes.

#include "world.h"

#include <algorithm>

namespace bramleypitch::test {

namespace {

constexpr std::int64_t storeTimeoutMs = 1'500;
constexpr std::int64_t leaseDurationMs = 10'000;

} // namespace

bool World::platformReachable(const NodeSlot &slot) const
{
    return m_now >= m_outageUntil && m_now >= slot.platformCutUntil;
}

bool World::swapStore(const std::string &key, std::int64_t expected, const std::string &value,
                      std::int64_t lease)
{
    const auto found = m_store.find(key);
    const std::int64_t held = found == m_store.end() ? 0 : found->second.revision;
    if (held != expected)
        return false;
    m_store[key] = {value, ++m_revision, lease};
    checkPlacement(key, value);
    return true;
}

std::vector<SharedValue> World::readPrefix(const std::string &prefix, std::int64_t above) const
{
    std::vector<SharedValue> values;
    for (const auto &[key, entry] : m_store) {
        if (key.rfind(prefix, 0) == 0 && entry.revision > above)
            values.push_back({key, Revision(entry.revision), entry.value});
    }
    return values;
}

void World::expireLeases()
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (m_now < it->second) {
            ++it;
            continue;
        }
        std::erase_if(m_store, [&](const auto &entry) { return entry.second.lease == it->first; });
        it = m_leases.erase(it);
    }
}

void World::callStore(std::uint32_t node, const std::function<Event()> &execute,
                      const Event &failure)
{
    const std::uint64_t instance = m_nodes[node].instance;
    const std::int64_t sentAt = m_now;
    const bool reachable = platformReachable(m_nodes[node]);
    if (!reachable) {
        after(storeTimeoutMs, [=, this] { deliver(node, instance, failure); });
        return;
    }
    after(delay(), [=, this] {
        expireLeases();
        const Event reply = execute();
        const bool lost =
            !platformReachable(m_nodes[node]) || (m_now < m_loseRepliesUntil && chance(0.5));
        const std::int64_t replyDelay = delay();
        const bool late = m_now + replyDelay - sentAt > storeTimeoutMs;
        if (lost || late)
            after(std::max<std::int64_t>(1, sentAt + storeTimeoutMs - m_now),
                  [=, this] { deliver(node, instance, failure); });
        else
            after(replyDelay, [=, this] { deliver(node, instance, reply); });
    });
}

void World::act(std::uint32_t node, const ReadShared &read)
{
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    callStore(
        node,
        [=, this]() -> Event {
            return SharedRead {read.operation, true, readPrefix(sharedPrefix, read.above.value()),
                               sentAt};
        },
        SharedRead {read.operation, false, {}, sentAt});
}

void World::act(std::uint32_t node, const ReadNodes &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            NodesRead result {read.operation, true, {}};
            for (const SharedValue &value : readPrefix(nodePrefix(EnvironmentId("world")), 0)) {
                NodeRecord record;
                record.node = NodeId(value.value);
                record.incarnation = Incarnation(value.revision.value());
                record.entryAddress = record.peerAddress = Address(value.value);
                result.nodes.push_back(record);
            }
            return result;
        },
        NodesRead {read.operation, false, {}});
}

void World::act(std::uint32_t node, const ReadKey &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            const auto found = m_store.find(read.key);
            if (found == m_store.end())
                return KeyRead {read.operation, true, Revision(0), {}};
            return KeyRead {read.operation, true, Revision(found->second.revision),
                            found->second.value};
        },
        KeyRead {read.operation, false, {}, {}});
}

void World::act(std::uint32_t node, const CompareAndSwap &swap)
{
    // The daemon reads the value back after a lost reply. The simulation leaves the outcome
    // unknown, which is the harder case for the node.
    callStore(
        node,
        [=, this]() -> Event {
            if (swapStore(swap.key, swap.expected.value(), swap.value, 0))
                return SwapDone {swap.operation, SwapOutcome::Written, Revision(m_revision), {}};
            const Entry &held = m_store[swap.key];
            return SwapDone {swap.operation, SwapOutcome::Conflict, Revision(held.revision),
                             held.value};
        },
        SwapDone {swap.operation, SwapOutcome::Unknown, {}, {}});
}

void World::act(std::uint32_t node, const RenewLease &renew)
{
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    const std::uint64_t instance = m_nodes[node].instance;
    const std::string key = nodePrefix(EnvironmentId("world")) + "n" + std::to_string(node);
    callStore(
        node,
        [=, this]() -> Event {
            NodeSlot &slot = m_nodes[node];
            LeaseRenewed failed {renew.operation, false, {}, sentAt, {}};
            if (slot.instance != instance)
                return failed;
            if (slot.lease == 0 || !m_leases.count(slot.lease)) {
                if (m_store.count(key))
                    return failed;
                slot.lease = ++m_lastLease;
                swapStore(key, 0, "n" + std::to_string(node), slot.lease);
            }
            m_leases[slot.lease] = m_now + leaseDurationMs;
            return LeaseRenewed {renew.operation, true, Incarnation(m_store[key].revision), sentAt,
                                 Duration(leaseDurationMs)};
        },
        LeaseRenewed {renew.operation, false, {}, sentAt, {}});
}

void World::act(std::uint32_t node, const ReleaseLease &)
{
    if (platformReachable(m_nodes[node]) && m_nodes[node].lease != 0)
        m_leases[m_nodes[node].lease] = m_now;
}

void World::act(std::uint32_t node, const ReadVmList &read)
{
    callStore(
        node,
        [=, this]() -> Event {
            VmListRead result {read.operation, true, {}};
            for (const VmSlot &vm : m_vms) {
                if (vm.listed)
                    result.vms.push_back(vm.record);
            }
            return result;
        },
        VmListRead {read.operation, false, {}});
}

bool World::peersReachable(std::uint32_t from, std::uint32_t to) const
{
    return m_nodes[to].node && m_now >= m_nodes[from].peersCutUntil
        && m_now >= m_nodes[to].peersCutUntil;
}

void World::act(std::uint32_t node, const SendHeartbeat &send)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(send.to.value().substr(1)));
    const std::uint64_t instance = m_nodes[node].instance;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    after(delay(), [=, this] {
        if (!peersReachable(node, to) || m_now < m_nodes[to].pausedUntil)
            return;
        handle(to, HeartbeatReceived {send.heartbeat, nodeTime(m_nodes[to]), false});
        if (!m_nodes[to].node)
            return;
        const Heartbeat reply = m_nodes[to].node->heartbeatReply(nodeTime(m_nodes[to]));
        after(delay(), [=, this] {
            if (peersReachable(to, node))
                deliver(node, instance, HeartbeatReceived {reply, sentAt, true});
        });
    });
}

void World::act(std::uint32_t node, const PullShared &pull)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(pull.peer.value().substr(1)));
    const std::uint64_t instance = m_nodes[node].instance;
    const TimePoint sentAt = nodeTime(m_nodes[node]);
    after(delay(), [=, this] {
        if (!peersReachable(node, to) || m_now < m_nodes[to].pausedUntil)
            return;
        const NodeState &state = m_nodes[to].node->state();
        SharedPulled pulled;
        pulled.values = state.shared.since(pull.above);
        pulled.newest = state.shared.newest();
        pulled.known = state.shared.known();
        pulled.evidenceAge = nodeTime(m_nodes[to]) - state.shared.evidence();
        pulled.sentAt = sentAt;
        after(delay(), [=, this] {
            if (peersReachable(to, node))
                deliver(node, instance, pulled);
        });
    });
}

void World::act(std::uint32_t node, const SendLedgerRequest &sendLedger)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(sendLedger.peer.value().substr(1)));
    const std::uint64_t instance = m_nodes[node].instance;
    after(delay(), [=, this] {
        if (!peersReachable(node, to))
            return;
        const std::uint64_t id = ++m_lastLedgerRequest;
        m_pendingLedgerRequests[id] = {node, sendLedger.operation};
        (void)instance;
        deliver(to, m_nodes[to].instance,
                LedgerRequested {OperationId(id), sendLedger.segment, sendLedger.request});
    });
}

void World::act(std::uint32_t node, const SendLedgerReply &answer)
{
    const auto found = m_pendingLedgerRequests.find(answer.operation.value());
    if (found == m_pendingLedgerRequests.end())
        return;
    const std::uint32_t requester = found->second.first;
    const OperationId operation = found->second.second;
    m_pendingLedgerRequests.erase(found);
    const std::uint64_t instance = m_nodes[requester].instance;
    after(delay(), [=, this] {
        if (peersReachable(node, requester))
            deliver(requester, instance, LedgerReplied {operation, answer.reply});
    });
}

} // namespace bramleypitch::test
