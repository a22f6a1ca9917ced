#include "coordination/placement_system.h"

#include "coordination/environment_func.h"
#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// After this time the reply to a compare-and-swap is considered lost.
constexpr Duration swapTimeout {5'000};

} // namespace

PlacementSystem::PlacementSystem(NodeState &state)
    : m_state(state)
{
}

void PlacementSystem::updateOwnedDomains(TimePoint now)
{
    const std::pair versions(m_state.members.viewVersion(), m_state.envelopeRevision);
    if (m_ownedVersions == versions)
        return;
    m_ownedVersions = versions;
    const auto name = [](const MemberEntry &entry) -> const std::string & {
        return entry.node.value();
    };
    std::set<DomainId> owned;
    for (const DomainId &domain : m_state.domains) {
        const MemberEntry *owner = rendezvousFirst(domain.value(), m_state.members.view(), name);
        if (!owner || owner->node != m_state.options.node)
            continue;
        owned.insert(domain);
        if (!m_domains.count(domain))
            m_domains[domain].ownedSince = now;
    }
    for (auto it = m_domains.begin(); it != m_domains.end();)
        it = owned.count(it->first) ? std::next(it) : m_domains.erase(it);
    m_ownedDomains = std::move(owned);
}

void PlacementSystem::readNodes(TimePoint now, Actions &actions)
{
    if (m_nodesRequested && now - m_nodesRequestedAt < m_state.options.nodesReadInterval)
        return;
    m_nodesRequested = true;
    m_nodesRequestedAt = now;
    m_nodesOperation = m_state.newOperation();
    m_state.counters.add(Counter::PlatformReads);
    actions.emplace_back(ReadNodes {m_nodesOperation});
}

void PlacementSystem::onNodesRead(const NodesRead &read)
{
    m_state.nodeRecordsKnown = read.ok;
    if (read.ok)
        m_state.nodeRecords = read.nodes;
}

void PlacementSystem::tick(TimePoint now, Actions &actions)
{
    if (!m_state.envelope)
        return;
    updateOwnedDomains(now);
    // The owner of a domain needs the node records to plan. A node that knows no other member reads
    // them to find its peers.
    const bool isOnlyNode = m_state.members.knownCount() == 1;
    if (!m_domains.empty() || isOnlyNode)
        readNodes(now, actions);
    for (auto &[domain, owned] : m_domains) {
        plan(domain, owned, now, actions);
        sendPendingOrders(domain, owned, now, actions);
    }
}

PlanInput PlacementSystem::planInput(const DomainId &domain, const OwnedDomain &owned) const
{
    PlanInput input;
    input.domain = domain;
    input.envelope = &*m_state.envelope;
    input.vms = &m_state.vms;
    input.nodes = m_state.nodeRecords;
    input.releaseConfirmedAt = owned.releaseConfirmedAt;
    input.ownerSince = owned.ownedSince;
    return input;
}

void PlacementSystem::plan(const DomainId &domain, OwnedDomain &owned, TimePoint now,
                           Actions &actions)
{
    if (owned.isSwapPending && now - owned.swapSentAt < swapTimeout)
        return;
    // Without a recent read of the platform the write would fail or be based on outdated values.
    const bool isCurrent = now - m_state.shared.evidence() < m_state.options.configurationFreshness;
    if (!isCurrent || !m_state.nodeRecordsKnown)
        return;
    const KnownPlacement &known = knownPlacement(m_state, domain);
    if (known.revision < owned.awaitedRevision)
        return;
    pruneReleaseConfirmations(known.placement, owned);
    const PlanInput input = planInput(domain, owned);
    std::optional<DomainPlacement> next =
        planDomain(known.placement, input, m_state.options.placement, now);
    if (!next)
        return;
    owned.isSwapPending = true;
    owned.swapSentAt = now;
    owned.operation = m_state.newOperation();
    next->domain = domain;
    next->nonce = Nonce(m_state.options.node.value() + "-" + std::to_string(m_state.random()));
    owned.pendingPlacement = *next;
    m_state.counters.add(Counter::PlatformWrites);
    actions.emplace_back(CompareAndSwap {owned.operation, placementKey(domain), known.revision,
                                         serializePlacement(*next), next->nonce});
}

void PlacementSystem::pruneReleaseConfirmations(const DomainPlacement &placement,
                                                OwnedDomain &owned)
{
    for (auto it = owned.releaseConfirmedAt.begin(); it != owned.releaseConfirmedAt.end();) {
        const bool isStillReleased = std::any_of(
            placement.released.begin(), placement.released.end(), [&](const ReleasedVm &released) {
                return ReleaseKey(released.vm, released.fence) == it->first;
            });
        it = isStillReleased ? std::next(it) : owned.releaseConfirmedAt.erase(it);
    }
}

bool PlacementSystem::onSwapDone(const SwapDone &done, Actions &actions)
{
    for (auto &[domain, owned] : m_domains) {
        if (!owned.isSwapPending || owned.operation != done.operation)
            continue;
        owned.isSwapPending = false;
        if (done.outcome == SwapOutcome::Conflict)
            m_state.counters.add(Counter::SwapConflicts);
        if (done.outcome == SwapOutcome::Unknown)
            m_state.counters.add(Counter::SwapUnknown);
        if (done.outcome != SwapOutcome::Written)
            return true;
        const KnownPlacement &before = knownPlacement(m_state, domain);
        logChanges(before.placement, owned.pendingPlacement, actions);
        owned.awaitedRevision = done.revision;
        m_state.readSharedNow = true;
        return true;
    }
    return false;
}

void PlacementSystem::logChanges(const DomainPlacement &before, const DomainPlacement &after,
                                 Actions &actions)
{
    const auto containsGroup = [](const DomainPlacement &placement, const PlacedGroup &group) {
        return std::any_of(
            placement.groups.begin(), placement.groups.end(),
            [&](const PlacedGroup &other) { return other.generation == group.generation; });
    };
    for (const PlacedGroup &group : before.groups) {
        if (containsGroup(after, group))
            continue;
        m_state.counters.add(Counter::GroupsDissolved);
        actions.emplace_back(LogChange {"group_dissolved", group.id.value()});
    }
    for (const PlacedGroup &group : after.groups) {
        if (containsGroup(before, group))
            continue;
        m_state.counters.add(Counter::GroupsFormed);
        actions.emplace_back(LogChange {"group_formed", group.id.value()});
    }
}

std::uint64_t PlacementSystem::countMembersWithoutWeights(const PlacedGroup &group) const
{
    const ModelGroupSpec *spec =
        findModelGroup(m_state.envelope->environment, ModelGroupId(group.target));
    std::uint64_t missing = 0;
    for (const VmId &member : group.members) {
        const Vm *vm = m_state.vms.find(member);
        if (!vm || !vm->report || !spec || vm->report->heldModel != spec->model)
            ++missing;
    }
    return missing;
}

bool PlacementSystem::isReady(const PlacedGroup &group) const
{
    return std::all_of(group.members.begin(), group.members.end(), [&](const VmId &member) {
        const Vm *vm = m_state.vms.find(member);
        return vm && vm->report && vm->report->state == EngineState::Ready
            && vm->report->group == group.id && vm->report->generation == group.generation;
    });
}

bool PlacementSystem::isLoading(const PlacedGroup &group) const
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const VmId &member) {
        const Vm *vm = m_state.vms.find(member);
        return vm && vm->report && vm->report->group == group.id;
    });
}

void PlacementSystem::sendPendingOrders(const DomainId &domain, OwnedDomain &owned, TimePoint now,
                                        Actions &actions)
{
    const KnownPlacement &known = knownPlacement(m_state, domain);
    for (const ReleasedVm &released : known.placement.released)
        sendReleaseOrder(domain, owned, released, now, actions);
    // The weight store is rate-limited. Only a few groups load at a time, beginning with those that
    // have the fewest members without weights.
    std::vector<const PlacedGroup *> notLoading;
    std::size_t loading = 0;
    for (const PlacedGroup &group : known.placement.groups) {
        const bool isOwnEnvironment = group.environment == m_state.options.environment;
        const ModelGroupSpec *spec =
            findModelGroup(m_state.envelope->environment, ModelGroupId(group.target));
        if (!isOwnEnvironment || !spec || isReady(group))
            continue;
        if (isLoading(group)) {
            ++loading;
            sendLoadOrders(domain, group, now, actions);
        } else {
            notLoading.push_back(&group);
        }
    }
    std::stable_sort(notLoading.begin(), notLoading.end(),
                     [&](const PlacedGroup *a, const PlacedGroup *b) {
                         return countMembersWithoutWeights(*a) < countMembersWithoutWeights(*b);
                     });
    for (const PlacedGroup *group : notLoading) {
        if (loading >= m_state.options.loadsAtOnce)
            return;
        ++loading;
        sendLoadOrders(domain, *group, now, actions);
    }
    // Spares fetch weights only when no group is loading from the weight store.
    if (loading == 0)
        prefetch(domain, owned, now, actions);
}

void PlacementSystem::prefetch(const DomainId &domain, OwnedDomain &owned, TimePoint now,
                               Actions &actions)
{
    if (now < owned.prefetchAfter)
        return;
    const std::optional<Prefetch> next =
        nextPrefetch(knownPlacement(m_state, domain).placement, planInput(domain, owned),
                     m_state.options.placement, now);
    if (!next)
        return;
    const Vm *vm = m_state.vms.find(next->vm);
    owned.prefetchAfter = now + m_state.options.prefetchInterval;
    m_state.counters.add(Counter::OrdersSent);
    SendOrder send;
    send.operation = m_state.newOperation();
    send.vm = next->vm;
    send.address = vm->record.address;
    send.kind = OrderKind::Prefetch;
    send.generation = vm->report->generation;
    send.model = next->model;
    actions.emplace_back(std::move(send));
}

void PlacementSystem::sendLoadOrders(const DomainId &domain, const PlacedGroup &group,
                                     TimePoint now, Actions &actions)
{
    for (const VmId &member : group.members) {
        const Vm *vm = m_state.vms.find(member);
        if (!vm || !vm->report)
            continue;
        const bool hasAcceptedOrder =
            vm->report->group == group.id && vm->report->generation == group.generation;
        if (!hasAcceptedOrder)
            sendOrder(domain, *vm, OrderKind::Load, group, now, actions);
    }
}

void PlacementSystem::sendReleaseOrder(const DomainId &domain, OwnedDomain &owned,
                                       const ReleasedVm &released, TimePoint now, Actions &actions)
{
    const Vm *vm = m_state.vms.find(released.vm);
    if (!vm || !vm->report)
        return;
    const auto confirmed = owned.releaseConfirmedAt.find({released.vm, released.fence});
    const bool reportsGroup = !vm->report->group.value().empty();
    if (confirmed != owned.releaseConfirmedAt.end()) {
        // An engine without fencing has carried out an outdated load order that arrived after the
        // release, so it must be released again.
        if (!reportsGroup || vm->confirmedAt < confirmed->second)
            return;
        owned.releaseConfirmedAt.erase(confirmed);
    }
    PlacedGroup noGroup;
    noGroup.generation = released.fence;
    sendOrder(domain, *vm, OrderKind::Release, noGroup, now, actions);
}

void PlacementSystem::sendOrder(const DomainId &domain, const Vm &vm, OrderKind kind,
                                const PlacedGroup &group, TimePoint now, Actions &actions)
{
    const auto pending = m_orders.find(vm.record.id);
    if (pending != m_orders.end() && now - pending->second.sentAt < m_state.options.orderTimeout
        && pending->second.generation == group.generation)
        return;
    PendingOrder order {m_state.newOperation(), now, kind, group.generation, domain};
    m_orders[vm.record.id] = order;
    m_state.counters.add(Counter::OrdersSent);
    SendOrder send;
    send.operation = order.operation;
    send.vm = vm.record.id;
    send.address = vm.record.address;
    send.kind = kind;
    send.group = group.id;
    send.generation = group.generation;
    const ModelGroupSpec *spec =
        findModelGroup(m_state.envelope->environment, ModelGroupId(group.target));
    if (spec)
        send.model = spec->model;
    for (const VmId &member : group.members) {
        if (const Vm *other = m_state.vms.find(member))
            send.members.push_back(other->record.address);
    }
    actions.emplace_back(std::move(send));
}

bool PlacementSystem::onOrderDone(const OrderDone &done, TimePoint now)
{
    const auto found = m_orders.find(done.vm);
    if (found == m_orders.end() || found->second.operation != done.operation)
        return false;
    const PendingOrder order = found->second;
    if (!done.ok)
        return true; // The order is sent again after the order timeout.
    m_orders.erase(found);
    const auto domain = m_domains.find(order.domain);
    if (domain != m_domains.end() && order.kind == OrderKind::Release)
        domain->second.releaseConfirmedAt[{done.vm, order.generation}] = now;
    return true;
}

} // namespace bramleypitch
