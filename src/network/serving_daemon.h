#pragma once

#include "formation/formation_system.h"
#include "network/http_client.h"
#include "network/metrics.h"
#include "network/pulse_socket.h"
#include "network/relay.h"
#include "network/store_mirror.h"
#include "request/presence_base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bramleypitch {

/// Where a serving node stands and listens, and the bounds it was given.
struct ServingOptions
{
    NodeId node;
    ZoneId zone;
    Address front; ///< For callers' requests.
    Address ready; ///< For "is this node ready".
    Address directory; ///< For "which addresses are to be used".
    Address pulse; ///< For other nodes' pulses.
    std::optional<Address> metrics;
    bool firstStart = false;
    Duration stopTime {8'000}; ///< From SIGTERM until the process is ended by force.
    Duration entryKeep {2'000}; ///< How long callers keep the list of entries.
    RequestOptions requests;
    FormationOptions formation;
};

/// The keys of the store and how their values, orders and the directory are written: names and
/// formats. It decides nothing.
struct ServingDialect
{
    std::string configurationKey;
    std::string serverPrefix; ///< Followed by a server's id.
    std::string zoneOutPrefix; ///< Followed by a zone's name.
    std::string ownPrefix; ///< Of this system's own keys.
    /// Both throw Failure(PlatformProtocol) with the field for what cannot be read.
    std::function<ServingConfiguration(const std::string &)> readConfiguration;
    std::function<BackendReport(const VmId &, const std::string &)> readServer;
    std::function<HttpCall(const SendGroupOrder &)> writeOrder;
    std::function<GroupOrderOutcome(int status)> readOrderStatus;
    std::function<HttpCall(const ProbeMember &)> writeProbe;
    std::string readyPath;
    std::string directoryPath;
    std::function<ZoneId(const std::string &query)> readDirectoryQuery;
    std::function<std::string(const std::vector<Address> &, Duration keep)> writeDirectory;
    std::string metricsPath;
    RelayDialect relay;
};

/// One serving process: ties request system, formation, presence and the mirror of the store to
/// the event loop. Decisions are those of the parts.
class ServingDaemon
{
public:
    ServingDaemon(EventLoop &loop, ServingOptions options, ServingDialect dialect,
                  StoreClient &store, HttpClient &http);

    /// Opens the sockets and begins. Throws Failure if an address cannot be bound.
    void start();
    /// Begins the planned stop; the loop is stopped once every request has ended.
    void stop();
    /// Settings were read again.
    void reload(const ServingOptions &options);

private:
    MirrorHooks mirrorHooks();
    RelayHooks relayHooks();
    void storeChanged(const StoreChange &change);
    void serverChanged(const VmId &id, const StoreChange &change);
    void ownKeyChanged(const StoreChange &change);
    void configurationChanged(const StoreChange &change);
    void settled();
    void dropVanished(TimePoint now);
    void tick();
    void pulse(TimePoint now);
    void feedPeers(TimePoint now);
    void pulseCame(const Pulse &pulse);
    void digestCame(const ZoneDigest &digest);
    void noteSilence(TimePoint now);
    /// Whether this node watches the store: as the one that does for all, or as what it is fed has
    /// become too old.
    bool mustWatch(TimePoint now) const;
    void renewLease(TimePoint now);
    void writeRecord();
    void form(TimePoint now);
    void perform(const SendGroupOrder &order);
    void perform(const ProbeMember &probe);
    void perform(const WritePlan &write);
    void perform(const NoteFormation &note);
    bool isReady(TimePoint now) const;
    void noteReadiness(TimePoint now);
    void sideRequest(const HttpRequest &request);
    void finishStop(TimePoint now);
    std::string metricsText() const;
    std::string planKey(const DomainId &domain) const;

    EventLoop &m_loop;
    ServingOptions m_options;
    ServingDialect m_dialect;
    StoreClient &m_store;
    HttpClient &m_http;
    TimePoint m_startedAt;
    BackendTable m_backends;
    RequestSystem m_requests;
    FormationSystem m_formation;
    PresenceTable m_presence;
    Relay m_relay;
    StoreMirror m_mirror;
    HttpServer m_sideServer; ///< Readiness, directory and metrics.
    std::unique_ptr<PulseSocket> m_pulses;
    Timer m_ticker;
    std::set<ZoneId> m_zonesOut;
    /// A server whose entry vanished and that may still be there.
    struct Vanished
    {
        TimePoint at;
        Duration keep; ///< After which it counts as gone.
    };
    std::map<VmId, Vanished> m_vanished;
    std::int64_t m_life = 0;
    std::int64_t m_pulseNumber = 0;
    TimePoint m_pulsedAt;
    TimePoint m_digestAt;
    struct SentFeed
    {
        Revision to;
        TimePoint at;
    };
    std::map<NodeId, SentFeed> m_sentFeeds;
    Revision m_recordRevision; ///< Of the own record in the store; 0 if there is none.
    TimePoint m_sweptAt;
    std::int64_t m_lease = 0;
    bool m_recorded = false; ///< The own record stands under the lease.
    bool m_leaseBusy = false;
    TimePoint m_leaseAt;
    bool m_ready = false;
    bool m_stopping = false;
    TimePoint m_stopAt;
    std::uint64_t m_tableVersion = 0;
    Distribution m_firstEvent;
    Distribution m_answered;
    std::map<std::string, std::uint64_t> m_decisions; ///< Counts by kind of decision.
};

} // namespace bramleypitch
