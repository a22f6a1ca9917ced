#include "coordination/node_state.h"

#include "coordination/environment_func.h"
#include "coordination/refusal_func.h"

namespace bramleypitch {

namespace {

MemberEntry selfEntry(const NodeOptions &options)
{
    MemberEntry entry;
    entry.node = options.node;
    entry.entryAddress = options.entryAddress;
    entry.peerAddress = options.peerAddress;
    entry.zone = options.zone;
    return entry;
}

} // namespace

const char *const sharedPrefix = "/bramleypitch/shared/";

NodeState::NodeState(NodeOptions nodeOptions)
    : options(std::move(nodeOptions))
    , members(selfEntry(options), options.members)
    , random(options.seed)
{
    lease.node = options.node;
}

std::string configurationKey(const EnvironmentId &environment, Stage stage)
{
    return std::string(sharedPrefix) + "configuration/" + environment.value() + "/"
        + stageName(stage);
}

std::string placementKey(const DomainId &domain)
{
    return std::string(sharedPrefix) + "placement/" + domain.value();
}

std::string nodePrefix(const EnvironmentId &environment)
{
    return "/bramleypitch/nodes/" + environment.value() + "/";
}

std::string ledgerPrefix(const EnvironmentId &environment, Stage stage)
{
    return "/bramleypitch/ledger/" + environment.value() + "/" + stageName(stage) + "/";
}

std::string auditPrefix(const EnvironmentId &environment, Stage stage)
{
    return "/bramleypitch/audit/" + environment.value() + "/" + stageName(stage) + "/";
}

bool isConfigurationCurrent(const NodeState &state, TimePoint now)
{
    if (!state.envelope)
        return false;
    if (now - state.shared.evidence() < state.options.configurationFreshness)
        return true;
    // Every heartbeat carries evidence. If a majority of the nodes is alive and none of them has
    // newer evidence, then the platform answers none of them and accepts no configuration through
    // them. Heartbeats that were buffered in a socket while this process was suspended also make
    // peers seem alive, so a reply to a heartbeat sent after the evidence expired is required as
    // well.
    const TimePoint evidenceExpiredAt =
        state.shared.evidence() + state.options.configurationFreshness;
    const bool isOutdated = state.newestPeerRevision > state.shared.newest();
    return !isOutdated && state.lastAnsweredHeartbeatAt >= evidenceExpiredAt
        && state.members.majorityAlive(now);
}

bool isOwnZoneOut(const NodeState &state)
{
    return state.envelope && isZoneOut(*state.envelope, state.options.zone);
}

std::optional<Refuse> nodeRefusal(const NodeState &state, TimePoint now)
{
    const RequestId request; // Set by the caller of this function.
    if (state.stopping)
        return makeRefusal(request, ErrorCode::Stopping, "this node is stopping; use another entry",
                           defaultRetryAfter);
    if (!isConfigurationCurrent(state, now))
        return makeRefusal(request, ErrorCode::ConfigurationStale,
                           "this node cannot verify that its configuration is current",
                           defaultRetryAfter);
    // Callers cache the list of entries, so this node keeps accepting requests until cached lists
    // have expired, and serves them from other zones.
    const bool gracePeriodOver = state.zoneOutSince != TimePoint()
        && now - state.zoneOutSince >= state.options.entryCacheTime;
    if (isOwnZoneOut(state) && gracePeriodOver)
        return makeRefusal(request, ErrorCode::ZoneOut,
                           "this node's availability zone is out of service; use another entry",
                           defaultRetryAfter);
    return std::nullopt;
}

const KnownPlacement &knownPlacement(const NodeState &state, const DomainId &domain)
{
    static const KnownPlacement emptyPlacement;
    const auto found = state.placements.find(domain);
    return found == state.placements.end() ? emptyPlacement : found->second;
}

void storePlacement(NodeState &state, const SharedValue &value)
{
    const DomainId domain(value.key.substr(placementKey(DomainId()).size()));
    state.placements[domain] = {parsePlacement(value.value), value.revision};
}

} // namespace bramleypitch
