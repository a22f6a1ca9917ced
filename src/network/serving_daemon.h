#pragma once

#include "formation/formation_system.h"
#include "network/http_client.h"
#include "network/log.h"
#include "network/membership_record.h"
#include "network/metrics.h"
#include "network/pulse_socket.h"
#include "network/quarantine_store.h"
#include "network/relay.h"
#include "network/store_era_guard.h"
#include "network/store_mirror.h"
#include "network/store_write_monitor.h"
#include "request/membership_base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bramleypitch {

/// Identity, addresses and limits of a serving node.
struct ServingOptions
{
    NodeId node;
    ZoneId zone;
    Address front; ///< Listens for callers' requests.
    Address ready; ///< Serves the readiness check.
    Address directory; ///< Serves the list of entry addresses that callers should use.
    Address pulse; ///< Receives pulses, digests and feeds of other nodes (UDP).
    std::optional<Address> metrics; ///< Serves the metrics page, if set.
    bool firstStart = false; ///< The system is started for the first time.
    double cores = 0; ///< Processor share of this node, in cores. 0 if it is not known.
    Duration changeTime {2'000}; ///< Within which changes of the store have to take effect.
    Duration stopTime {8'000}; ///< From SIGTERM until the process is killed.
    /// Limit on the sum of the bodies of requests that are received or answered, in bytes.
    std::size_t maxBodyMemory = 32 * 1024 * 1024;
    /// Limit on the bytes of responses that are held, in bytes.
    std::size_t maxResponseMemory = 32 * 1024 * 1024;
    /// Whether what is held for slow callers, and what is sent to servers at once, is bounded by
    /// caller, server and memory of the servers.
    bool boundsSlowReaders = false;
    Duration entryCacheTime {2'000}; ///< How long callers may cache the list of entry addresses.
    RequestOptions requests;
    FormationOptions formation;
};

/// Names of the store's keys and the formats of their values, of group orders, probes and the
/// directory. It makes no decisions.
struct ServingDialect
{
    std::string configurationKey;
    std::string serverPrefix; ///< Prefix of the keys of servers, followed by a server's id.
    std::string zoneOutPrefix; ///< Prefix of the keys that withdraw a zone, followed by its name.
    std::string ownPrefix; ///< Prefix of the keys written by this software itself.
    /// Parses the configuration, in which it notes items that cannot be read. Throws
    /// Failure(PlatformProtocol), naming the field, if all of it cannot be read.
    std::function<ServingConfiguration(const std::string &)> readConfiguration;
    /// Parses the entry of a server. Throws like readConfiguration.
    std::function<BackendReport(const VmId &, const std::string &)> readServer;
    std::function<HttpCall(const SendGroupOrder &)> writeOrder;
    std::function<GroupOrderOutcome(int status)> readOrderStatus;
    std::function<HttpCall(const ProbeMember &)> writeProbe;
    std::string readyPath;
    std::string directoryPath;
    std::function<ZoneId(const std::string &query)> readDirectoryQuery;
    std::function<std::string(const std::vector<Address> &, Duration retention)> writeDirectory;
    std::string metricsPath;
    RelayDialect relay;
};

/// The serving process: connects the request system, group formation, membership and the mirror of
/// the store to the event loop and the network. All decisions are made by those components.
class ServingDaemon
{
public:
    ServingDaemon(EventLoop &loop, ServingOptions options, ServingDialect dialect,
                  StoreClient &store, HttpClient &http);

    /// Opens the sockets and starts serving. Throws Failure(AddressUnavailable) if an address
    /// cannot be bound; the object has to be destroyed then.
    void start();
    /// Starts a graceful shutdown. The event loop is stopped once all requests have ended, or
    /// shortly before the stop time runs out. Neither a second call nor a reload changes that time.
    void stop();
    /// Applies the settings that can change at run time.
    void reload(const ServingOptions &options);

private:
    MirrorHooks mirrorHooks();
    RelayHooks relayHooks();
    /// The store has come back from an older copy, or its era is first known.
    void onStoreEra(StoreEra previous, StoreEra era);
    void onStoreChange(const StoreChange &change);
    /// Whether a change that stems from an older copy of the store is put off, as its writer may
    /// replace it.
    bool mayBeReplaced(const StoreChange &change) const;
    /// Acts on what the store's copy holds or lacks and nobody has replaced in time.
    void applyCopiedChanges(TimePoint now);
    void onServerChange(const VmId &id, const StoreChange &change);
    /// The entry of a server was removed or can no longer be read. `listing` is what that makes of
    /// a server that may still work.
    void onServerVanished(const VmId &id, Listing listing, TimePoint now);
    void onOwnKeyChange(const StoreChange &change);
    void onPlanChange(const DomainId &domain, const StoreChange &change);
    void onNodeVersionRead(const NodeVersion &version);
    /// Another node has told the era of the store and the version of the configuration that it has.
    void onPeerStoreHeard(const NodeId &peer, StoreEra era, std::uint64_t version, TimePoint now);
    void onConfigurationChange(const StoreChange &change);
    /// Acts on the changes of the store after a batch of them was reported.
    void settled();
    /// Removes servers whose entries did not reappear in time.
    void removeVanishedServers(TimePoint now);
    void tick();
    /// Logs that the last tick was long ago.
    void logDelay(TimePoint now);
    /// The status message of this node, with the next sequence number.
    Pulse nextPulse(TimePoint now);
    /// Sends this node's pulse to its zone.
    void pulse(TimePoint now);
    /// Sends the digest of the zone to other zones, and feeds, if this node represents its zone.
    void representZone(TimePoint now);
    /// Sends the changes of the store to the nodes to which this node forwards them.
    void sendFeeds(TimePoint now);
    /// Sends the changes above a revision to a node. Returns the revision up to which it has been
    /// sent changes, or nothing if they are too many or too long for a message.
    std::optional<Revision> sendFeed(const MembershipTable::FeedTarget &target, Revision from,
                                     TimePoint now);
    /// Another node has sent changes of the store, or that it cannot send them.
    void onFeed(const StoreFeed &feed);
    void onPulse(const Pulse &pulse);
    void onDigest(const ZoneDigest &digest);
    /// Adopts the servers that a peer reports as leaving.
    void mergeLeaving(const LeavingRuns &runs, const NodeId &peer, TimePoint now);
    /// Adopts and logs the groups that a peer reports as closed.
    void mergeClosedGroups(const ClosedGroups &groups, const NodeId &peer, TimePoint now);
    void onPermitMessage(const PermitMessage &message);
    /// Notes the format version of a node, and logs it if it changes or differs from this node's.
    void onPeerVersion(const NodeId &peer, std::int32_t version);
    /// Opens connections to servers if this node may have lost its links to them.
    void probeLinks(TimePoint now);
    /// Sends what this node asks of other nodes for servers with a limit.
    void sendPermitMessages(TimePoint now);
    /// Adopts and logs what another node knows of the limits of servers.
    void mergeLimits(const LimitNews &news, const NodeId &peer, TimePoint now);
    /// Drops the request counts of nodes and zones that have become silent.
    void handleSilentPeers(TimePoint now);
    /// Tells the requests which other nodes take requests while all start, and logs the phase.
    void updateStartPhase(TimePoint now);
    /// Another node shows that it has been running for longer than this one.
    void checkRunningPeer(std::int64_t life, bool settled, TimePoint now);
    /// Whether this node has to watch the store itself: either because it is the one that watches
    /// on behalf of the others, or because the feeds that it receives have become too old.
    bool mustWatch(TimePoint now) const;
    /// Grants or renews the lease of this node's record.
    void renewLease(TimePoint now);
    /// Notes whether the store accepted a write of this node.
    void onWriteAnswered(bool accepted);
    /// Finds out whether the store accepts the writes of this node if that is in doubt, and tells
    /// the change.
    void checkStoreWrites(TimePoint now);
    /// Writes this node's record to the store.
    void writeRecord();
    /// Runs the group formation if it is due.
    void runFormation(TimePoint now);
    void perform(const SendGroupOrder &order);
    void perform(const ProbeMember &probe);
    void perform(const WritePlan &write);
    void perform(const LogFormation &note);
    bool isReady(TimePoint now) const;
    void updateReadiness(TimePoint now);
    /// Answers requests for readiness, the directory and metrics.
    void onAdminRequest(const HttpRequest &request);
    /// Ends the process once a shutdown is complete or its time limit is reached.
    void finishStop(TimePoint now);
    /// Ends the process for the given cause.
    void endProcess(LogLevel level, const char *cause, TimePoint now);
    std::string metricsText() const;
    /// Writes the metrics of slow callers and servers.
    void writeSlowReaders(std::ostream &out) const;
    std::string planKey(const DomainId &domain) const;

    EventLoop &m_loop;
    ServingOptions m_options;
    ServingDialect m_dialect;
    StoreEraGuard m_store;
    HttpClient &m_http;
    TimePoint m_startedAt;
    BackendTable m_backends;
    RequestSystem m_requests;
    FormationSystem m_formation;
    MembershipTable m_membership;
    Relay m_relay;
    StoreMirror m_mirror;
    QuarantineStore m_quarantineStore;
    HttpServer m_adminServer; ///< Readiness, directory and metrics.
    std::unique_ptr<PulseSocket> m_pulseSocket; ///< Null until start().
    Timer m_tickTimer;
    std::set<ZoneId> m_zonesOut; ///< Zones that take no new work.
    /// A server whose entry was deleted from the store although it may still be running.
    struct VanishedServer
    {
        TimePoint at;
        Duration retention; ///< Time after which the server is removed.
        TimePoint servedUntil; ///< A lapsed server is sent no requests from then on.
    };
    std::map<VmId, VanishedServer> m_vanishedServers; ///< Servers whose entries may reappear.
    std::int64_t m_incarnation = 0; ///< Start time, which identifies this run of the process.
    std::string m_forwardKey; ///< Shown by nodes that pass requests on to this run of the process.
    std::int64_t m_pulseNumber = 0;
    std::map<NodeId, std::int32_t> m_peerVersions; ///< Format versions of nodes with a record.
    TimePoint m_lastPulseAt;
    TimePoint m_lastEarlyPulseAt; ///< Sent for new evidence.
    TimePoint m_lastDigestAt;
    std::map<ZoneId, TimePoint> m_relayedAt; ///< When a digest of another zone was last relayed.
    /// The last feed with changes sent to a node.
    struct SentFeed
    {
        Revision to;
        TimePoint at;
    };
    std::map<NodeId, SentFeed> m_lastFeeds;
    StoreWriteMonitor m_storeWrites;
    bool m_writesRefused = false; ///< As last logged.
    Revision m_recordRevision; ///< Of this node's record in the store; 0 if there is none.
    TimePoint m_lastSweepAt;
    TimePoint m_lastTickAt;
    std::int64_t m_lease = 0; ///< 0 if this node holds no lease.
    bool m_recordStored = false; ///< This node's record is stored under the lease.
    bool m_leaseCallInProgress = false; ///< A call for the lease is in progress.
    TimePoint m_lastLeaseCallAt; ///< Time of the last call for the lease.
    std::uint64_t m_linkProbes = 0;
    bool m_ready = false;
    bool m_isStartPhase = false; ///< As last logged.
    bool m_stopping = false;
    TimePoint m_stopAt;
    TimePoint m_stopEndsAt; ///< The process ends then at the latest.
    /// A change that stems from an older copy of the store, and when it was read.
    struct CopiedChange
    {
        StoreChange change;
        TimePoint at;
    };
    std::map<std::string, CopiedChange> m_copiedChanges; ///< By key; those put off.
    StoreEra m_newestPeerEra; ///< That another node has seen.
    std::uint64_t m_eraChanges = 0; ///< How often the store has come back from an older copy.
    std::uint64_t m_handledTableVersion = 0; ///< Of m_backends when it was last acted on.
    Distribution m_firstEventTimes;
    Distribution m_responseTimes;
    std::map<std::string, std::uint64_t> m_decisions; ///< Number of decisions by kind.
};

} // namespace bramleypitch
