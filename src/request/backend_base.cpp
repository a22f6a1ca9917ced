#include "request/backend_base.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Progress of a server within this time refutes a suspicion, and is reported to other nodes.
constexpr Duration maxProgressAge {400};
/// How long an announcement that a server leaves is remembered, so that an outdated entry does not
/// bring it back. A leaving server has ended long before.
constexpr Duration leavingMemory {600'000};
constexpr std::size_t maxTargetLists = 1'000; ///< Callers choose the names of models.
constexpr std::size_t minKnownRuns = 256; ///< Runs of servers without an entry that are kept.
/// How long an announcement is repeated to other nodes if the server has no entry. If it has one,
/// it is repeated for longer, as a node that starts again knows nothing but the entry.
constexpr Duration leavingReportTime {5'000};
constexpr std::size_t maxReportedLeaving = 64;

} // namespace

void BackendTable::update(const BackendReport &published, TimePoint now)
{
    recordRun(published, now);
    if (m_closed.onReport(published, now))
        changed();
    BackendReport report = published;
    report.draining = report.draining || isMarkedLeaving(report, now);
    const auto found = m_byId.find(report.id);
    if (found == m_byId.end()) {
        Backend backend;
        backend.report = report;
        backend.reportReceivedAt = now;
        backend.coldUntil = now + report.coldTimeLeft;
        backend.coldSince = now;
        backend.lastModel = report.model;
        if (const auto pause = m_pauses.find(report.id); pause != m_pauses.end())
            backend.pausedUntil = pause->second;
        for (const auto &[peer, running] : m_peers) {
            if (const auto count = running.find(report.id); count != running.end())
                backend.peersRunning += count->second;
        }
        const BackendIndex index = m_pool.insert(std::move(backend));
        m_byId.emplace(report.id, index);
        addToDomain(report, index);
        changed();
        return;
    }
    Backend &backend = *m_pool.find(found->second);
    if (backend.report.startedAt != report.startedAt) {
        backend.eventGapMs = 0;
        backend.lastModel = ModelId();
        backend.suspectUntil = TimePoint();
        backend.ownSuspectUntil = TimePoint();
    }
    if (backend.report != report || backend.listing != Listing::Listed)
        changed();
    backend.listing = Listing::Listed;
    if (!report.model.value().empty() && report.group.state != MemberState::Joining)
        backend.lastModel = report.model;
    if (now >= backend.coldUntil)
        backend.coldSince = now;
    if (report.group.state == MemberState::Open && backend.report.group.state != MemberState::Open)
        backend.openedAt = now;
    if (backend.report.domain != report.domain) {
        removeFromDomain(backend.report);
        addToDomain(report, found->second);
    }
    backend.report = report;
    backend.reportReceivedAt = now;
    backend.coldUntil = now + report.coldTimeLeft;
}

void BackendTable::recordRun(const BackendReport &report, TimePoint now)
{
    KnownRun &run = m_newestRuns[report.id];
    run = {std::max(run.startedAt, report.startedAt), now};
    if (m_newestRuns.size() > minKnownRuns + 2 * m_byId.size()) {
        std::erase_if(m_newestRuns, [&](const auto &entry) {
            return now - entry.second.seenAt >= leavingMemory && !m_byId.count(entry.first);
        });
    }
}

std::int64_t BackendTable::newestStart(const VmId &id) const
{
    const auto run = m_newestRuns.find(id);
    return run == m_newestRuns.end() ? 0 : run->second.startedAt;
}

bool BackendTable::isMarkedLeaving(const BackendReport &report, TimePoint now) const
{
    const auto mark = m_leaving.find(report.id);
    return mark != m_leaving.end() && report.startedAt <= mark->second.startedAt
        && now - mark->second.learnedAt < leavingMemory;
}

bool BackendTable::addLeavingMark(const VmId &id, std::int64_t startedAt, bool isOwn, TimePoint now)
{
    const auto known = m_leaving.find(id);
    if (known != m_leaving.end() && known->second.startedAt >= startedAt) {
        known->second.isOwn = known->second.isOwn || isOwn;
        return false;
    }
    // Peers repeat each announcement, so that old ones are only looked for when one is new.
    std::erase_if(m_leaving, [now](const auto &entry) {
        return now - entry.second.learnedAt >= leavingMemory;
    });
    m_leaving[id] = {startedAt, now, isOwn};
    if (Backend *backend = find(id);
        backend && isMarkedLeaving(backend->report, now) && !backend->report.draining) {
        backend->report.draining = true;
        changed();
    }
    return true;
}

bool BackendTable::markLeaving(const VmId &id, std::int64_t startedAt, TimePoint now)
{
    return addLeavingMark(id, startedAt, true, now);
}

LeavingRuns BackendTable::mergeLeaving(const LeavingRuns &runs, TimePoint now)
{
    LeavingRuns added;
    for (const auto &[id, startedAt] : runs) {
        if (addLeavingMark(id, startedAt, false, now))
            added[id] = startedAt;
    }
    return added;
}

LeavingRuns BackendTable::recentlyLeaving(TimePoint now) const
{
    std::vector<std::pair<TimePoint, VmId>> reported;
    for (const auto &[id, mark] : m_leaving) {
        const Backend *backend = find(id);
        if ((backend && isMarkedLeaving(backend->report, now))
            || (mark.isOwn && now - mark.learnedAt < leavingReportTime))
            reported.emplace_back(mark.learnedAt, id);
    }
    std::sort(reported.rbegin(), reported.rend());
    reported.resize(std::min(reported.size(), maxReportedLeaving));
    LeavingRuns runs;
    for (const auto &[learnedAt, id] : reported)
        runs[id] = m_leaving.at(id).startedAt;
    return runs;
}

void BackendTable::pause(const VmId &id, TimePoint until, TimePoint now)
{
    if (!m_pauses.count(id))
        std::erase_if(m_pauses, [now](const auto &entry) { return now >= entry.second; });
    TimePoint &latest = m_pauses[id];
    latest = std::max(latest, until);
    if (Backend *backend = find(id))
        backend->pausedUntil = latest;
}

void BackendTable::erase(const VmId &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return;
    removeFromDomain(m_pool.find(found->second)->report);
    m_pool.erase(found->second);
    m_byId.erase(found);
    changed();
}

void BackendTable::setListing(const VmId &id, Listing listing)
{
    if (Backend *backend = find(id); backend && backend->listing != listing) {
        backend->listing = listing;
        changed();
    }
}

Backend *BackendTable::find(const VmId &id)
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : m_pool.find(found->second);
}

const Backend *BackendTable::find(const VmId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : m_pool.find(found->second);
}

void BackendTable::updateMemberCounts() const
{
    if (m_membersVersion == m_version)
        return;
    m_membersVersion = m_version;
    m_memberCounts.clear();
    m_pool.forEach([&](BackendIndex, const Backend &backend) {
        const GroupMembership &claim = backend.report.group;
        const bool working = claim.state == MemberState::Ready || claim.state == MemberState::Open;
        // A member whose entry is missing still counts: the owner of the domain probes it, and
        // dissolves the group if it does not answer.
        if (working && !backend.report.draining)
            ++m_memberCounts[{claim.name, claim.generation}];
    });
}

bool BackendTable::isServable(const Backend &backend,
                              const ServingConfiguration &configuration) const
{
    if (backend.report.draining || backend.listing == Listing::Overdue
        || backend.listing == Listing::Missing)
        return false;
    if (configuration.services.count(backend.report.service) == 0)
        return false;
    const EngineSpec *engine = configuration.engineOf(backend.report.service);
    if (!engine)
        return true;
    const GroupMembership &claim = backend.report.group;
    if (claim.state != MemberState::Open || claim.rank != 0)
        return false;
    const ServedModel *model =
        configuration.findModel(backend.report.service, backend.report.model);
    if (!model)
        return false;
    const auto dissolving = m_dissolving.find(backend.report.domain);
    if (dissolving != m_dissolving.end()
        && dissolving->second.count({claim.name, claim.generation}) > 0)
        return false;
    if (m_closed.isClosed(backend.report))
        return false;
    updateMemberCounts();
    const auto present = m_memberCounts.find({claim.name, claim.generation});
    return present != m_memberCounts.end() && present->second >= model->span;
}

const std::vector<BackendIndex> &BackendTable::targets(const ServiceId &service,
                                                       const ModelId &model,
                                                       const ServingConfiguration &configuration)
{
    TargetList &list = m_targets[{service, model}];
    if (list.version == m_version && list.configuration == configuration.version)
        return list.servers;
    list.version = m_version;
    list.configuration = configuration.version;
    list.servers.clear();
    const bool byModel = configuration.engineOf(service) != nullptr;
    m_pool.forEach([&](BackendIndex index, Backend &backend) {
        if (backend.report.service != service || !isServable(backend, configuration))
            return;
        if (!byModel || backend.report.model == model)
            list.servers.push_back(index);
    });
    return list.servers;
}

void BackendTable::pruneTargets()
{
    if (m_targets.size() > maxTargetLists)
        m_targets.clear();
}

std::vector<const Backend *> BackendTable::serversInDomain(const DomainId &domain) const
{
    std::vector<const Backend *> members;
    const auto found = m_domains.find(domain);
    if (found == m_domains.end())
        return members;
    for (const auto &[id, index] : found->second)
        members.push_back(m_pool.find(index));
    return members;
}

void BackendTable::addToDomain(const BackendReport &report, BackendIndex index)
{
    if (!report.domain.value().empty())
        m_domains[report.domain][report.id] = index;
}

void BackendTable::removeFromDomain(const BackendReport &report)
{
    const auto found = m_domains.find(report.domain);
    if (found == m_domains.end())
        return;
    found->second.erase(report.id);
    if (found->second.empty())
        m_domains.erase(found);
}

bool BackendTable::closeGroup(const Backend &head, TimePoint now)
{
    const bool isNew = m_closed.close(head.report, true, now, now);
    if (isNew)
        changed();
    return isNew;
}

std::vector<VmId> BackendTable::mergeClosedGroups(const ClosedGroups &groups, TimePoint now)
{
    std::vector<VmId> added;
    for (const auto &[id, group] : groups) {
        const Backend *head = find(id);
        const bool isKnown = head && head->report.startedAt == group.startedAt
            && head->report.group.name == group.name
            && head->report.group.generation == group.generation;
        if (isKnown && m_closed.close(head->report, false, now - group.age, now))
            added.push_back(id);
    }
    if (!added.empty())
        changed();
    return added;
}

void BackendTable::expireClosedGroups(TimePoint now)
{
    if (m_closed.expire(now))
        changed();
}

void BackendTable::setDissolving(const DomainId &domain, std::set<GroupKey> groups)
{
    std::set<GroupKey> &present = m_dissolving[domain];
    if (present == groups)
        return;
    present = std::move(groups);
    changed();
}

void BackendTable::onDispatched(Backend &backend, TimePoint now)
{
    if (backend.ownRunning == 0)
        backend.ownRunningSince = now;
    ++backend.ownRunning;
}

void BackendTable::recordProgress(Backend &backend, TimePoint at)
{
    backend.lastProgress = std::max(backend.lastProgress, at);
    if (backend.isSuspectedForSilence) {
        backend.suspectUntil = std::min(backend.suspectUntil, at);
        backend.ownSuspectUntil = std::min(backend.ownSuspectUntil, at);
    }
}

void BackendTable::onProgress(Backend &backend, TimePoint now)
{
    backend.ownProgress = now;
    m_lastHeard = now;
    recordProgress(backend, now);
}

void BackendTable::suspect(Backend &backend, Suspicion reason, Duration duration, TimePoint now)
{
    backend.isSuspectedForSilence = reason == Suspicion::Silence;
    backend.ownSuspectUntil = std::max(backend.ownSuspectUntil, now + duration);
    backend.suspectUntil = std::max(backend.suspectUntil, backend.ownSuspectUntil);
}

void BackendTable::setPeerRunning(const NodeId &peer, const RunningCounts &counts)
{
    RunningCounts &known = m_peers[peer];
    for (const auto &[id, count] : known) {
        if (Backend *backend = find(id))
            backend->peersRunning -= std::min(backend->peersRunning, count);
    }
    for (const auto &[id, count] : counts) {
        if (Backend *backend = find(id))
            backend->peersRunning += count;
    }
    if (counts.empty())
        m_peers.erase(peer);
    else
        known = counts;
}

std::map<VmId, Duration> BackendTable::suspects(TimePoint now) const
{
    std::map<VmId, Duration> found;
    m_pool.forEach([&](BackendIndex, const Backend &backend) {
        if (backend.ownSuspectUntil > now)
            found[backend.report.id] = backend.ownSuspectUntil - now;
    });
    return found;
}

void BackendTable::mergeSuspects(const std::map<VmId, Duration> &suspects, TimePoint now)
{
    for (const auto &[id, left] : suspects) {
        Backend *backend = find(id);
        if (!backend || now - backend->lastProgress < maxProgressAge)
            continue;
        if (now >= backend->suspectUntil)
            backend->isSuspectedForSilence = true;
        backend->suspectUntil = std::max(backend->suspectUntil, now + left);
    }
}

std::map<VmId, Duration> BackendTable::recentProgress(TimePoint now) const
{
    std::map<VmId, Duration> found;
    m_pool.forEach([&](BackendIndex, const Backend &backend) {
        if (backend.ownRunning > 0 && now - backend.ownProgress < maxProgressAge)
            found[backend.report.id] = now - backend.ownProgress;
    });
    return found;
}

void BackendTable::mergeRecentProgress(const std::map<VmId, Duration> &recentProgress,
                                       TimePoint now)
{
    for (const auto &[id, ago] : recentProgress) {
        if (Backend *backend = find(id)) {
            backend->peerProgress = std::max(backend->peerProgress, now - ago);
            recordProgress(*backend, now - ago);
        }
    }
}

RunningCounts BackendTable::ownRunning() const
{
    RunningCounts counts;
    m_pool.forEach([&](BackendIndex, const Backend &backend) {
        if (backend.ownRunning > 0)
            counts[backend.report.id] = backend.ownRunning;
    });
    return counts;
}

} // namespace bramleypitch
