#include "formation/formation_system.h"

#include "core/rendezvous_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Share of the weight store's admitted starts that the domains deal out among themselves: the
/// rest is slack for starts that fall at the edge of a window.
constexpr double loadRateShare = 0.85;
/// Each domain may start one load at once, so that all together keep the store's limit.
constexpr double mostLoadTokens = 1;
/// Requests under way below which the published shares say more than what is measured.
constexpr double fewRequests = 20;
/// Weight of the measured work against the published shares.
constexpr double measuredWeight = 0.7;
/// A load takes longer while others run; after so many load times it counts as lost.
constexpr int stagingPatience = 3;

bool claims(const Backend &backend, const PlannedGroup &group)
{
    const GroupClaim &claim = backend.report.group;
    return claim.state != MemberState::None && claim.name == group.name
        && claim.generation == group.generation;
}

const PlannedGroup *groupOf(const FormationPlan &plan, const VmId &vm)
{
    for (const PlannedGroup &group : plan.groups) {
        for (const PlannedMember &member : group.members) {
            if (member.vm == vm)
                return &group;
        }
    }
    return nullptr;
}

std::vector<VmId> memberIds(const PlannedGroup &group)
{
    std::vector<VmId> ids;
    for (const PlannedMember &member : group.members)
        ids.push_back(member.vm);
    return ids;
}

/// The member in the life that was planned for, or null.
const Backend *present(const BackendTable &backends, const PlannedMember &member)
{
    const Backend *backend = backends.find(member.vm);
    return backend && backend->report.startedAt == member.startedAt ? backend : nullptr;
}

} // namespace

FormationSystem::FormationSystem(FormationOptions options, BackendTable &backends,
                                 TimePoint startedAt)
    : m_options(std::move(options))
    , m_backends(backends)
    , m_startedAt(startedAt)
{
}

void FormationSystem::setConfiguration(ServingConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
}

const ServedService *FormationSystem::engineService() const
{
    if (!m_configuration)
        return nullptr;
    for (const auto &[id, service] : m_configuration->services) {
        if (service.engine && !service.engine->models.empty())
            return &service;
    }
    return nullptr;
}

bool FormationSystem::owns(const DomainId &domain) const
{
    const NodeId *first = rendezvousFirst(
        domain.value(), m_nodes, [](const NodeId &node) { return std::string_view(node.value()); });
    return first && *first == m_options.node;
}

bool FormationSystem::beforeTraffic(TimePoint now) const
{
    return m_firstStart && now - m_startedAt < m_options.startLoads;
}

void FormationSystem::planRead(const DomainId &id, const FormationPlan &plan, Revision revision)
{
    Domain &domain = m_domains[id];
    if (revision < domain.revision)
        return;
    domain.plan = plan;
    domain.revision = revision;
}

void FormationSystem::planWritten(const DomainId &id, const FormationPlan &plan, Revision revision)
{
    Domain &domain = m_domains[id];
    domain.writing = false;
    if (revision > domain.revision) {
        domain.plan = plan;
        domain.revision = revision;
    }
}

void FormationSystem::orderDone(const GroupOrderDone &done, TimePoint now,
                                FormationActions &actions)
{
    const auto sent = m_orders.find(done.vm);
    if (sent == m_orders.end())
        return;
    if (done.outcome == GroupOrderOutcome::Refused)
        sent->second.retryAt = now + m_options.refusedPause;
    if (done.outcome != GroupOrderOutcome::Accepted) {
        const bool refused = done.outcome == GroupOrderOutcome::Refused;
        actions.push_back(NoteFormation {"order_failed",
                                         {{"server", done.vm.value()},
                                          {"order", groupOrderName(sent->second.kind)},
                                          {"group", sent->second.group.value()},
                                          {"outcome", refused ? "refused" : "unknown"}}});
    }
}

bool FormationSystem::isDue(TimePoint now) const
{
    return now - m_tickedAt >= m_options.interval && now - m_startedAt >= m_options.settle
        && engineService();
}

void FormationSystem::tick(TimePoint now, FormationActions &actions)
{
    if (!isDue(now))
        return;
    m_tickedAt = now;
    if (m_backends.size() > m_mostServers) {
        m_mostServers = m_backends.size();
        m_newServerAt = now;
    }
    if (beforeTraffic(now) && now - m_newServerAt < m_options.settle)
        return; // Servers are still coming: what is left over by then would stay without a group.
    m_ownedCount = 0;
    for (const DomainId &id : m_backends.domains())
        m_domains.try_emplace(id);
    for (auto &[id, domain] : m_domains) {
        if (!owns(id)) {
            domain.ownedSince = TimePoint();
            continue;
        }
        ++m_ownedCount;
        if (domain.ownedSince == TimePoint()) {
            domain.ownedSince = now;
            domain.loadTokens = 0;
            domain.tokensAt = now;
        }
        refillTokens(domain, now);
        if (domain.writing && now - domain.writeAt > m_options.writeTimeout)
            domain.writing = false;
        if (domain.writing)
            continue;
        plan(id, domain, now, actions);
        if (domain.writing)
            continue;
        for (const PlannedGroup &group : domain.plan.groups) {
            if (group.dissolving)
                orderDissolving(group, domain.plan.generation, now, actions);
            else
                orderGroup(domain, group, now, actions);
        }
        probeSuspects(domain, now, actions);
        stageWeights(id, domain, now, actions);
    }
}

void FormationSystem::refillTokens(Domain &domain, TimePoint now)
{
    const EngineSpec &engine = *engineService()->engine;
    const double seconds = static_cast<double>((now - domain.tokensAt).count()) / 1'000;
    const double rate =
        loadRateShare * engine.loadsPerSecond / static_cast<double>(m_domains.size());
    domain.loadTokens = std::min(mostLoadTokens, domain.loadTokens + rate * seconds);
    domain.tokensAt = now;
}

void FormationSystem::plan(const DomainId &id, Domain &domain, TimePoint now,
                           FormationActions &actions)
{
    FormationPlan next = domain.plan;
    bool changed = dropDissolved(domain, next, now, actions);
    changed = noteLosses(next, now, actions) || changed;
    changed = addGroups(id, next, now, actions) || changed;
    if (!changed)
        return;
    if (next.generation == domain.plan.generation)
        next.generation = Generation(next.generation.value() + 1);
    domain.writing = true;
    domain.writeAt = now;
    actions.push_back(WritePlan {id, domain.revision, next});
}

bool FormationSystem::countsAsLost(const VmId &vm, TimePoint now) const
{
    const auto doubt = m_doubts.find(vm);
    return doubt != m_doubts.end() && now < doubt->second.lostUntil;
}

void FormationSystem::memberProbed(const MemberProbed &probed, TimePoint now)
{
    Doubt &doubt = m_doubts[probed.vm];
    doubt.probing = false;
    if (probed.answered)
        doubt.answeredAt = now;
    doubt.unanswered = probed.answered ? 0 : doubt.unanswered + 1;
    if (doubt.unanswered >= m_options.probesUntilLost)
        doubt.lostUntil = now + m_options.lostFor;
    else if (probed.answered)
        doubt.lostUntil = TimePoint();
}

void FormationSystem::probeSuspects(const Domain &domain, TimePoint now, FormationActions &actions)
{
    for (const PlannedGroup &group : domain.plan.groups) {
        const Backend *head = present(m_backends, group.members.front());
        if (group.dissolving || !head || !claims(*head, group)
            || head->report.group.state != MemberState::Open || now >= head->suspectUntil)
            continue;
        for (const PlannedMember &member : group.members) {
            const Backend *backend = present(m_backends, member);
            Doubt &doubt = m_doubts[member.vm];
            if (!backend || doubt.probing || now - doubt.probedAt < m_options.probeInterval
                || now - doubt.answeredAt < m_options.answerKeep)
                continue;
            doubt.probing = true;
            doubt.probedAt = now;
            actions.push_back(ProbeMember {member.vm, backend->report.address});
        }
    }
}

bool FormationSystem::noteLosses(FormationPlan &plan, TimePoint now,
                                 FormationActions &actions) const
{
    bool changed = false;
    for (PlannedGroup &group : plan.groups) {
        if (group.dissolving)
            continue;
        const char *cause = nullptr;
        VmId culprit;
        for (const PlannedMember &member : group.members) {
            const Backend *backend = present(m_backends, member);
            if (!backend)
                cause = "member_lost";
            else if (backend->report.draining)
                cause = "member_draining";
            else if (countsAsLost(member.vm, now))
                cause = "member_silent";
            else if (claims(*backend, group) && backend->report.group.state == MemberState::Broken)
                cause = "broken";
            if (cause) {
                culprit = member.vm;
                break;
            }
        }
        if (!cause)
            continue;
        group.dissolving = true;
        changed = true;
        actions.push_back(NoteFormation {"group_dissolving",
                                         {{"group", group.name.value()},
                                          {"model", group.model.value()},
                                          {"cause", cause},
                                          {"server", culprit.value()}}});
    }
    return changed;
}

bool FormationSystem::dropDissolved(const Domain &domain, FormationPlan &next, TimePoint now,
                                    FormationActions &actions) const
{
    bool changed = false;
    for (const PlannedGroup &group : domain.plan.groups) {
        if (!group.dissolving)
            continue;
        bool allLeft = true;
        for (const PlannedMember &member : group.members) {
            const Backend *backend = present(m_backends, member);
            allLeft =
                allLeft && !(backend && claims(*backend, group) && !countsAsLost(member.vm, now));
        }
        if (!allLeft)
            continue;
        std::erase_if(next.groups, [&](const auto &other) { return other.name == group.name; });
        changed = true;
        actions.push_back(NoteFormation {"group_dissolved", {{"group", group.name.value()}}});
    }
    return changed;
}

std::vector<const Backend *> FormationSystem::freeVms(const DomainId &id, const FormationPlan &plan,
                                                      TimePoint now, FormationActions &actions)
{
    std::vector<const Backend *> free;
    for (const Backend *backend : m_backends.inDomain(id)) {
        const BackendReport &report = backend->report;
        if (backend->listing != Listing::Listed || report.draining
            || report.service != engineService()->name || groupOf(plan, report.id)
            || countsAsLost(report.id, now))
            continue;
        if (report.group.state != MemberState::None) {
            // A group that no plan knows: an order of a former plan took effect late.
            sendOrder(*backend, GroupOrderKind::Leave, report.group.name, report.group.generation,
                      report.model, {}, plan.generation, now, actions);
            continue;
        }
        free.push_back(backend);
    }
    return free;
}

std::vector<ModelDemand> FormationSystem::demand() const
{
    const EngineSpec &engine = *engineService()->engine;
    double measured = 0;
    double published = 0;
    for (const auto &[model, requests] : m_requests)
        measured += requests;
    for (const ServedModel &model : engine.models)
        published += publishedWork(model);
    std::vector<ModelDemand> all;
    for (const ServedModel &model : engine.models) {
        ModelDemand demand;
        demand.model = &model;
        demand.work = published > 0 ? publishedWork(model) / published : 1;
        const auto found = m_requests.find(model.name);
        const double requests = found == m_requests.end() ? 0 : found->second;
        if (measured >= fewRequests)
            demand.work = measuredWeight * requests / measured + (1 - measuredWeight) * demand.work;
        for (const auto &[id, domain] : m_domains) {
            for (const PlannedGroup &group : domain.plan.groups)
                demand.groups += !group.dissolving && group.model == model.name ? 1 : 0;
        }
        if (demand.groups > 0)
            demand.busy = requests / (demand.groups * engine.slots);
        all.push_back(demand);
    }
    return all;
}

bool FormationSystem::addGroups(const DomainId &id, FormationPlan &next, TimePoint now,
                                FormationActions &actions)
{
    FormInput input;
    const std::vector<const Backend *> free = freeVms(id, next, now, actions);
    Domain &domain = m_domains[id];
    if (free.size() != domain.freeCount) {
        domain.freeCount = free.size();
        domain.freeChangedAt = now;
    }
    if (now - domain.freeChangedAt < m_options.freeSettle)
        return false; // VMs that are lost or come together are dealt with together.
    input.engine = &*engineService()->engine;
    input.backends = &m_backends;
    input.free = free;
    input.demand = demand();
    input.mayConvert = hasTurn(id, now);
    for (const PlannedGroup &group : next.groups) {
        for (const PlannedMember &member : group.members) {
            const Backend *backend = present(m_backends, member);
            input.leaving += group.dissolving && backend && !backend->report.draining ? 1 : 0;
        }
    }
    if (beforeTraffic(now)) {
        std::map<DomainId, std::uint32_t> sizes;
        for (const DomainId &domain : m_backends.domains())
            sizes[domain] = static_cast<std::uint32_t>(m_backends.inDomain(domain).size());
        input.wanted = firstSplit(sizes, *input.engine)[id];
    }
    const FormationPlan last = next;
    const std::size_t before = next.groups.size();
    if (!formGroups(next, id, input))
        return next.promised != last.promised;
    for (std::size_t i = 0; i < before; ++i) {
        if (next.groups[i].dissolving && !last.groups[i].dissolving)
            actions.push_back(NoteFormation {"group_dissolving",
                                             {{"group", next.groups[i].name.value()},
                                              {"model", next.groups[i].model.value()},
                                              {"cause", "converted"}}});
    }
    for (std::size_t i = before; i < next.groups.size(); ++i) {
        const PlannedGroup &group = next.groups[i];
        std::string members;
        for (const PlannedMember &member : group.members)
            members += (members.empty() ? "" : ",") + member.vm.value();
        actions.push_back(NoteFormation {"group_planned",
                                         {{"group", group.name.value()},
                                          {"model", group.model.value()},
                                          {"members", members},
                                          {"free", std::to_string(input.free.size())}}});
    }
    return true;
}

bool FormationSystem::hasTurn(const DomainId &id, TimePoint now) const
{
    // One domain after the other, so that no two give groups up for the same need.
    const auto turn =
        static_cast<std::size_t>(milliseconds(now) / m_options.conversionTurn.count());
    const auto place =
        static_cast<std::size_t>(std::distance(m_domains.begin(), m_domains.find(id)));
    return turn % m_domains.size() == place;
}

void FormationSystem::stageWeights(const DomainId &id, Domain &domain, TimePoint now,
                                   FormationActions &actions)
{
    if (!beforeTraffic(now) && joining(GroupId()) > 0)
        return; // Groups that form need the weight store more.
    std::uint32_t underWay = 0;
    for (const Backend *backend : m_backends.inDomain(id)) {
        const auto sent = m_staging.find(backend->report.id);
        if (sent == m_staging.end())
            continue;
        if (holdsWeights(*backend, sent->second.model) || now >= sent->second.until)
            m_staging.erase(sent);
        else
            ++underWay;
    }
    for (const Backend *backend : m_backends.inDomain(id)) {
        const bool before = beforeTraffic(now);
        if (!before && underWay >= m_options.stagingAtOnce)
            return;
        const GroupClaim &claim = backend->report.group;
        const bool settled =
            (before && (claim.state == MemberState::Ready || claim.state == MemberState::Open))
            || claim.state == MemberState::None;
        if (!settled || backend->listing != Listing::Listed || backend->report.draining
            || backend->report.service != engineService()->name
            || m_staging.count(backend->report.id))
            continue;
        const ServedModel *other = nullptr;
        double most = 0;
        for (const ModelDemand &wanted : demand()) {
            if (!holdsWeights(*backend, wanted.model->name) && wanted.work > most) {
                other = wanted.model;
                most = wanted.work;
            }
        }
        // Staging drops what was staged before, and a VM that runs no group needs that.
        const bool holdsAnother = !backend->report.staged.empty()
            && (claim.state == MemberState::None
                || backend->report.staged.front() != backend->lastModel);
        if (!other || holdsAnother)
            continue;
        if (!before && domain.loadTokens < 1)
            return;
        domain.loadTokens = std::max(0.0, domain.loadTokens - 1);
        ++underWay;
        m_staging[backend->report.id] = {other->name, now + other->loadTime * stagingPatience};
        sendOrder(*backend, GroupOrderKind::Stage, GroupId(), domain.plan.generation, other->name,
                  {}, domain.plan.generation, now, actions);
    }
}

std::uint32_t FormationSystem::joining(const GroupId &except) const
{
    std::uint32_t count = 0;
    m_backends.forEach([&](BackendIndex, const Backend &backend) {
        const GroupClaim &claim = backend.report.group;
        if (claim.state == MemberState::Joining && claim.name != except)
            ++count;
    });
    return count;
}

bool FormationSystem::mayLoad(Domain &domain, const PlannedGroup &group, TimePoint now)
{
    if (beforeTraffic(now))
        return true;
    if (joining(group.name) >= engineService()->engine->loadsAtOnce || domain.loadTokens < 1)
        return false;
    domain.loadTokens -= 1;
    return true;
}

void FormationSystem::orderGroup(Domain &domain, const PlannedGroup &group, TimePoint now,
                                 FormationActions &actions)
{
    bool allReady = true;
    for (const PlannedMember &member : group.members) {
        const Backend *backend = present(m_backends, member);
        if (!backend || backend->listing != Listing::Listed) {
            allReady = false;
            continue;
        }
        if (claims(*backend, group)) {
            allReady = allReady && backend->report.group.state == MemberState::Ready;
            continue;
        }
        allReady = false;
        const auto sent = m_orders.find(member.vm);
        const bool sentBefore = sent != m_orders.end() && sent->second.group == group.name
            && sent->second.kind == GroupOrderKind::Join;
        if (sentBefore && now < sent->second.retryAt)
            continue;
        if (!sentBefore && !holdsWeights(*backend, group.model) && !mayLoad(domain, group, now))
            continue;
        sendOrder(*backend, GroupOrderKind::Join, group.name, group.generation, group.model,
                  memberIds(group), domain.plan.generation, now, actions);
    }
    if (!allReady)
        return;
    const Backend &head = *present(m_backends, group.members.front());
    sendOrder(head, GroupOrderKind::Open, group.name, group.generation, group.model, {},
              domain.plan.generation, now, actions);
}

void FormationSystem::orderDissolving(const PlannedGroup &group, Generation fence, TimePoint now,
                                      FormationActions &actions)
{
    const Backend *head = present(m_backends, group.members.front());
    const bool headServes = head && !countsAsLost(head->report.id, now) && claims(*head, group)
        && (head->report.group.state == MemberState::Open
            || head->report.group.state == MemberState::Closing);
    const bool whole =
        std::all_of(group.members.begin(), group.members.end(), [&](const auto &member) {
            return present(m_backends, member) && !countsAsLost(member.vm, now);
        });
    if (headServes && whole) {
        // A member leaves by its own will: what the head runs can still end.
        if (head->report.group.state == MemberState::Open)
            sendOrder(*head, GroupOrderKind::CloseAfterQueue, group.name, group.generation,
                      group.model, {}, fence, now, actions);
        return;
    }
    if (headServes) {
        sendOrder(*head, GroupOrderKind::Leave, group.name, group.generation, group.model, {},
                  fence, now, actions);
        return;
    }
    for (const PlannedMember &member : group.members) {
        const Backend *backend = present(m_backends, member);
        if (backend && claims(*backend, group) && !countsAsLost(member.vm, now))
            sendOrder(*backend, GroupOrderKind::Leave, group.name, group.generation, group.model,
                      {}, fence, now, actions);
    }
}

void FormationSystem::sendOrder(const Backend &backend, GroupOrderKind kind, const GroupId &group,
                                Generation generation, const ModelId &model,
                                const std::vector<VmId> &members, Generation fence, TimePoint now,
                                FormationActions &actions)
{
    SentOrder &sent = m_orders[backend.report.id];
    if (sent.kind == kind && sent.group == group && now < sent.retryAt)
        return;
    sent = {kind, group, now + m_options.orderTimeout};
    SendGroupOrder order;
    order.vm = backend.report.id;
    order.address = backend.report.address;
    order.kind = kind;
    order.group = group;
    order.generation = generation;
    order.model = model;
    order.members = members;
    order.fence = std::max(fence, generation);
    actions.push_back(order);
    actions.push_back(NoteFormation {"order_sent",
                                     {{"server", order.vm.value()},
                                      {"order", groupOrderName(kind)},
                                      {"group", group.value()},
                                      {"generation", std::to_string(generation.value())},
                                      {"fence", std::to_string(order.fence.value())}}});
}

} // namespace bramleypitch
