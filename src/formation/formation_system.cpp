#include "formation/formation_system.h"

#include "core/rendezvous_func.h"
#include "formation/conversion_record.h"
#include "formation/target_split.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleypitch {

namespace {

/// Share of the load rate of the weight store that is distributed among the domains. The rest is a
/// margin for load starts at the edge of a rate window.
constexpr double loadRateShare = 0.85;
/// Burst size of a domain. With one load each, all domains together stay within the limit of the
/// weight store.
constexpr double maxLoadTokens = 1;
/// With fewer slots in use, the published shares are more reliable than the measured demand.
constexpr double minMeasuredSlots = 20;
/// Assumed utilization of groups if it is not measured.
constexpr double typicalUtilization = 0.6;
/// Weight of the measured work relative to the published shares.
constexpr double measuredWeight = 0.7;
/// Change of demand, relative to that of the last time, for which the wanted split is computed
/// again.
constexpr double minTargetChange = 0.05;
/// With more domains than turns, several domains share a turn to convert groups. Their conversions
/// for the same demand are as small a part of the fleet as that of one domain in a small fleet.
constexpr std::size_t maxConversionTurns = 6;
/// Loads are faster by this factor before the first request.
constexpr int initialLoadSpeedup = 10;
/// Loads take longer while others run. A prefetch is considered lost after this many load times.
constexpr int stagingTimeoutFactor = 3;
/// Generations reserved for each era of the store. A plan that is written again continues above all
/// generations of earlier eras, as orders with lost ones may have been followed.
constexpr std::uint64_t generationsPerEra = 1'000'000;

bool isMemberOf(const Backend &backend, const PlannedGroup &group)
{
    const GroupMembership &claim = backend.report.group;
    return claim.state != MemberState::None && claim.name == group.name
        && claim.generation == group.generation;
}

const PlannedGroup *findGroup(const FormationPlan &plan, const VmId &vm)
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

/// The server of a member, or null if it is unknown or has restarted since it was planned.
const Backend *findMember(const BackendTable &backends, const PlannedMember &member)
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
    , m_estimate(m_options.estimate)
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

void FormationSystem::setEra(StoreEra era)
{
    for (auto &[id, domain] : m_domains) {
        domain.revision = Revision();
        domain.restoreAt = TimePoint();
        domain.writing = false;
        domain.isConverting = false;
        domain.writeRetryDelay = Duration(0);
        // An earlier version of the software does not state the era.
        if (domain.plan.era == StoreEra())
            domain.plan.era = m_era;
    }
    m_era = era;
    m_storeHeld = Revision();
    m_conversionRevision = Revision();
}

void FormationSystem::setStoreView(Revision held, TimePoint provenAt)
{
    m_storeHeld = held;
    m_storeProvenAt = provenAt;
}

void FormationSystem::onConversionRead(std::uint64_t number, Revision revision)
{
    if (revision <= m_conversionRevision)
        return;
    m_conversionRevision = revision;
    m_conversionNumber = std::max(m_conversionNumber, number);
    m_conversionRetryAt = TimePoint();
}

void FormationSystem::onConversionDeleted()
{
    m_conversionRevision = Revision();
    m_conversionRetryAt = TimePoint();
}

bool FormationSystem::knowsConversions(TimePoint now) const
{
    const bool isWriting = std::any_of(m_domains.begin(), m_domains.end(), [](const auto &entry) {
        return entry.second.writing && entry.second.isConverting;
    });
    return !isWriting && m_storeHeld >= m_conversionRevision && now >= m_conversionRetryAt
        && now - m_storeProvenAt <= m_options.maxConversionViewAge;
}

void FormationSystem::adoptClaimedGroups(const DomainId &id, FormationPlan &plan) const
{
    std::map<GroupKey, std::vector<const Backend *>> claims;
    for (const Backend *backend : m_backends.serversInDomain(id)) {
        const GroupMembership &claim = backend->report.group;
        if (claim.state != MemberState::None)
            claims[{claim.name, claim.generation}].push_back(backend);
    }
    // The members may have followed later plans, which are lost. An order to join the group once
    // more would take them out of the group that they are in now.
    for (PlannedGroup &group : plan.groups) {
        claims.erase({group.name, group.generation});
        for (const PlannedMember &member : group.members) {
            const Backend *backend = findMember(m_backends, member);
            group.dissolving = group.dissolving || !backend || !isMemberOf(*backend, group);
        }
    }
    for (auto &[key, members] : claims) {
        std::stable_sort(members.begin(), members.end(), [](const Backend *a, const Backend *b) {
            return a->report.group.rank < b->report.group.rank;
        });
        PlannedGroup group;
        group.name = members.front()->report.group.name;
        group.generation = members.front()->report.group.generation;
        group.model = members.front()->report.model;
        std::uint32_t rank = 0;
        bool isServing = members.front()->report.group.state == MemberState::Open;
        for (const Backend *backend : members) {
            const GroupMembership &claim = backend->report.group;
            isServing = isServing && claim.rank == rank++
                && (claim.state == MemberState::Open || claim.state == MemberState::Ready);
            group.members.push_back({backend->report.id, backend->report.startedAt});
        }
        const std::vector<ServedModel> &models = engineService()->engine->models;
        group.dissolving =
            !isServing || std::none_of(models.begin(), models.end(), [&](const ServedModel &model) {
                return model.name == group.model && model.span == rank;
            });
        plan.groups.push_back(std::move(group));
    }
}

bool FormationSystem::needsRestore(const Domain &domain) const
{
    return domain.plan.era != StoreEra() && domain.plan.era != m_era;
}

void FormationSystem::onPlanRead(const DomainId &id, const FormationPlan &plan, Revision revision)
{
    Domain &domain = m_domains[id];
    const bool isFromCopy = domain.era != m_era && domain.era != StoreEra();
    if (revision < domain.revision)
        return;
    FormationPlan read = plan;
    if (isFromCopy && read.era == StoreEra())
        read.era = domain.plan.era;
    if (read.generation >= domain.plan.generation) {
        applyPlan(id, read, revision);
        return;
    }
    // The store's copy holds an older plan than this node, which replaces it.
    domain.revision = revision;
    domain.era = m_era;
}

void FormationSystem::onPlanUnreadable(const DomainId &id, Revision revision)
{
    Domain &domain = m_domains[id];
    if (revision < domain.revision)
        return;
    domain.revision = revision;
    domain.mustRewrite = true;
}

void FormationSystem::applyPlan(const DomainId &id, const FormationPlan &plan, Revision revision)
{
    Domain &domain = m_domains[id];
    domain.plan = plan;
    domain.revision = revision;
    domain.mustRewrite = false;
    domain.era = m_era;
    domain.restoreAt = TimePoint();
    domain.writeRetryDelay = Duration(0);
    std::set<GroupKey> groups;
    for (const PlannedGroup &group : plan.groups) {
        if (group.dissolving)
            groups.insert({group.name, group.generation});
    }
    m_backends.setDissolving(id, std::move(groups));
}

void FormationSystem::onPlanWritten(const DomainId &id, const FormationPlan &plan,
                                    Revision revision)
{
    Domain &domain = m_domains[id];
    const bool wasConverting = std::exchange(domain.isConverting, false);
    domain.writing = false;
    if (wasConverting && revision == Revision())
        m_conversionRetryAt = domain.writeAt + m_options.conversionRetryDelay;
    else if (wasConverting)
        m_conversionRevision = std::max(m_conversionRevision, revision);
    if (revision > domain.revision)
        applyPlan(id, plan, revision);
    else if (revision == Revision() && !wasConverting) // A lost conversion delays no repair.
        onWriteFailed(domain);
}

void FormationSystem::onWriteFailed(Domain &domain) const
{
    domain.writeRetryDelay = std::clamp(2 * domain.writeRetryDelay, m_options.minWriteRetryDelay,
                                        m_options.maxWriteRetryDelay);
}

void FormationSystem::setDemand(const std::map<ModelId, double> &slots, TimePoint now)
{
    const double elapsed = static_cast<double>((now - m_demandAt).count());
    const double weight =
        std::min(1.0, elapsed / static_cast<double>(m_options.demandSmoothing.count()));
    m_demandAt = now;
    for (const auto &[model, count] : slots) {
        m_demand.try_emplace(model, count);
        if (count > 0)
            onTrafficStarted();
    }
    for (auto &[model, smoothed] : m_demand) {
        const auto found = slots.find(model);
        smoothed += weight * ((found == slots.end() ? 0 : found->second) - smoothed);
    }
    if (!engineService() || !m_options.followsDemand)
        return;
    m_estimate.update(slots, openSlots(), now);
    const std::vector<ServedModel> &models = engineService()->engine->models;
    double peaks = 0;
    for (const ServedModel &model : models)
        peaks += m_estimate.peak(model.name);
    m_isEstimated = models.size() > 1 && m_estimate.isMeasured(now) && peaks >= minMeasuredSlots;
}

void FormationSystem::onOrderDone(const GroupOrderDone &done, TimePoint now,
                                  FormationActions &actions)
{
    const auto sent = m_orders.find(done.vm);
    if (sent == m_orders.end())
        return;
    sent->second.accepted = done.outcome == GroupOrderOutcome::Accepted;
    if (done.outcome == GroupOrderOutcome::Refused)
        sent->second.retryAt = now + m_options.refusedRetryDelay;
    if (done.outcome != GroupOrderOutcome::Accepted) {
        const bool refused = done.outcome == GroupOrderOutcome::Refused;
        actions.push_back(LogFormation {"order_failed",
                                        {{"server", done.vm.value()},
                                         {"order", groupOrderName(sent->second.kind)},
                                         {"group", sent->second.group.value()},
                                         {"outcome", refused ? "refused" : "unknown"}}});
    }
}

bool FormationSystem::isDue(TimePoint now) const
{
    return now - m_tickedAt >= m_options.interval && now - m_startedAt >= m_options.settleTime
        && engineService();
}

void FormationSystem::tick(TimePoint now, FormationActions &actions)
{
    if (!isDue(now))
        return;
    m_tickedAt = now;
    if (m_backends.size() > m_maxServerCount) {
        m_maxServerCount = m_backends.size();
        m_newServerAt = now;
    }
    if (m_beforeTraffic && now - m_newServerAt < m_options.settleTime)
        return; // Servers are still being added. VMs left over now would stay without a group.
    m_ownedCount = 0;
    for (const auto &[id, servers] : m_backends.domains())
        m_domains.try_emplace(id);
    updateTarget(now, actions);
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
        refillLoadTokens(domain, now);
        if (domain.writing && now - domain.writeAt > m_options.writeTimeout) {
            domain.writing = false;
            domain.isConverting = false;
            onWriteFailed(domain);
        }
        if (domain.writing)
            continue;
        if (needsRestore(domain)) {
            if (domain.restoreAt == TimePoint())
                domain.restoreAt = now + m_options.restoreTime;
            if (now < domain.restoreAt)
                continue;
        }
        if (now - domain.writeAt >= domain.writeRetryDelay)
            plan(id, domain, now, actions);
        if (domain.writing)
            continue;
        for (const PlannedGroup &group : domain.plan.groups) {
            if (group.dissolving)
                sendDissolvingOrders(group, domain.plan.generation, now, actions);
            else
                sendFormingOrders(domain, group, now, actions);
        }
        probeSuspectedMembers(domain, now, actions);
        stageWeights(id, domain, now, actions);
    }
}

void FormationSystem::refillLoadTokens(Domain &domain, TimePoint now)
{
    const EngineSpec &engine = *engineService()->engine;
    const double seconds = static_cast<double>((now - domain.tokensAt).count()) / 1'000;
    const double rate =
        loadRateShare * engine.maxLoadsPerSecond / static_cast<double>(m_domains.size());
    domain.loadTokens = std::min(maxLoadTokens, domain.loadTokens + rate * seconds);
    domain.tokensAt = now;
}

void FormationSystem::plan(const DomainId &id, Domain &domain, TimePoint now,
                           FormationActions &actions)
{
    FormationPlan next = domain.plan;
    std::vector<GroupId> dissolved;
    bool changed = needsRestore(domain);
    if (changed) {
        const std::uint64_t firstOfEra =
            generationsPerEra * static_cast<std::uint64_t>(m_era.value());
        next.generation = Generation(std::max(next.generation.value() + 1, firstOfEra));
        adoptClaimedGroups(id, next);
        actions.push_back(LogFormation {"plan_restored",
                                        {{"domain", id.value()},
                                         {"era", std::to_string(next.era.value())},
                                         {"groups", std::to_string(next.groups.size())}}});
    } else {
        if (domain.mustRewrite) {
            // The unreadable plan may have been newer than the last one that was read.
            for (const Backend *backend : m_backends.serversInDomain(id)) {
                next.generation = std::max(next.generation, backend->report.group.generation);
                changed = true;
            }
            if (changed)
                next.generation = Generation(next.generation.value() + 1);
            // A node that has read no plan yet would take all groups for those of others.
            if (changed && domain.plan.generation == Generation())
                adoptClaimedGroups(id, next);
        }
        changed = removeDissolvedGroups(domain, next, now, actions) || changed;
        changed = dissolveBrokenGroups(next, now, actions) || changed;
        const bool mayDissolve = !changed && knowsConversions(now);
        changed = addGroups(id, next, mayDissolve, dissolved, now, actions) || changed;
    }
    if (!changed)
        return;
    next.era = m_era;
    if (next.generation == domain.plan.generation)
        next.generation = Generation(next.generation.value() + 1);
    domain.writing = true;
    domain.writeAt = now;
    WritePlan write {id, domain.revision, next};
    if (!dissolved.empty()) {
        domain.isConverting = true;
        write.expectedConversion = m_conversionRevision;
        write.conversion = serializeConversion({m_conversionNumber + 1, id, next.generation,
                                                next.promised, std::move(dissolved), m_era});
    }
    actions.push_back(std::move(write));
}

bool FormationSystem::isLost(const VmId &vm, TimePoint now) const
{
    const auto probeState = m_probeStates.find(vm);
    return probeState != m_probeStates.end() && now < probeState->second.lostUntil;
}

void FormationSystem::onMemberProbed(const MemberProbed &probed, TimePoint now)
{
    ProbeState &probeState = m_probeStates[probed.vm];
    probeState.probing = false;
    if (!probed.isConclusive)
        return;
    if (probed.answered)
        probeState.lastAnswerAt = now;
    probeState.unanswered = probed.answered ? 0 : probeState.unanswered + 1;
    if (probeState.unanswered >= m_options.maxUnansweredProbes)
        probeState.lostUntil = now + m_options.lostMemberTimeout;
    else if (probed.answered)
        probeState.lostUntil = TimePoint();
}

void FormationSystem::probeSuspectedMembers(const Domain &domain, TimePoint now,
                                            FormationActions &actions)
{
    for (const PlannedGroup &group : domain.plan.groups) {
        const Backend *head = findMember(m_backends, group.members.front());
        if (group.dissolving || !isOpen(group))
            continue;
        for (const PlannedMember &member : group.members) {
            const Backend *backend = findMember(m_backends, member);
            if (!backend || (now >= head->suspectUntil && backend->listing == Listing::Listed))
                continue;
            ProbeState &probeState = m_probeStates[member.vm];
            const Duration answerValidity = backend->listing == Listing::Listed
                ? m_options.answerValidTime
                : m_options.probeInterval;
            if (probeState.probing || now - probeState.lastProbeAt < m_options.probeInterval
                || now - probeState.lastAnswerAt < answerValidity)
                continue;
            probeState.probing = true;
            probeState.lastProbeAt = now;
            actions.push_back(ProbeMember {member.vm, backend->report.address});
        }
    }
}

bool FormationSystem::dissolveBrokenGroups(FormationPlan &plan, TimePoint now,
                                           FormationActions &actions) const
{
    bool changed = false;
    for (PlannedGroup &group : plan.groups) {
        if (group.dissolving)
            continue;
        const char *cause = nullptr;
        VmId failedMember;
        // A group continues to serve without the entry of a member that still answers probes, but
        // not without the entry of its head.
        const Backend *head = findMember(m_backends, group.members.front());
        const bool isStillServing = head && head->listing != Listing::Missing && isOpen(group);
        for (const PlannedMember &member : group.members) {
            const Backend *backend = findMember(m_backends, member);
            if (!backend)
                cause = "member_lost";
            else if (backend->listing == Listing::Missing && !isStillServing)
                cause = "member_missing";
            else if (backend->report.draining)
                cause = "member_draining";
            else if (isLost(member.vm, now))
                cause = "member_silent";
            else if (isMemberOf(*backend, group)
                     && backend->report.group.state == MemberState::Broken)
                cause = "broken";
            if (cause) {
                failedMember = member.vm;
                break;
            }
        }
        if (!cause)
            continue;
        group.dissolving = true;
        changed = true;
        actions.push_back(LogFormation {"group_dissolving",
                                        {{"group", group.name.value()},
                                         {"model", group.model.value()},
                                         {"cause", cause},
                                         {"server", failedMember.value()}}});
    }
    return changed;
}

bool FormationSystem::removeDissolvedGroups(const Domain &domain, FormationPlan &next,
                                            TimePoint now, FormationActions &actions) const
{
    bool changed = false;
    for (const PlannedGroup &group : domain.plan.groups) {
        if (!group.dissolving)
            continue;
        const bool allLeft =
            std::all_of(group.members.begin(), group.members.end(),
                        [&](const auto &member) { return hasLeft(member, group, now); });
        if (!allLeft)
            continue;
        std::erase_if(next.groups, [&](const auto &other) { return other.name == group.name; });
        changed = true;
        actions.push_back(LogFormation {"group_dissolved", {{"group", group.name.value()}}});
    }
    return changed;
}

bool FormationSystem::isZoneOut(const PlannedGroup &group) const
{
    const Backend *head = m_backends.find(group.members.front().vm);
    return head && m_zonesOut.count(head->report.zone) > 0;
}

bool FormationSystem::isOpen(const PlannedGroup &group) const
{
    const Backend *head = findMember(m_backends, group.members.front());
    return head && isMemberOf(*head, group) && head->report.group.state == MemberState::Open;
}

bool FormationSystem::hasLeft(const PlannedMember &member, const PlannedGroup &group,
                              TimePoint now) const
{
    const Backend *backend = findMember(m_backends, member);
    if (!backend || !isMemberOf(*backend, group) || isLost(member.vm, now))
        return true;
    const auto sent = m_orders.find(member.vm);
    return sent != m_orders.end() && sent->second.accepted
        && sent->second.kind == GroupOrderKind::Leave && sent->second.group == group.name;
}

std::vector<const Backend *> FormationSystem::findFreeVms(const DomainId &id,
                                                          const FormationPlan &plan, TimePoint now,
                                                          FormationActions &actions)
{
    std::vector<const Backend *> free;
    for (const Backend *backend : m_backends.serversInDomain(id)) {
        const BackendReport &report = backend->report;
        if (!isUsable(*backend) || findGroup(plan, report.id) || isLost(report.id, now))
            continue;
        if (report.group.state != MemberState::None) {
            // The group is in no plan: an order of an earlier plan took effect late.
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
    double published = 0;
    for (const ServedModel &model : engine.models)
        published += publishedWork(model);
    std::vector<ModelDemand> all;
    double slots = 0;
    double groups = 0;
    for (const ServedModel &model : engine.models) {
        ModelDemand demand;
        demand.model = &model;
        const auto found = m_demand.find(model.name);
        slots += found == m_demand.end() ? 0 : found->second;
        for (const auto &[id, domain] : m_domains) {
            for (const PlannedGroup &group : domain.plan.groups) {
                if (group.dissolving || group.model != model.name || isZoneOut(group))
                    continue;
                demand.groups += 1;
                demand.openGroups += isOpen(group) ? 1 : 0;
            }
        }
        groups += demand.groups;
        all.push_back(demand);
    }
    const bool isMeasured = slots >= minMeasuredSlots;
    const double work =
        isMeasured ? slots / engine.slots : typicalUtilization * std::max(groups, 1.0);
    for (ModelDemand &demand : all) {
        demand.work = work * (published > 0 ? publishedWork(*demand.model) / published : 1);
        const auto found = m_demand.find(demand.model->name);
        const double measured =
            found == m_demand.end() ? 0 : found->second / static_cast<double>(engine.slots);
        if (isMeasured)
            demand.work = measuredWeight * measured + (1 - measuredWeight) * demand.work;
        if (m_isEstimated) {
            demand.peakWork = m_estimate.peak(demand.model->name) / engine.slots;
            demand.lastingWork = m_estimate.lasting(demand.model->name) / engine.slots;
        }
    }
    return all;
}

std::map<ModelId, double> FormationSystem::openSlots() const
{
    const EngineSpec &engine = *engineService()->engine;
    std::map<ModelId, double> slots;
    for (const ModelDemand &model : demand())
        slots[model.model->name] = std::max(model.openGroups, 1.0) * engine.slots;
    return slots;
}

void FormationSystem::updateTarget(TimePoint now, FormationActions &actions)
{
    if (!m_isEstimated) {
        m_target.clear();
        return;
    }
    const std::vector<ModelDemand> models = demand();
    const bool isOther = m_target.size() != models.size() || m_targetWork.size() != models.size();
    if (!isOther && now - m_targetAt < m_options.targetInterval)
        return;
    std::map<DomainId, std::uint32_t> sizes;
    for (const auto &[domain, servers] : m_backends.domains()) {
        for (const auto &[vm, index] : servers) {
            const Backend &backend = *m_backends.find(index);
            sizes[domain] += isUsable(backend) && !m_zonesOut.count(backend.report.zone) ? 1 : 0;
        }
    }
    bool isDue = isOther || sizes != m_targetSizes;
    for (std::size_t i = 0; i < models.size() && !isDue; ++i)
        isDue =
            std::abs(models[i].lastingWork - m_targetWork[i]) > minTargetChange * m_targetWork[i];
    if (!isDue)
        return;
    m_targetAt = now;
    GroupCounts target = targetSplit(sizes, *engineService()->engine, models);
    m_targetSizes = std::move(sizes);
    m_targetWork.clear();
    for (const ModelDemand &model : models)
        m_targetWork.push_back(model.lastingWork);
    if (target == m_target)
        return;
    m_target = std::move(target);
    if (std::none_of(m_domains.begin(), m_domains.end(),
                     [this](const auto &entry) { return owns(entry.first); }))
        return;
    LogFormation line {"wanted_split", {}};
    for (std::size_t i = 0; i < models.size(); ++i) {
        const std::string &name = models[i].model->name.value();
        line.fields.emplace_back("wanted_" + name, std::to_string(m_target[i]));
        line.fields.emplace_back("present_" + name, std::to_string(std::lround(models[i].groups)));
        line.fields.emplace_back("needed_" + name,
                                 std::to_string(std::lround(std::ceil(models[i].lastingWork))));
    }
    actions.push_back(std::move(line));
}

std::vector<ModelSplit> FormationSystem::split() const
{
    std::vector<ModelSplit> result;
    if (m_target.empty() || !engineService())
        return result;
    const std::vector<ModelDemand> models = demand();
    for (std::size_t i = 0; i < std::min(models.size(), m_target.size()); ++i)
        result.push_back(
            {models[i].model->name, static_cast<std::uint32_t>(models[i].groups), m_target[i]});
    return result;
}

bool FormationSystem::addGroups(const DomainId &id, FormationPlan &next, bool mayDissolve,
                                std::vector<GroupId> &dissolved, TimePoint now,
                                FormationActions &actions)
{
    FormationInput input;
    const std::vector<const Backend *> free = findFreeVms(id, next, now, actions);
    Domain &domain = m_domains[id];
    if (free.size() != domain.freeCount) {
        domain.freeCount = free.size();
        domain.freeChangedAt = now;
    }
    if (now - domain.freeChangedAt < m_options.freeVmSettleTime)
        return false; // VMs that are lost or added at about the same time are handled together.
    input.engine = &*engineService()->engine;
    input.backends = &m_backends;
    input.free = free;
    input.demand = demand();
    input.mayConvert = hasConversionTurn(id, now);
    input.target = m_target;
    input.isEstimating = m_options.followsDemand && m_target.empty() && input.demand.size() > 1;
    input.mayDissolve = mayDissolve;
    // Conversions have no benefit in a zone that takes no new requests.
    input.isZoneInService =
        std::none_of(next.groups.begin(), next.groups.end(),
                     [this](const PlannedGroup &group) { return isZoneOut(group); });
    for (const PlannedGroup &group : next.groups) {
        for (const PlannedMember &member : group.members) {
            const Backend *backend = findMember(m_backends, member);
            input.leaving += group.dissolving && backend && !backend->report.draining ? 1 : 0;
        }
    }
    if (m_beforeTraffic)
        input.initialCounts = initialCounts(id);
    const FormationPlan previous = next;
    const std::size_t before = next.groups.size();
    if (!formGroups(next, id, input))
        return next.promised != previous.promised;
    for (std::size_t i = 0; i < before; ++i) {
        if (!next.groups[i].dissolving || previous.groups[i].dissolving)
            continue;
        if (!m_beforeTraffic)
            dissolved.push_back(next.groups[i].name);
        actions.push_back(LogFormation {"group_dissolving",
                                        {{"group", next.groups[i].name.value()},
                                         {"model", next.groups[i].model.value()},
                                         {"cause", "converted"}}});
    }
    for (std::size_t i = before; i < next.groups.size(); ++i) {
        const PlannedGroup &group = next.groups[i];
        std::string members;
        for (const PlannedMember &member : group.members)
            members += (members.empty() ? "" : ",") + member.vm.value();
        actions.push_back(LogFormation {"group_planned",
                                        {{"group", group.name.value()},
                                         {"model", group.model.value()},
                                         {"members", members},
                                         {"free", std::to_string(input.free.size())}}});
    }
    return true;
}

GroupCounts FormationSystem::initialCounts(const DomainId &id)
{
    std::map<DomainId, std::uint32_t> sizes;
    for (const auto &[domain, servers] : m_backends.domains()) {
        std::uint32_t &vms = sizes[domain];
        for (const auto &[vm, index] : servers)
            vms += isUsable(*m_backends.find(index)) ? 1 : 0;
    }
    if (sizes != m_splitSizes || m_splitConfiguration != m_configuration) {
        m_split = initialSplit(sizes, *engineService()->engine);
        m_splitSizes = std::move(sizes);
        m_splitConfiguration = m_configuration;
    }
    // A domain remains known after its last VM has gone.
    const auto found = m_split.find(id);
    return found != m_split.end() ? found->second
                                  : GroupCounts(engineService()->engine->models.size(), 0);
}

bool FormationSystem::hasAllGroups(const FormationPlan &plan, const GroupCounts &counts) const
{
    const std::vector<ServedModel> &models = engineService()->engine->models;
    for (std::size_t i = 0; i < models.size(); ++i) {
        if (countGroups(plan, models[i].name) < counts[i])
            return false;
    }
    return true;
}

bool FormationSystem::isUsable(const Backend &backend) const
{
    return backend.listing == Listing::Listed && !backend.report.draining
        && backend.report.service == engineService()->name;
}

bool FormationSystem::hasConversionTurn(const DomainId &id, TimePoint now) const
{
    const auto turn =
        static_cast<std::size_t>(milliseconds(now) / m_options.conversionTurnTime.count());
    const auto index =
        static_cast<std::size_t>(std::distance(m_domains.begin(), m_domains.find(id)));
    const std::size_t turns = std::min(m_domains.size(), maxConversionTurns);
    return turn % turns == index % turns;
}

std::uint32_t FormationSystem::countStaging(const DomainId &id, TimePoint now)
{
    std::uint32_t inProgress = 0;
    for (const Backend *backend : m_backends.serversInDomain(id)) {
        const auto sent = m_staging.find(backend->report.id);
        if (sent == m_staging.end())
            continue;
        if (holdsWeights(*backend, sent->second.model) || now >= sent->second.until)
            m_staging.erase(sent);
        else
            ++inProgress;
    }
    return inProgress;
}

StagingInput FormationSystem::stagingInput(const DomainId &id) const
{
    StagingInput input;
    input.engine = &*engineService()->engine;
    input.demand = demand();
    input.unserved = unservedModelOf(id, input.demand);
    std::vector<const Backend *> free = m_backends.serversInDomain(id);
    std::erase_if(free, [](const Backend *backend) {
        return backend->report.group.state != MemberState::None
            || backend->listing != Listing::Listed || backend->report.draining;
    });
    input.freeVms = free.size();
    for (const ModelDemand &modelDemand : input.demand) {
        const ModelId &model = modelDemand.model->name;
        input.holders.push_back(static_cast<std::size_t>(
            std::count_if(free.begin(), free.end(), [&](const Backend *backend) {
                const auto sent = m_staging.find(backend->report.id);
                return (sent != m_staging.end() && sent->second.model == model)
                    || holdsWeights(*backend, model);
            })));
    }
    return input;
}

UnservedModel FormationSystem::unservedModelOf(const DomainId &id,
                                               std::vector<ModelDemand> demand) const
{
    const auto unserved = std::find_if(demand.begin(), demand.end(), isUnserved);
    if (unserved == demand.end())
        return {};
    const ServedModel &model = *unserved->model;
    std::vector<DomainId> suitable;
    for (const auto &[domain, state] : m_domains) {
        if (m_backends.serversInDomain(domain).size() >= model.span)
            suitable.push_back(domain);
    }
    const DomainId *first =
        rendezvousFirst(model.name.value(), suitable,
                        [](const DomainId &domain) { return std::string_view(domain.value()); });
    if (!first || *first != id)
        return {};
    UnservedModel result;
    result.model = &model;
    const FormationPlan &plan = m_domains.at(id).plan;
    for (const Backend *backend : m_backends.serversInDomain(id)) {
        if (isUsable(*backend) && !findGroup(plan, backend->report.id)
            && result.holders.size() < model.span)
            result.holders.insert(backend->report.id);
    }
    for (const PlannedGroup &group : plan.groups) {
        const auto owner = std::find_if(demand.begin(), demand.end(), [&](const auto &entry) {
            return entry.model->name == group.model;
        });
        if (group.dissolving || owner == demand.end() || result.holders.size() >= model.span
            || !canSpareGroup(*owner))
            continue;
        *owner = afterGiving(*owner, 1);
        for (const PlannedMember &member : group.members)
            result.holders.insert(member.vm);
    }
    return result.holders.size() >= model.span ? result : UnservedModel();
}

void FormationSystem::stageWeights(const DomainId &id, Domain &domain, TimePoint now,
                                   FormationActions &actions)
{
    const bool before = m_beforeTraffic;
    const bool isSplitPlanned = before && hasAllGroups(domain.plan, initialCounts(id));
    const auto maxConcurrent = std::max<std::size_t>(
        engineService()->engine->maxConcurrentLoads / std::max<std::size_t>(m_domains.size(), 1),
        1);
    std::uint32_t inProgress = countStaging(id, now);
    StagingInput input = stagingInput(id);
    // VMs without a group come first because they add capacity. VMs in groups prefetch only to be
    // able to replace lost members of other groups.
    for (const bool free : {true, false}) {
        for (const Backend *backend : m_backends.serversInDomain(id)) {
            if (!before && (inProgress >= maxConcurrent || domain.loadTokens < 1))
                return;
            const MemberState state = backend->report.group.state;
            // Until the first groups are planned, VMs without a group are about to join one and
            // load its weights anyway.
            const bool isCandidate = free
                ? state == MemberState::None && (!before || isSplitPlanned)
                : state == MemberState::Ready || state == MemberState::Open;
            if (!isCandidate || !isUsable(*backend) || m_staging.count(backend->report.id)
                || (free && findGroup(domain.plan, backend->report.id)))
                continue; // A VM that is about to join a group needs the weights that it holds.
            const ServedModel *model = chooseModelToStage(*backend, input);
            if (!model)
                continue;
            domain.loadTokens = std::max(0.0, domain.loadTokens - 1);
            ++inProgress;
            const Duration expectedLoadTime =
                before ? model->loadTime / initialLoadSpeedup : model->loadTime;
            m_staging[backend->report.id] = {model->name,
                                             now + expectedLoadTime * stagingTimeoutFactor};
            input = stagingInput(id); // One more VM prefetches that model now.
            sendOrder(*backend, GroupOrderKind::Stage, GroupId(), domain.plan.generation,
                      model->name, {}, domain.plan.generation, now, actions);
        }
    }
}

std::uint32_t FormationSystem::countJoining(const GroupId &except) const
{
    std::uint32_t count = 0;
    m_backends.forEach([&](BackendIndex, const Backend &backend) {
        const GroupMembership &claim = backend.report.group;
        if (claim.state == MemberState::Joining && claim.name != except)
            ++count;
    });
    return count;
}

bool FormationSystem::takeLoadToken(Domain &domain, const PlannedGroup &group)
{
    if (m_beforeTraffic)
        return true;
    if (countJoining(group.name) >= engineService()->engine->maxConcurrentLoads
        || domain.loadTokens < 1)
        return false;
    domain.loadTokens -= 1;
    return true;
}

void FormationSystem::sendFormingOrders(Domain &domain, const PlannedGroup &group, TimePoint now,
                                        FormationActions &actions)
{
    bool allReady = true;
    for (const PlannedMember &member : group.members) {
        const Backend *backend = findMember(m_backends, member);
        if (!backend || backend->listing != Listing::Listed) {
            allReady = false;
            continue;
        }
        if (isMemberOf(*backend, group)) {
            allReady = allReady && backend->report.group.state == MemberState::Ready;
            continue;
        }
        allReady = false;
        const auto sent = m_orders.find(member.vm);
        const bool sentBefore = sent != m_orders.end() && sent->second.group == group.name
            && sent->second.kind == GroupOrderKind::Join;
        if (sentBefore && now < sent->second.retryAt)
            continue;
        if (!sentBefore && !holdsWeights(*backend, group.model) && !takeLoadToken(domain, group))
            continue;
        sendOrder(*backend, GroupOrderKind::Join, group.name, group.generation, group.model,
                  memberIds(group), domain.plan.generation, now, actions);
    }
    if (!allReady)
        return;
    const Backend &head = *findMember(m_backends, group.members.front());
    sendOrder(head, GroupOrderKind::Open, group.name, group.generation, group.model, {},
              domain.plan.generation, now, actions);
}

void FormationSystem::sendDissolvingOrders(const PlannedGroup &group, Generation fence,
                                           TimePoint now, FormationActions &actions)
{
    const Backend *head = findMember(m_backends, group.members.front());
    const bool headServes = head && !hasLeft(group.members.front(), group, now)
        && (head->report.group.state == MemberState::Open
            || head->report.group.state == MemberState::Closing);
    const bool allAvailable =
        std::all_of(group.members.begin(), group.members.end(), [&](const auto &member) {
            const Backend *backend = findMember(m_backends, member);
            return backend && backend->listing != Listing::Missing && !isLost(member.vm, now);
        });
    if (headServes && allAvailable) {
        // No member has failed, so the head can still complete its requests.
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
        const Backend *backend = findMember(m_backends, member);
        if (backend && !hasLeft(member, group, now))
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
    actions.push_back(LogFormation {"order_sent",
                                    {{"server", order.vm.value()},
                                     {"order", groupOrderName(kind)},
                                     {"group", group.value()},
                                     {"generation", std::to_string(generation.value())},
                                     {"fence", std::to_string(order.fence.value())}}});
}

} // namespace bramleypitch
