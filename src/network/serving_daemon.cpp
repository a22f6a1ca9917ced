#include "network/serving_daemon.h"

#include "core/error_type.h"
#include "core/format_version.h"
#include "core/json_reader.h"
#include "formation/conversion_record.h"
#include "network/log.h"
#include "network/membership_record.h"
#include "request/quarantine_func.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

namespace bramleypitch {

namespace {

constexpr Duration tickInterval {25};
/// A longer pause between two ticks is logged: the process was stopped, had no processor or was
/// busy.
constexpr Duration maxTickDelay {250};
constexpr Duration pulseInterval {150};
/// The interval of pulses per node of the zone, and its limit: three pulses in a row may be lost
/// before a node counts as dead.
constexpr Duration pulseIntervalPerNode {6};
constexpr Duration maxPulseInterval {400};
constexpr Duration sweepInterval {100};
/// A node that is settled within this time after this one started, or whose wall clock showed an
/// earlier start by the difference, did not start together with this one.
constexpr Duration settledPeerTime {1'000};
constexpr Duration minLifeDifference {3'000};
/// Interval of the digests between the representatives of the zones, and of their feeds.
constexpr Duration digestInterval {150};
/// Minimum interval at which a digest of another zone is relayed, per node of the own zone. Each is
/// sent to all of these nodes.
constexpr Duration relayIntervalPerNode {15};
/// Changes that were sent to a node are sent again if it does not report them within this time.
constexpr Duration feedResendInterval {600};
/// Limit on the changes in one datagram before their compression.
constexpr std::size_t maxFeedBytes = 150'000;
/// The same limit for changes that cannot be compressed to the size of a datagram.
constexpr std::size_t maxUncompressibleFeedBytes = 40'000;
/// A node that represents its zone watches the store itself if its copy has not been proven up to
/// date within this share of the time within which a change has to take effect. Other nodes wait a
/// little longer, because their zone's representative may start to watch first.
constexpr double maxRepresentativeProofShare = 0.6;
/// The same limit for a node that does not represent its zone.
constexpr double maxProofShare = 0.85;
/// Limit on that time. API keys are refused without a proof of the last few seconds.
constexpr Duration maxChangeTime {3'000};
constexpr Duration leaseDuration {10'000};
constexpr Duration leaseRenewInterval {3'000}; ///< Allows three tries within the lease time.
constexpr Duration orderTimeout {1'500};
constexpr Duration linkProbeTimeout {400};
constexpr Duration probeTimeout {150}; ///< Many times the round-trip time to a server.
/// Entries that expired while the store was unreachable reappear within this time after it is
/// reachable again, if the server is alive: 2 s, plus 1 s for the propagation through the store.
constexpr Duration lapsedRetention {3'000};
/// After the store has come back from an older copy, what the operator wrote is written again
/// within this time.
constexpr Duration rewriteTime {2'000};
/// A group member whose entry disappeared while the store was reachable may only have lost its own
/// connection to the store. Its group is kept for this time if the member answers the owner of its
/// domain. A server that is leaving has stopped within this time.
constexpr Duration missingRetention {10'000};
/// Connections stay open for this time after the start of a shutdown, so that the lists of entry
/// addresses cached by callers expire first.
constexpr Duration minDrainTime {5'000};
/// Callers hold lists of entry addresses for this time, and go on sending requests meanwhile. Those
/// that arrive later in a shutdown are accepted only if they end with it.
constexpr Duration maxOpenTime {2'500};
/// The same limit as a share of the time until the process would be killed.
constexpr double maxOpenShare = 0.3125;
/// All requests end so long before the process would be killed. Leaves time for slow callers to
/// receive the ends of their responses.
constexpr Duration requestStopMargin {300};
constexpr Duration stopMargin {100}; ///< Time left before the process would be killed.
/// With fewer entry addresses in the caller's zone, those of other zones are listed, too: the loss
/// of one node must be tolerable.
constexpr std::size_t minEntries = 2;
constexpr std::size_t maxAdminRequestBody = 4'096;
constexpr int forwardKeyWords = 4; ///< Words of 32 bits.
constexpr std::size_t maxLoggedTextBytes = 200; ///< Of text that others wrote.
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr const char *formationKeyPrefix = "formation/";
constexpr const char *conversionKey = "formation-conversions";
constexpr const char *nodesKeyPrefix = "nodes/";
constexpr const char *quarantineKeyPrefix = "quarantine/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(duration.count());
}

/// Returns a key that callers cannot guess, or an empty text if the system has no random numbers.
std::string makeForwardKey()
{
    try {
        std::random_device random;
        std::ostringstream key;
        for (int word = 0; word < forwardKeyWords; ++word)
            key << std::hex << std::setw(8) << std::setfill('0') << random();
        return key.str();
    } catch (const std::exception &error) {
        logLine(LogLevel::Warning, "forward_key_missing", {{"cause", error.what()}});
        return {};
    }
}

/// Whether an entry of a server was written before another one.
bool isOlder(const BackendReport &report, const BackendReport &other)
{
    return std::pair(report.startedAt, report.number) < std::pair(other.startedAt, other.number);
}

/// Returns the id under which the request counts of another zone are stored next to those of single
/// nodes. No node has such a name.
NodeId zoneCountsId(const ZoneId &zone)
{
    return NodeId("zone/" + zone.value());
}

} // namespace

ServingDaemon::ServingDaemon(EventLoop &loop, ServingOptions options, ServingDialect dialect,
                             StoreClient &store, HttpClient &http)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_dialect(std::move(dialect))
    , m_store(store)
    , m_http(http)
    , m_startedAt(loop.now())
    , m_requests(m_options.requests, m_backends)
    , m_formation(m_options.formation, m_backends, m_startedAt)
    , m_membership(MembershipOptions {
          {m_options.node, m_options.zone, m_options.front, m_options.pulse, m_options.cores},
          m_startedAt})
    , m_relay(loop, m_requests, m_dialect.relay, relayHooks())
    , m_mirror(loop, m_store, mirrorHooks())
    , m_quarantineStore(m_store, m_dialect.ownPrefix + quarantineKeyPrefix)
    , m_adminServer(loop, maxAdminRequestBody)
    , m_tickTimer(loop, [this] { tick(); })
    , m_incarnation(loop.wallTime().value())
    , m_forwardKey(makeForwardKey())
{
    m_relay.setForwardKey(m_forwardKey);
    m_store.setEraHook([this](StoreEra previous, StoreEra era) { onStoreEra(previous, era); });
    m_formation.setFirstStart(m_options.firstStart);
    m_relay.callers().setMaxBodyMemory(m_options.maxBodyMemory);
    m_relay.setResponseMemory(m_options.maxResponseMemory, m_options.boundsSlowReaders);
    m_requests.setQuarantineHook([this](const QuarantineDecision &decision) {
        m_quarantineStore.add(decision, m_loop.now());
    });
    m_adminServer.setRequestHook([this](const HttpRequest &request) { onAdminRequest(request); });
}

void ServingDaemon::start()
{
    m_pulseSocket = std::make_unique<PulseSocket>(
        m_loop, m_options.pulse,
        PulseHooks {
            [this](const Pulse &pulse) { onPulse(pulse); },
            [this](const ZoneDigest &digest) { onDigest(digest); },
            [this](const StoreFeed &feed) { onFeed(feed); },
            [this](const PermitMessage &message) { onPermitMessage(message); },
            [this](const NodeId &peer, std::int32_t version) { onPeerVersion(peer, version); }});
    m_adminServer.listen(m_options.ready);
    m_adminServer.listen(m_options.directory);
    if (m_options.metrics)
        m_adminServer.listen(*m_options.metrics);
    // Callers are accepted only if nothing else can fail.
    m_relay.callers().listen(m_options.front);
    m_mirror.start();
    m_tickTimer.startRepeating(tickInterval);
    logLine(LogLevel::Info, "started",
            {{"front", m_options.front.value()},
             {"directory", m_options.directory.value()},
             {"zone", m_options.zone.value()},
             {"first_start", m_options.firstStart ? "true" : "false"}});
}

void ServingDaemon::reload(const ServingOptions &options)
{
    m_options.stopTime = options.stopTime;
    m_options.entryCacheTime = options.entryCacheTime;
    m_options.boundsSlowReaders = options.boundsSlowReaders;
    m_relay.callers().setMaxBodyMemory(options.maxBodyMemory);
    m_relay.setResponseMemory(options.maxResponseMemory, options.boundsSlowReaders);
    m_requests.setOptions(options.requests);
    logLine(LogLevel::Info, "reloaded", {{"stop_time_ms", formatMilliseconds(options.stopTime)}});
}

void ServingDaemon::stop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopAt = m_loop.now();
    m_stopEndsAt = m_stopAt + m_options.stopTime - stopMargin;
    const Duration openTime(
        static_cast<Duration::rep>(maxOpenShare * static_cast<double>(m_options.stopTime.count())));
    m_relay.startStop(m_stopAt + m_options.stopTime - requestStopMargin,
                      m_stopAt + std::min(openTime, maxOpenTime), m_stopAt);
    m_membership.setAccepting(false);
    m_membership.setLeaving();
    pulse(m_stopAt);
    if (m_lease != 0)
        m_store.revokeLease(m_lease, [] {});
    logLine(LogLevel::Info, "stopping",
            {{"open_requests", std::to_string(m_requests.open())},
             {"stop_time_ms", formatMilliseconds(m_options.stopTime)}});
}

MirrorHooks ServingDaemon::mirrorHooks()
{
    MirrorHooks hooks;
    hooks.changed = [this](const StoreChange &change) { onStoreChange(change); };
    hooks.proven = [this](TimePoint at) { m_requests.setConfigurationProof(at); };
    hooks.skipped = [this](std::size_t items) {
        m_decisions["value_unreadable"] += items;
        logLine(LogLevel::Warning, "value_unreadable",
                {{"items", std::to_string(items)}, {"reason", "no key or revision"}});
    };
    hooks.settled = [this] { settled(); };
    hooks.readAgain = [this](const std::string &cause) {
        ++m_decisions["store_read_again"];
        logLine(LogLevel::Info, "store_read_again",
                {{"cause", cause}, {"held", std::to_string(m_mirror.held().value())}});
    };
    hooks.reachable = [this](bool reachable, const std::string &cause) {
        logLine(reachable ? LogLevel::Info : LogLevel::Warning,
                reachable ? "store_regained" : "store_lost", {{"cause", cause}});
    };
    return hooks;
}

RelayHooks ServingDaemon::relayHooks()
{
    RelayHooks hooks;
    hooks.decided = [this](const LogDecision &note) {
        ++m_decisions[note.event];
        LogFields fields {{"request", note.traceId}};
        fields.insert(fields.end(), note.fields.begin(), note.fields.end());
        logLine(LogLevel::Info, note.event, fields);
    };
    hooks.firstEvent = [this](Duration age) {
        m_firstEventTimes.add(static_cast<double>(age.count()));
    };
    hooks.answered = [this](Duration age) {
        m_responseTimes.add(static_cast<double>(age.count()));
    };
    hooks.refused = [this](ErrorCode code) {
        ++m_decisions[std::string("refused_") + errorName(code)];
    };
    return hooks;
}

void ServingDaemon::onStoreEra(StoreEra previous, StoreEra era)
{
    m_formation.setEra(era);
    if (previous == StoreEra() && !m_mirror.complete()) {
        m_mirror.setEra(era);
        return;
    }
    ++m_eraChanges;
    logLine(LogLevel::Warning, "store_era",
            {{"previous", std::to_string(previous.value())},
             {"era", std::to_string(era.value())},
             {"held", std::to_string(m_mirror.held().value())}});
    m_lastFeeds.clear();
    // The store may have given the id of the lease out again.
    m_lease = 0;
    m_recordStored = false;
    m_recordRevision = Revision();
    m_lastLeaseCallAt = TimePoint();
    m_requests.onOlderCopy(m_loop.now() + rewriteTime);
    m_quarantineStore.startEra();
    m_mirror.startEra(era);
}

bool ServingDaemon::mayBeReplaced(const StoreChange &change) const
{
    if (!change.fromCopy)
        return false;
    if (change.deleted)
        return startsWith(change.key, m_dialect.zoneOutPrefix)
            || startsWith(change.key, m_dialect.ownPrefix + nodesKeyPrefix);
    // It may have left since the copy was made.
    return startsWith(change.key, m_dialect.serverPrefix)
        && !m_backends.find(VmId(change.key.substr(m_dialect.serverPrefix.size())));
}

void ServingDaemon::applyCopiedChanges(TimePoint now)
{
    if (!m_mirror.complete())
        return;
    std::vector<StoreChange> due;
    for (auto entry = m_copiedChanges.begin(); entry != m_copiedChanges.end();) {
        const bool isDue = now - entry->second.at >= lapsedRetention;
        if (isDue)
            due.push_back(entry->second.change);
        entry = isDue ? m_copiedChanges.erase(entry) : std::next(entry);
    }
    for (StoreChange &change : due) {
        change.fromCopy = false;
        onStoreChange(change);
    }
}

void ServingDaemon::onStoreChange(const StoreChange &change)
{
    m_copiedChanges.erase(change.key);
    if (mayBeReplaced(change)) {
        m_copiedChanges[change.key] = {change, m_loop.now()};
        return;
    }
    try {
        if (change.key == m_dialect.configurationKey) {
            onConfigurationChange(change);
        } else if (startsWith(change.key, m_dialect.serverPrefix)) {
            onServerChange(VmId(change.key.substr(m_dialect.serverPrefix.size())), change);
        } else if (startsWith(change.key, m_dialect.zoneOutPrefix)) {
            const ZoneId zone(
                checkedName(change.key.substr(m_dialect.zoneOutPrefix.size()), "zone"));
            if (change.deleted)
                m_zonesOut.erase(zone);
            else
                m_zonesOut.insert(zone);
            m_requests.setZonesOut(m_zonesOut);
            m_formation.setZonesOut(m_zonesOut);
            logLine(LogLevel::Info, change.deleted ? "zone_back" : "zone_out",
                    {{"zone", zone.value()}});
        } else if (startsWith(change.key, m_dialect.ownPrefix)) {
            onOwnKeyChange(change);
        }
    } catch (const Failure &failure) {
        ++m_decisions["value_unreadable"];
        logLine(LogLevel::Warning, "value_unreadable",
                {{"key", change.key.substr(0, maxLoggedTextBytes)},
                 {"revision", std::to_string(change.revision.value())},
                 {"reason", std::string(failure.what()).substr(0, maxLoggedTextBytes)}});
    }
}

void ServingDaemon::onConfigurationChange(const StoreChange &change)
{
    if (change.deleted) {
        m_requests.onConfigurationUnreadable();
        logLine(LogLevel::Warning, "configuration_deleted",
                {{"kept", "the last accepted version, for routes without keys"}});
        return;
    }
    std::shared_ptr<ServingConfiguration> configuration;
    try {
        configuration =
            std::make_shared<ServingConfiguration>(m_dialect.readConfiguration(change.value));
    } catch (const Failure &) {
        m_requests.onConfigurationUnreadable();
        throw;
    }
    const ServingConfigurationPtr &current = m_requests.configuration();
    if (current && configuration->version <= current->version) {
        if (configuration->version == current->version)
            m_requests.onConfigurationReadable();
        return;
    }
    configuration->keepReadable(current.get());
    m_requests.setConfiguration(configuration);
    // Groups are kept as they are while the service that they serve cannot be read.
    if (configuration->knowsAllServices())
        m_formation.setConfiguration(configuration);
    m_relay.callers().setLimits(configuration->limits);
    logLine(LogLevel::Info, "configuration",
            {{"version", std::to_string(configuration->version)},
             {"routes", std::to_string(configuration->routes.size())},
             {"keys", std::to_string(configuration->keys.size())},
             {"unreadable_items", std::to_string(configuration->unreadableItems)}});
    for (const std::string &place : configuration->unreadablePlaces)
        logLine(LogLevel::Warning, "configuration_item_unreadable",
                {{"version", std::to_string(configuration->version)},
                 {"reason", place.substr(0, maxLoggedTextBytes)}});
}

void ServingDaemon::onServerChange(const VmId &id, const StoreChange &change)
{
    const TimePoint now = m_loop.now();
    if (change.deleted) {
        const bool storeWasUnreachable = now - m_mirror.reachableSince() < lapsedRetention;
        onServerVanished(id, storeWasUnreachable ? Listing::Lapsed : Listing::Missing, now);
        return;
    }
    BackendReport report;
    try {
        report = m_dialect.readServer(id, change.value);
    } catch (const Failure &) {
        // What the previous entry said no longer holds.
        onServerVanished(id, Listing::Missing, now);
        throw;
    }
    m_vanishedServers.erase(id);
    const Backend *previous = m_backends.find(id);
    const GroupMembership previousClaim = previous ? previous->report.group : GroupMembership();
    const std::vector<ModelId> previousStaged =
        previous ? previous->report.staged : std::vector<ModelId>();
    const bool wasDraining = previous && previous->report.draining;
    if (change.fromCopy && previous && isOlder(report, previous->report))
        return;
    m_backends.update(report, now);
    if (!previous || previousClaim != report.group || wasDraining != report.draining
        || previousStaged != report.staged)
        logLine(LogLevel::Info, "server",
                {{"server", id.value()},
                 {"service", report.service.value()},
                 {"group", report.group.name.value()},
                 {"state", std::to_string(static_cast<int>(report.group.state))},
                 {"draining", report.draining ? "true" : "false"},
                 {"model", report.model.value()},
                 {"staged", report.staged.empty() ? "" : report.staged.front().value()},
                 {"domain", report.domain.value()}});
}

void ServingDaemon::onServerVanished(const VmId &id, Listing listing, TimePoint now)
{
    const Backend *backend = m_backends.find(id);
    if (!backend)
        return;
    if (backend->listing == listing)
        return;
    const bool lapsed = listing == Listing::Lapsed;
    if (lapsed || backend->report.group.state != MemberState::None) {
        const TimePoint servedUntil = lapsedServingEnd(m_mirror.contact(), now);
        m_backends.setListing(id, lapsed && now >= servedUntil ? Listing::Overdue : listing);
        m_vanishedServers[id] = {now, lapsed ? lapsedRetention : missingRetention, servedUntil};
        logLine(LogLevel::Info, lapsed ? "server_lapsed" : "server_missing",
                {{"server", id.value()},
                 {"group", backend->report.group.name.value()},
                 {"served_for_ms",
                  formatMilliseconds(lapsed ? std::max(servedUntil - now, Duration(0))
                                            : Duration(0))}});
        return;
    }
    m_vanishedServers.erase(id);
    m_backends.erase(id);
    logLine(LogLevel::Info, "server_gone", {{"server", id.value()}});
}

void ServingDaemon::removeVanishedServers(TimePoint now)
{
    for (auto entry = m_vanishedServers.begin(); entry != m_vanishedServers.end();) {
        const auto &[id, vanished] = *entry;
        const bool storeIsStable =
            m_mirror.isReachable() && now - m_mirror.reachableSince() >= lapsedRetention;
        if (!storeIsStable || now - vanished.at < vanished.retention) {
            const Backend *backend = m_backends.find(id);
            if (backend && backend->listing == Listing::Lapsed && now >= vanished.servedUntil)
                m_backends.setListing(id, Listing::Overdue);
            ++entry;
            continue;
        }
        m_backends.erase(id);
        logLine(LogLevel::Info, "server_gone", {{"server", id.value()}, {"cause", "missing"}});
        entry = m_vanishedServers.erase(entry);
    }
}

void ServingDaemon::onOwnKeyChange(const StoreChange &change)
{
    const std::string key = change.key.substr(m_dialect.ownPrefix.size());
    if (startsWith(key, formationKeyPrefix)) {
        if (!change.deleted)
            onPlanChange(DomainId(key.substr(std::string(formationKeyPrefix).size())), change);
        return;
    }
    if (key == conversionKey) {
        if (change.deleted)
            m_formation.onConversionDeleted();
        else
            m_formation.onConversionRead(parseConversionNumber(change.value), change.revision);
        return;
    }
    if (startsWith(key, quarantineKeyPrefix)) {
        if (change.deleted)
            return;
        const PromptPart part = parsePartName(key.substr(std::string(quarantineKeyPrefix).size()));
        const QuarantinedPart quarantine = parseQuarantine(change.value, m_loop.wallTime());
        m_quarantineStore.onStored(part);
        m_requests.restoreQuarantine(part, quarantine, m_loop.now());
        return;
    }
    if (!startsWith(key, nodesKeyPrefix))
        return;
    const NodeId node(key.substr(std::string(nodesKeyPrefix).size()));
    if (change.deleted) {
        m_membership.eraseRecord(node);
        m_peerVersions.erase(node);
        if (node == m_options.node) {
            m_recordStored = false;
            m_recordRevision = Revision();
        }
        return;
    }
    if (node == m_options.node)
        m_recordRevision = change.revision;
    try {
        const MembershipRecord record = parseMembershipRecord(node, change.value);
        onNodeVersionRead(parseNodeVersion(change.value));
        m_membership.setRecord(record, m_loop.now());
    } catch (const Failure &) {
        m_membership.eraseRecord(node);
        if (node == m_options.node)
            m_recordStored = false; // It is written again.
        throw;
    }
}

void ServingDaemon::onPlanChange(const DomainId &domain, const StoreChange &change)
{
    try {
        checkedName(domain.value(), "name of a domain");
        m_formation.onPlanRead(domain, parsePlan(change.value), change.revision);
    } catch (const Failure &) {
        if (isName(domain.value()))
            m_formation.onPlanUnreadable(domain, change.revision);
        throw;
    }
}

void ServingDaemon::onNodeVersionRead(const NodeVersion &version)
{
    // The node had read that version from the store before it wrote this.
    m_requests.onVersionHeard(version.newest, TimePoint(), m_loop.now());
    // Nodes write their records again as soon as they notice a new era.
    if (!m_mirror.complete() && version.era != StoreEra() && version.era < m_store.era())
        m_requests.onOlderCopy(m_loop.now() + rewriteTime);
}

void ServingDaemon::settled()
{
    const TimePoint now = m_loop.now();
    sendFeeds(now);
    if (m_backends.version() == m_handledTableVersion)
        return;
    m_handledTableVersion = m_backends.version();
    runFormation(now);
    m_relay.tick(now);
}

void ServingDaemon::tick()
{
    const TimePoint now = m_loop.now();
    logDelay(now);
    // With more nodes in the zone each sends fewer pulses, so that none receives more of them.
    const auto zoneSize = static_cast<Duration::rep>(m_membership.zoneSize());
    const Duration interval =
        std::clamp(pulseIntervalPerNode * zoneSize, pulseInterval, maxPulseInterval);
    // Evidence is lost if this node ends before it has told it.
    const bool isEarly = m_requests.takeNewEvidence() && now - m_lastEarlyPulseAt >= interval;
    if (isEarly)
        m_lastEarlyPulseAt = now;
    if (isEarly || now - m_lastPulseAt >= interval)
        pulse(now);
    if (now - m_lastDigestAt >= digestInterval)
        representZone(now);
    if (now - m_lastSweepAt >= sweepInterval) {
        m_lastSweepAt = now;
        m_relay.sweep(now);
        removeVanishedServers(now);
        applyCopiedChanges(now);
        handleSilentPeers(now);
        checkStoreWrites(now);
        renewLease(now);
        if (m_mirror.isReachable())
            m_quarantineStore.tick(now, m_loop.wallTime());
    }
    m_mirror.setWatching(mustWatch(now));
    updateReadiness(now);
    updateStartPhase(now);
    runFormation(now);
    m_relay.tick(now);
    probeLinks(now);
    sendPermitMessages(now);
    flushLog();
    if (m_stopping)
        finishStop(now);
}

void ServingDaemon::logDelay(TimePoint now)
{
    const TimePoint last = std::exchange(m_lastTickAt, now);
    if (last == TimePoint() || now - last <= maxTickDelay)
        return;
    ++m_decisions["loop_delayed"];
    logLine(LogLevel::Warning, "loop_delayed",
            {{"for_ms", formatMilliseconds(now - last)},
             {"open_requests", std::to_string(m_requests.open())}});
}

Pulse ServingDaemon::nextPulse(TimePoint now)
{
    Pulse own;
    own.node = m_options.node;
    own.life = m_incarnation;
    own.number = ++m_pulseNumber;
    own.taking = m_ready && !m_stopping;
    own.settled = m_membership.isSettled(now);
    own.running = m_backends.ownRunning();
    own.demand = m_requests.demand(now);
    // A node without links suspects all servers.
    if (!m_requests.areLinksInDoubt())
        own.suspects = m_backends.suspects(now);
    own.recentProgress = m_backends.recentProgress(now);
    own.leaving = m_backends.recentlyLeaving(now);
    own.quarantine = m_requests.quarantineNews(now);
    own.limits = m_requests.limitNews(now);
    own.closedGroups = m_backends.recentlyClosed(now);
    own.cut = m_requests.isCut();
    own.writeRefused = m_storeWrites.isRefused();
    own.clock = now;
    own.held = m_mirror.held();
    own.era = m_store.era();
    own.newestVersion = m_requests.configurationVersion();
    return own;
}

void ServingDaemon::pulse(TimePoint now)
{
    m_lastPulseAt = now;
    m_pulseSocket->send(nextPulse(now), m_membership.ownZonePeers());
    m_requests.setNodes(m_membership.share(now));
    m_requests.setPeers(m_membership.servingPeers(now));
    m_requests.setLimitNodes(m_membership.limitNodes(now), m_incarnation, m_startedAt, now);
}

void ServingDaemon::probeLinks(TimePoint now)
{
    if (m_membership.isCut() != m_requests.isCut()) {
        m_membership.setCut(m_requests.isCut());
        pulse(now);
    }
    for (const VmId &server : m_requests.takeLinkProbes(now)) {
        HttpCall call = m_dialect.writeProbe({server, m_backends.find(server)->report.address});
        call.timeLimit = linkProbeTimeout;
        call.useNewConnection = true;
        ++m_linkProbes;
        HttpHooks hooks;
        hooks.onResponse = [this, now](const HttpResponse &) { m_requests.onLinkAnswered(now); };
        hooks.onFailure = [this, server](const HttpFailure &) {
            m_requests.onLinkFailed(server, m_loop.now());
        };
        m_http.send(call, std::move(hooks));
    }
}

void ServingDaemon::sendPermitMessages(TimePoint now)
{
    for (const auto &[node, message] : m_requests.takePermitMessages(now)) {
        if (const std::optional<Address> address = m_membership.peerAddress(node))
            m_pulseSocket->send(message, *address);
    }
}

void ServingDaemon::onPermitMessage(const PermitMessage &message)
{
    const TimePoint now = m_loop.now();
    const std::optional<Address> address = m_membership.peerAddress(message.from);
    if (!address)
        return;
    mergeLimits(message.limits, message.from, now);
    const PermitMessage reply = m_requests.onPermitMessage(message, now);
    if (!reply.empty())
        m_pulseSocket->send(reply, *address);
    if (!message.grants.empty())
        m_relay.tick(now);
}

void ServingDaemon::mergeLimits(const LimitNews &news, const NodeId &peer, TimePoint now)
{
    for (const LogDecision &note : m_requests.mergeLimits(news, peer, now)) {
        ++m_decisions[note.event];
        logLine(LogLevel::Info, note.event, {note.fields.begin(), note.fields.end()});
    }
}

void ServingDaemon::representZone(TimePoint now)
{
    m_lastDigestAt = now;
    if (!m_membership.isZoneRepresentative(now))
        return;
    m_pulseSocket->send(m_membership.digest(nextPulse(now), now),
                        m_membership.otherZoneRepresentatives(now));
    sendFeeds(now);
}

bool ServingDaemon::mustWatch(TimePoint now) const
{
    if (m_membership.isStoreWatcher(now) || m_newestPeerEra > m_store.era() || m_mirror.isUnfed())
        return true;
    const double share =
        m_membership.isZoneRepresentative(now) ? maxRepresentativeProofShare : maxProofShare;
    const auto changeTime =
        static_cast<double>(std::min(m_options.changeTime, maxChangeTime).count());
    return now - m_mirror.provenAt() > Duration(static_cast<Duration::rep>(share * changeTime));
}

void ServingDaemon::sendFeeds(TimePoint now)
{
    if (!m_mirror.complete() || !m_membership.isZoneRepresentative(now))
        return;
    for (const MembershipTable::FeedTarget &target :
         m_membership.feedTargets(mustWatch(now), now)) {
        if (target.era != m_store.era())
            continue; // Its revisions mean other changes.
        SentFeed &sent = m_lastFeeds[target.node];
        const bool recentlySent = now - sent.at < feedResendInterval;
        const Revision from = recentlySent ? std::max(sent.to, target.held) : target.held;
        const std::optional<Revision> to = sendFeed(target, from, now);
        // A notice is passed on at once, so that all nodes read the store at the same time.
        if (!to || m_mirror.isUnfed())
            m_pulseSocket->send(m_mirror.notice(), target.peer);
        if (to && *to > from)
            sent = {*to, now};
    }
}

std::optional<Revision> ServingDaemon::sendFeed(const MembershipTable::FeedTarget &target,
                                                Revision from, TimePoint now)
{
    for (const std::size_t maxBytes : {maxFeedBytes, maxUncompressibleFeedBytes}) {
        std::optional<StoreFeed> feed = m_mirror.feedSince(from, maxBytes, now);
        if (!feed)
            return std::nullopt; // The node is too far behind.
        feed->echo = target.clock;
        if (m_pulseSocket->send(*feed, target.peer))
            return feed->changes.empty() ? from : feed->to;
    }
    return std::nullopt;
}

void ServingDaemon::onFeed(const StoreFeed &feed)
{
    const TimePoint now = m_loop.now();
    const bool wasUnfed = m_mirror.isUnfed();
    m_mirror.take(feed, now);
    if (!wasUnfed && m_mirror.isUnfed())
        sendFeeds(now);
}

void ServingDaemon::onPeerStoreHeard(const NodeId &peer, StoreEra era, std::uint64_t version,
                                     TimePoint now)
{
    if (!m_membership.peerAddress(peer))
        return; // It has no record in the store.
    m_newestPeerEra = std::max(m_newestPeerEra, era);
    m_requests.onVersionHeard(version, now, now);
}

void ServingDaemon::onPulse(const Pulse &pulse)
{
    const TimePoint now = m_loop.now();
    if (!m_membership.onPulse(pulse, now))
        return;
    onPeerStoreHeard(pulse.node, pulse.era, pulse.newestVersion, now);
    checkRunningPeer(pulse.life, pulse.settled, now);
    m_backends.setPeerRunning(pulse.node, pulse.running);
    m_backends.mergeSuspects(pulse.suspects, now);
    m_backends.mergeRecentProgress(pulse.recentProgress, now);
    mergeLeaving(pulse.leaving, pulse.node, now);
    mergeClosedGroups(pulse.closedGroups, pulse.node, now);
    m_requests.mergeQuarantine(pulse.quarantine, now);
    mergeLimits(pulse.limits, pulse.node, now);
}

void ServingDaemon::onPeerVersion(const NodeId &peer, std::int32_t version)
{
    if (!m_membership.peerAddress(peer))
        return;
    const auto known = m_peerVersions.find(peer);
    const std::int32_t previous = known == m_peerVersions.end() ? formatVersion : known->second;
    m_peerVersions[peer] = version;
    if (version != previous)
        logLine(LogLevel::Info, "peer_version",
                {{"peer", peer.value()},
                 {"version", std::to_string(version)},
                 {"own_version", std::to_string(formatVersion)}});
}

void ServingDaemon::mergeLeaving(const LeavingRuns &runs, const NodeId &peer, TimePoint now)
{
    for (const auto &[server, startedAt] : m_backends.mergeLeaving(runs, now))
        logLine(LogLevel::Info, "server_leaving",
                {{"server", server.value()},
                 {"started", std::to_string(startedAt)},
                 {"peer", peer.value()}});
}

void ServingDaemon::mergeClosedGroups(const ClosedGroups &groups, const NodeId &peer, TimePoint now)
{
    for (const VmId &head : m_backends.mergeClosedGroups(groups, now))
        logLine(LogLevel::Info, "group_closed",
                {{"server", head.value()},
                 {"group", groups.at(head).name.value()},
                 {"peer", peer.value()}});
}

void ServingDaemon::onDigest(const ZoneDigest &digest)
{
    const TimePoint now = m_loop.now();
    if (!m_membership.onDigest(digest, now))
        return;
    onPeerStoreHeard(digest.node, digest.era, digest.newestVersion, now);
    checkRunningPeer(digest.life, false, now);
    m_backends.setPeerRunning(zoneCountsId(digest.zone), digest.running);
    m_backends.mergeSuspects(digest.suspects, now);
    m_backends.mergeRecentProgress(digest.recentProgress, now);
    mergeLeaving(digest.leaving, digest.node, now);
    mergeClosedGroups(digest.closedGroups, digest.node, now);
    m_requests.mergeQuarantine(digest.quarantine, now);
    mergeLimits(digest.limits, digest.node, now);
    TimePoint &relayedAt = m_relayedAt[digest.zone];
    const Duration interval =
        relayIntervalPerNode * static_cast<Duration::rep>(m_membership.zoneSize());
    if (digest.relayed || now - relayedAt < interval)
        return;
    relayedAt = now;
    ZoneDigest relayed = digest;
    relayed.relayed = true;
    m_pulseSocket->send(relayed, m_membership.ownZonePeers());
}

void ServingDaemon::checkRunningPeer(std::int64_t life, bool settled, TimePoint now)
{
    const bool isSettledSoon = settled && now - m_startedAt < settledPeerTime;
    if (isSettledSoon || m_incarnation - life >= minLifeDifference.count())
        m_requests.startPhase().onRunningPeer();
}

void ServingDaemon::updateStartPhase(TimePoint now)
{
    StartPhase &phase = m_requests.startPhase();
    if (phase.begunAt() == TimePoint() || (!m_isStartPhase && now > phase.begunAt()))
        return;
    const StartPeers peers = m_membership.startPeers(phase.begunAt(), now);
    phase.setPeers(peers);
    const bool isActive = phase.isActive(now);
    if (isActive == m_isStartPhase)
        return;
    m_isStartPhase = isActive;
    logLine(LogLevel::Info, isActive ? "start_phase_begun" : "start_phase_ended",
            {{"own_zone", std::to_string(peers.ownZone)},
             {"other_zones", std::to_string(peers.otherZones)},
             {"running_peer", phase.hasRunningPeer() ? "true" : "false"}});
}

void ServingDaemon::handleSilentPeers(TimePoint now)
{
    for (const NodeId &silent : m_membership.takeSilentNodes(now)) {
        m_backends.setPeerRunning(silent, {});
        logLine(LogLevel::Info, "node_silent", {{"peer", silent.value()}});
    }
    for (const ZoneId &silent : m_membership.takeSilentZones(now)) {
        m_backends.setPeerRunning(zoneCountsId(silent), {});
        logLine(LogLevel::Info, "zone_silent", {{"zone", silent.value()}});
    }
}

void ServingDaemon::renewLease(TimePoint now)
{
    if (m_leaseCallInProgress || m_stopping || !m_mirror.complete()
        || now - m_lastLeaseCallAt < leaseRenewInterval)
        return;
    m_lastLeaseCallAt = now;
    m_leaseCallInProgress = true;
    if (m_lease == 0) {
        m_store.grantLease(leaseDuration, [this](const StoreLease &lease) {
            m_leaseCallInProgress = false;
            onWriteAnswered(lease.ok);
            if (!lease.ok)
                return;
            m_lease = lease.id;
            writeRecord();
        });
        return;
    }
    m_store.keepLeaseAlive(m_lease, [this](const StoreLease &lease) {
        m_leaseCallInProgress = false;
        onWriteAnswered(lease.ok);
        if (lease.ok && lease.timeToLive <= Duration(0)) {
            logLine(LogLevel::Warning, "lease_lost", {{"lease", std::to_string(m_lease)}});
            m_lease = 0;
            m_recordStored = false;
            m_lastLeaseCallAt = TimePoint();
        } else if (lease.ok && !m_recordStored) {
            writeRecord();
        }
    });
}

void ServingDaemon::onWriteAnswered(bool accepted)
{
    if (accepted)
        m_storeWrites.onAccepted(m_loop.now());
    else
        m_storeWrites.onFailed(m_loop.now());
}

void ServingDaemon::checkStoreWrites(TimePoint now)
{
    if (m_storeWrites.mustCheck(now))
        m_lastLeaseCallAt = TimePoint(); // A renewal is the cheapest call.
    m_membership.setWriteRefused(m_storeWrites.isRefused());
    if (m_storeWrites.isRefused() == m_writesRefused)
        return;
    m_writesRefused = m_storeWrites.isRefused();
    logLine(m_writesRefused ? LogLevel::Warning : LogLevel::Info,
            m_writesRefused ? "store_writes_refused" : "store_writes_accepted",
            {{"owned_domains", std::to_string(m_formation.owned())}});
}

void ServingDaemon::writeRecord()
{
    const MembershipRecord record {m_options.node,  m_options.zone,  m_options.front,
                                   m_options.pulse, m_options.cores, m_forwardKey};
    const std::string text = serializeMembershipRecord(
        record, m_incarnation, {m_store.era(), m_requests.configurationVersion()});
    // The record of the previous run of this node may still exist under that run's lease, so the
    // write expects the revision last seen.
    m_store.compareAndSwap(m_dialect.ownPrefix + nodesKeyPrefix + m_options.node.value(),
                           m_recordRevision, text, m_lease, [this](const StoreSwapResult &swap) {
                               m_recordStored = swap.outcome == StoreSwapOutcome::Written;
                               onWriteAnswered(m_recordStored
                                               || swap.outcome == StoreSwapOutcome::Conflict);
                           });
}

void ServingDaemon::runFormation(TimePoint now)
{
    if (!m_mirror.complete() || m_stopping || !m_formation.isDue(now))
        return;
    m_formation.setNodes(m_membership.dutyNodes(now));
    m_formation.setStoreView(m_mirror.held(), m_mirror.provenAt());
    std::map<ModelId, double> demand = m_membership.demand(now);
    for (const auto &[model, slots] : m_requests.demand(now))
        demand[model] += slots;
    m_formation.setDemand(demand, now);
    if (m_requests.hasArrivals())
        m_formation.onTrafficStarted();
    FormationActions actions;
    m_formation.tick(now, actions);
    for (const FormationAction &action : actions)
        std::visit([this](const auto &item) { perform(item); }, action);
}

void ServingDaemon::perform(const SendGroupOrder &order)
{
    HttpCall call = m_dialect.writeOrder(order);
    call.timeLimit = orderTimeout;
    const auto done = [this, vm = order.vm](GroupOrderOutcome outcome) {
        FormationActions actions;
        m_formation.onOrderDone({vm, outcome}, m_loop.now(), actions);
        for (const FormationAction &action : actions)
            std::visit([this](const auto &item) { perform(item); }, action);
    };
    HttpHooks hooks;
    hooks.onResponse = [this, done](const HttpResponse &response) {
        done(m_dialect.readOrderStatus(response.status));
    };
    hooks.onFailure = [done](const HttpFailure &) { done(GroupOrderOutcome::Unknown); };
    m_http.send(call, std::move(hooks));
}

void ServingDaemon::perform(const ProbeMember &probe)
{
    HttpCall call = m_dialect.writeProbe(probe);
    call.timeLimit = probeTimeout;
    HttpHooks hooks;
    hooks.onResponse = [this, vm = probe.vm](const HttpResponse &response) {
        m_formation.onMemberProbed({vm, response.status == ok}, m_loop.now());
    };
    hooks.onFailure = [this, vm = probe.vm](const HttpFailure &) {
        m_requests.onLinkFailed(vm, m_loop.now());
        m_formation.onMemberProbed({vm, false, !m_requests.areLinksInDoubt()}, m_loop.now());
    };
    m_http.send(call, std::move(hooks));
}

void ServingDaemon::perform(const WritePlan &write)
{
    std::vector<StoreWrite> writes {
        {planKey(write.domain), write.expected, serializePlan(write.plan)}};
    if (write.expectedConversion)
        writes.push_back(
            {m_dialect.ownPrefix + conversionKey, *write.expectedConversion, write.conversion});
    m_storeWrites.onSent(m_loop.now());
    m_store.writeAll(writes, [this, write](const StoreSwapResult &swap) {
        const bool written = swap.outcome == StoreSwapOutcome::Written;
        onWriteAnswered(written || swap.outcome == StoreSwapOutcome::Conflict);
        m_formation.onPlanWritten(write.domain, write.plan, written ? swap.revision : Revision());
        logLine(LogLevel::Info, "plan_written",
                {{"domain", write.domain.value()},
                 {"written", written ? "true" : "false"},
                 {"converts", write.expectedConversion ? "true" : "false"},
                 {"expected", std::to_string(write.expected.value())}});
    });
}

void ServingDaemon::perform(const LogFormation &note)
{
    ++m_decisions[note.event];
    logLine(LogLevel::Info, note.event, {note.fields.begin(), note.fields.end()});
}

std::string ServingDaemon::planKey(const DomainId &domain) const
{
    return m_dialect.ownPrefix + formationKeyPrefix + domain.value();
}

bool ServingDaemon::isReady(TimePoint now) const
{
    return !m_stopping && m_mirror.complete() && m_requests.isFollowingStore(now);
}

void ServingDaemon::updateReadiness(TimePoint now)
{
    const bool ready = isReady(now);
    if (ready == m_ready)
        return;
    m_ready = ready;
    m_membership.setAccepting(ready);
    if (ready && m_options.requests.assumesPeersAtStart
        && m_options.requests.lateRequests == LateRequests::Refuse)
        m_requests.startPhase().begin(now);
    logLine(LogLevel::Info, ready ? "ready" : "not_ready", {});
    pulse(now);
}

void ServingDaemon::onAdminRequest(const HttpRequest &request)
{
    const TimePoint now = m_loop.now();
    const auto reply = [&](int status, const std::string &type, const std::string &body) {
        m_adminServer.reply(request.exchange, status, type, body);
    };
    if (request.path == m_dialect.readyPath) {
        const bool ready = isReady(now);
        reply(ready ? ok : unavailable, "text/plain", ready ? "ready" : "not ready");
    } else if (request.path == m_dialect.directoryPath) {
        const ZoneId zone = m_dialect.readDirectoryQuery(request.query);
        const std::vector<Address> entryAddresses =
            m_membership.entryAddresses(zone, minEntries, now);
        if (entryAddresses.empty())
            reply(unavailable, "text/plain", "no entry is known");
        else
            reply(ok, "application/json",
                  m_dialect.writeDirectory(entryAddresses, m_options.entryCacheTime));
    } else if (request.path == m_dialect.metricsPath) {
        reply(ok, "text/plain; version=0.0.4", metricsText());
    } else {
        reply(notFound, "text/plain", "unknown path");
    }
}

std::string ServingDaemon::metricsText() const
{
    std::ostringstream out;
    for (const auto &[event, count] : m_decisions)
        out << "bramleypitch_decisions_total{kind=\"" << event << "\"} " << count << "\n";
    const PermitCounts &permits = m_requests.permitCounts();
    for (const auto &[kind, count] :
         {std::pair("own", permits.own), std::pair("borrowed", permits.borrowed),
          std::pair("lent", permits.lent), std::pair("returned", permits.returned)})
        out << "bramleypitch_permits_total{kind=\"" << kind << "\"} " << count << "\n";
    std::map<std::int32_t, std::size_t> peersByVersion;
    for (const auto &[peer, version] : m_peerVersions)
        ++peersByVersion[version];
    for (const auto &[version, count] : peersByVersion)
        out << "bramleypitch_peers{version=\"" << version << "\"} " << count << "\n";
    out << gaugeText({"unreadable_datagrams", "Messages of other nodes that were not understood.",
                      static_cast<double>(m_pulseSocket->malformedDatagrams())});
    out << gaugeText(
        {"open_requests", "Requests not answered yet.", static_cast<double>(m_requests.open())});
    out << gaugeText({"waiting_requests", "Requests that wait for a server.",
                      static_cast<double>(m_requests.waiting())});
    const LateFigures late = m_requests.lateFigures();
    out << gaugeText({"waiting_late_requests",
                      "Requests that wait for a server and are late, or are expected to be.",
                      static_cast<double>(late.waiting)});
    out << gaugeText({"served_late_requests", "Requests sent to a server late, since the start.",
                      static_cast<double>(late.served)});
    for (const auto &[cause, count] : late.givenUp)
        out << "bramleypitch_given_up_requests_total{cause=\"" << giveUpCauseName(cause) << "\"} "
            << count << "\n";
    out << gaugeText({"backend_servers", "Servers known.", static_cast<double>(m_backends.size())});
    out << gaugeText({"store_writes_refused",
                      "1 while the store does not accept this node's writes.",
                      m_writesRefused ? 1.0 : 0.0});
    out << gaugeText({"domains_without_writer",
                      "Owned domains of which no node can write the plan, as far as is known.",
                      m_writesRefused ? static_cast<double>(m_formation.owned()) : 0.0});
    out << gaugeText({"start_phase",
                      "1 while this node assumes that the others fill empty servers like it.",
                      m_isStartPhase ? 1.0 : 0.0});
    out << gaugeText({"closed_groups", "Groups that their heads have refused to serve.",
                      static_cast<double>(m_backends.closedGroups())});
    out << gaugeText({"quarantined_parts", "Parts of prompts that no request may contain.",
                      static_cast<double>(m_requests.quarantinedParts())});
    out << gaugeText({"suspected_requests", "Whole requests that are tried, one at a time.",
                      static_cast<double>(m_requests.suspectedRequests())});
    out << gaugeText(
        {"cut_off", "1 while this node reaches no server.", m_requests.isCut() ? 1.0 : 0.0});
    out << gaugeText({"link_probes", "Connections opened to find out whether servers are reached.",
                      static_cast<double>(m_linkProbes)});
    out << gaugeText({"limited_servers", "Servers that have named a limit on their request rate.",
                      static_cast<double>(m_requests.limitedServers(m_loop.now()))});
    out << gaugeText({"change_log_bytes", "Changes of the store that are kept for other nodes.",
                      static_cast<double>(m_mirror.loggedBytes())});
    out << gaugeText({"unfed", "1 while no other node can send this one the changes of the store.",
                      m_mirror.isUnfed() ? 1.0 : 0.0});
    out << gaugeText({"store_era", "Newest era of the store that was seen.",
                      static_cast<double>(m_store.era().value())});
    out << gaugeText({"configuration_superseded",
                      "1 while another node knows of a newer configuration.",
                      m_requests.isSuperseded(m_loop.now()) ? 1.0 : 0.0});
    const ServingConfigurationPtr &configuration = m_requests.configuration();
    out << gaugeText({"configuration_unreadable_items",
                      "Items of the configuration in force that grant nothing.",
                      static_cast<double>(configuration ? configuration->unreadableItems : 0)});
    out << gaugeText({"configuration_unreadable",
                      "1 while the store holds a configuration that cannot be read.",
                      m_requests.isConfigurationUnreadable() ? 1.0 : 0.0});
    out << gaugeText({"store_era_changes", "Times that the store came back from an older copy.",
                      static_cast<double>(m_eraChanges)});
    out << gaugeText({"store_answers_dropped", "Answers of the store that belonged to another era.",
                      static_cast<double>(m_store.droppedAnswers())});
    out << gaugeText({"owned_domains", "Fabric domains that this node forms groups in.",
                      static_cast<double>(m_formation.owned())});
    for (const ModelSplit &model : m_formation.split()) {
        for (const auto &[kind, groups] :
             {std::pair("present", model.present), std::pair("wanted", model.wanted)})
            out << "bramleypitch_model_groups{model=\"" << model.model.value() << "\",kind=\""
                << kind << "\"} " << groups << "\n";
    }
    out << gaugeText({"backend_connections_opened", "Connections opened since the start.",
                      static_cast<double>(m_relay.connectionsOpened())});
    const MemoryAccount &account = m_relay.account();
    for (std::size_t kind = 0; kind < heldKinds; ++kind)
        out << "bramleypitch_held_bytes{kind=\"" << heldKindName(static_cast<HeldKind>(kind))
            << "\"} " << account.held(static_cast<HeldKind>(kind)) << "\n";
    out << gaugeText({"held_bytes_peak", "Most bytes of callers and servers held at any time.",
                      static_cast<double>(account.peak())});
    out << gaugeText({"held_bytes_servers", "Servers of which bytes are held.",
                      static_cast<double>(account.servers())});
    writeSlowReaders(out);
    out << gaugeText({"log_lines_dropped", "Log lines dropped as the reader was too slow.",
                      static_cast<double>(droppedLogLines())});
    out << gaugeText({"callback_failures", "Exceptions that reached the event loop: faults.",
                      static_cast<double>(callbackFailures())});
    out << m_firstEventTimes.text("first_event_ms", "From arrival to the first event of a stream.");
    out << m_responseTimes.text("answer_ms", "From arrival to the end of the answer.");
    return out.str();
}

void ServingDaemon::writeSlowReaders(std::ostream &out) const
{
    if (!m_options.boundsSlowReaders)
        return;
    std::size_t most = 0;
    const std::vector<SlowCaller> callers = m_relay.callers().slowCallers();
    for (const SlowCaller &caller : callers)
        most = std::max(most, caller.unsent);
    std::uint64_t tokens = 0;
    std::size_t unsent = 0;
    m_backends.forEach([&](BackendIndex, const Backend &backend) {
        unsent = std::max(unsent, backend.ownUnsentBytes);
        const ServingConfigurationPtr &configuration = m_requests.configuration();
        const EngineSpec *engine =
            configuration ? configuration->engineOf(backend.report.service) : nullptr;
        if (engine)
            tokens = std::max(tokens, heldTokens(backend, *engine));
    });
    out << gaugeText({"slow_callers", "Callers for which bytes of responses wait.",
                      static_cast<double>(callers.size())});
    out << gaugeText({"slow_caller_bytes_max", "Bytes that wait for one of them, at most.",
                      static_cast<double>(most)});
    out << gaugeText({"group_tokens_max", "Tokens that a group holds, at most, as estimated.",
                      static_cast<double>(tokens)});
    out << gaugeText({"server_unsent_bytes_max",
                      "Bytes of bodies that wait to be written to one server, at most.",
                      static_cast<double>(unsent)});
    for (const auto &[cause, count] : m_relay.givenUp())
        out << "bramleypitch_given_up_total{cause=\"" << cause << "\"} " << count << "\n";
}

void ServingDaemon::finishStop(TimePoint now)
{
    if (now - m_stopAt >= minDrainTime && m_requests.open() == 0) {
        m_relay.callers().stopListening();
        if (m_relay.callers().open() == 0 && m_relay.callers().lingering() == 0) {
            endProcess(LogLevel::Info, "all_closed", now);
            return;
        }
    }
    if (now >= m_stopEndsAt)
        endProcess(LogLevel::Warning, "stop_time_over", now);
}

void ServingDaemon::endProcess(LogLevel level, const char *cause, TimePoint now)
{
    logLine(level, "stopped",
            {{"cause", cause},
             {"after_ms", formatMilliseconds(now - m_stopAt)},
             {"open_requests", std::to_string(m_requests.open())},
             {"open_connections", std::to_string(m_relay.callers().open())}});
    flushLog();
    m_loop.stop();
}

} // namespace bramleypitch
