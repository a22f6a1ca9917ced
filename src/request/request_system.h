#pragma once

#include "request/backend_base.h"
#include "request/configuration_proof.h"
#include "request/quarantine_base.h"
#include "request/queue_admission.h"
#include "request/queue_order.h"
#include "request/request_type.h"
#include "request/retry_allowance.h"
#include "request/run_grant.h"
#include "request/server_limit_base.h"
#include "request/server_links.h"
#include "request/server_permit_base.h"
#include "request/server_priority.h"
#include "request/start_phase.h"
#include "request/target_choice.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace bramleypitch {

/// Timeouts and limits of the request system.
struct RequestOptions
{
    NodeId node;
    ZoneId zone; ///< Zone of this node.
    RetryLimits retries;
    /// API keys are only accepted if the configuration was confirmed as current within this time.
    Duration maxKeyProofAge {4'000};
    /// Unknown paths and API keys are only rejected as permanent errors if the configuration was
    /// confirmed as current within this time.
    Duration maxDenialProofAge {1'900};
    bool failClosed = true; ///< Whether API keys are refused without a recent confirmation.
    Duration failureSuspicionTime {
        1'000}; ///< How long a server is suspected after a failed request.
    /// How long a server is suspected after a stream stalled or no connection was accepted. The
    /// entry of a dead server expires within this time.
    Duration silenceSuspicionTime {4'000};
    /// A stream is resumed on another server after this time without an event. Engine passes take
    /// at most 0.3 s.
    Duration streamStallTimeout {600};
    /// The same before the first event of a stream. Leaves time for a pass of the requests ahead of
    /// it and a pass for its own prompt.
    Duration firstEventTimeout {1'200};
    Duration defaultRetryAfter {
        1'000}; ///< Retry-After for callers if no server can take the request.
    /// An attempt is only sent if at least this time is left before the deadline. With less time a
    /// server cannot produce a useful response, so the attempt would be wasted.
    Duration minTimeLeft {30};
    /// Whether a server is sent only what its memory can hold: tokens of prompts and completions,
    /// and bytes of bodies that wait to be written to it.
    bool boundsServerMemory = false;
    /// Bytes of bodies that may wait to be written to one server, if it reads slowly.
    std::size_t maxUnsentPerServer = 8 * 1024 * 1024;
    LateRequests lateRequests = LateRequests::ByPriority;
    /// Whether a node that starts together with the others assumes requests of theirs. Only used if
    /// late requests are refused: beside their admission, fewer requests were in time with it.
    bool assumesPeersAtStart = false;
};

/// Counts of requests that waited for a server longer than their latency target allows.
struct LateFigures
{
    std::size_t waiting = 0; ///< That wait now and are late or expected to be.
    std::uint64_t served = 0; ///< Sent to a server late, since the start.
    std::map<GiveUpCause, std::uint64_t> givenUp; ///< Refused while they waited, since the start.
};

/// Handles all requests of one node independently of the transport: arrival, queueing, attempts,
/// resumption on other servers, and response. It sees no payload, does no I/O and reads no clock.
class RequestSystem
{
public:
    RequestSystem(RequestOptions options, BackendTable &backends);

    /// Applies reloaded settings. The node and the zone must not change.
    void setOptions(RequestOptions options) { m_options = std::move(options); }
    /// Replaces the configuration in force.
    void setConfiguration(ServingConfigurationPtr configuration);
    /// Confirms that no newer configuration existed at the given time.
    void setConfigurationProof(TimePoint provenAt) { m_proof.onProof(provenAt); }
    /// The store holds a version of the configuration that cannot be read.
    void onConfigurationUnreadable() { m_proof.onUnreadable(); }
    /// The store holds the version that is in force again.
    void onConfigurationReadable() { m_proof.onReadable(); }
    bool isConfigurationUnreadable() const { return m_proof.isUnreadable(); }
    /// Another node has a configuration of this version in force, as it said at `heardAt`.
    void onVersionHeard(std::uint64_t version, TimePoint heardAt, TimePoint now)
    {
        m_proof.onVersionHeard(version, heardAt, now);
    }
    /// The store has come back from an older copy. What it lost is written again until `until`.
    void onOlderCopy(TimePoint until) { m_proof.onOlderCopy(until); }
    /// The version of the configuration in force; 0 if there is none.
    std::uint64_t configurationVersion() const
    {
        return m_configuration ? m_configuration->version : 0;
    }
    /// Whether another node has a newer configuration in force.
    bool isSuperseded(TimePoint now) const { return m_proof.isSuperseded(now); }
    /// Sets the zones that take no new requests.
    void setZonesOut(std::set<ZoneId> zones) { m_zonesOut = std::move(zones); }
    /// The node stops now. All requests end by the given deadline. Until `closedAt`, while callers
    /// cannot know of the stop, requests that may be repeated are still accepted if they have a
    /// later deadline of their own; they are ended then. All other such requests are refused at
    /// once, so that callers can turn to another node: how long a server takes is not known before
    /// it has answered.
    void startStop(TimePoint deadline, TimePoint closedAt, TimePoint now);
    /// Sets the number of nodes that share the limits of the servers, and the index of this node.
    void setNodes(NodeShare nodes) { m_nodes = nodes; }
    /// Sets the other nodes to which requests are passed on while this one reaches no server.
    void setPeers(std::vector<PeerNode> peers) { m_peers = std::move(peers); }
    /// What this node assumes of the others while all of them start.
    StartPhase &startPhase() { return m_startPhase; }
    const StartPhase &startPhase() const { return m_startPhase; }
    /// A connection to a server could not be opened, or had no answer.
    void onLinkFailed(const VmId &server, TimePoint now) { m_links.onFailed(server, now); }
    /// A server answered on a connection that was opened at the given time.
    void onLinkAnswered(TimePoint openedAt) { m_links.onAnswered(openedAt); }
    /// Servers to probe on new connections, as this node may have lost its links.
    std::vector<VmId> takeLinkProbes(TimePoint now)
    {
        return m_peers.empty() && !m_links.isCut() ? std::vector<VmId>() : m_links.takeProbes(now);
    }
    /// Whether this node reaches no server.
    bool isCut() const { return m_links.isCut(); }
    /// Whether that several servers do not answer may be the fault of this node's links.
    bool areLinksInDoubt() const { return m_links.isInDoubt(); }
    /// Sets the nodes among which the limits of servers are divided, including this one, and the
    /// run of this node, which started at `startedAt`.
    void setLimitNodes(std::vector<NodeId> nodes, std::int64_t life, TimePoint startedAt,
                       TimePoint now)
    {
        m_permits.setNodes(m_options.node, std::move(nodes), life, startedAt, now);
    }

    /// Accepts a new request and dispatches, queues or refuses it.
    void onRequestArrived(const RequestArrival &arrival, TimePoint now, RequestActions &actions);
    /// The caller disconnected. Ends the request and a running attempt.
    void onCallerDisconnected(RequestId request, TimePoint now, RequestActions &actions);
    /// The caller closed its writing side: it has either gone or only waits for the response.
    /// Returns whether the request goes on, as one does that may run only once and that a server
    /// runs or is about to. It is not sent again. Otherwise the caller counts as disconnected.
    bool onCallerInputEnded(RequestId request, TimePoint now);
    /// Whether an attempt that waited for its connection may be written now. Since it was chosen,
    /// its server may have announced that it leaves, asked for a pause, named a limit, started
    /// again, or stopped taking requests.
    bool mayStillSend(RequestId request, AttemptNumber attempt, TimePoint now);
    /// The first byte of the attempt is about to be written to the connection of its server.
    /// Returns whether it may be: an attempt that has ended may not, nor may that of a request
    /// which may run only once and may have run. Counts against the limit of the server.
    bool onWriting(RequestId request, AttemptNumber attempt, TimePoint now);
    /// All of the attempt's request was passed to the network, so that nothing of it waits for its
    /// server any more.
    void onRequestSent(RequestId request, AttemptNumber attempt);
    /// The head of a response to the attempt was received. A server that leaves or asks for a pause
    /// gets no further requests, or none until the pause ends.
    void onServerNotice(RequestId request, AttemptNumber attempt, const ServerNotice &notice,
                        TimePoint now, RequestActions &actions);
    /// A part of the response to the attempt that can be forwarded was received. Other open
    /// attempts of the request are ended.
    void onAnswering(RequestId request, AttemptNumber attempt, TimePoint now,
                     RequestActions &actions);
    /// The response header of a successful stream was forwarded. From here on the response has
    /// begun.
    void onStreamStarted(RequestId request, AttemptNumber attempt, TimePoint now);
    /// A complete event was forwarded to the caller.
    void onEventForwarded(RequestId request, AttemptNumber attempt, TimePoint now);
    /// The transport stopped reading the response to the attempt since its caller reads slowly, or
    /// goes on reading.
    void onReadingPaused(RequestId request, AttemptNumber attempt, bool paused, TimePoint now);
    /// The response to the attempt is passed on as it arrives, so that no other one can replace it.
    void onRepeatingRuledOut(RequestId request);
    /// Whether the request may be sent again after it may have been executed.
    bool mayRepeatRun(RequestId request) const;
    /// No other server can continue the stream, since its events do not show where it is.
    void onResumingRuledOut(RequestId request);
    /// The stream of the attempt ended completely. `end` tells how its end is known.
    void onStreamEnded(RequestId request, AttemptNumber attempt, TimePoint now,
                       RequestActions &actions, ResponseEnd end = ResponseEnd::Framed);
    /// A complete response other than a stream was received.
    void onResponse(RequestId request, AttemptNumber attempt, int status, TimePoint now,
                    RequestActions &actions, ResponseEnd end = ResponseEnd::Framed);
    /// The attempt failed. `faultyServer` is the server that the response named as the cause, if
    /// any.
    void onAttemptFailed(RequestId request, AttemptNumber attempt, AttemptFailure failure,
                         const VmId &faultyServer, TimePoint now, RequestActions &actions);
    /// Dispatches waiting requests if servers became available, and checks deadlines and stalled
    /// streams. Called periodically and after changes of servers or peers.
    void tick(TimePoint now, RequestActions &actions);

    /// What this node knows of parts of prompts that crash servers, for the other nodes.
    QuarantineNews quarantineNews(TimePoint now) const { return m_quarantine.news(now); }
    /// Adopts what another node knows of parts of prompts. Takes effect on waiting requests with
    /// the next tick.
    void mergeQuarantine(const QuarantineNews &news, TimePoint now)
    {
        m_quarantine.merge(news, now);
    }
    /// Whether attempts of this node broke, or heads refused to serve their groups, since the last
    /// call, so that there is evidence to tell.
    bool takeNewEvidence()
    {
        const bool hasClosed = std::exchange(m_hasNewClosedGroup, false);
        return m_quarantine.takeNewEvidence() || hasClosed;
    }
    /// Adopts a quarantine that is kept in the store.
    void restoreQuarantine(PromptPart part, const QuarantinedPart &quarantine, TimePoint now)
    {
        m_quarantine.restore(part, quarantine, now);
    }
    /// Sets the callback for parts that this node quarantines.
    void setQuarantineHook(std::function<void(const QuarantineDecision &)> hook)
    {
        m_onQuarantined = std::move(hook);
    }
    std::size_t suspectedRequests() const { return m_quarantine.suspectedCount(); }
    std::size_t quarantinedParts() const { return m_quarantine.quarantinedCount(); }
    /// What answers told this node of the limits of servers, for the other nodes.
    LimitNews limitNews(TimePoint now) { return m_limits.news(now); }
    /// Adopts what another node knows of the limits of servers. Returns the changes for the log.
    std::vector<LogDecision> mergeLimits(const LimitNews &news, const NodeId &peer, TimePoint now);
    /// Messages to other nodes on the limits of servers since the last call.
    std::map<NodeId, PermitMessage> takePermitMessages(TimePoint now)
    {
        return m_permits.takeMessages(now);
    }
    /// Processes such a message. Returns the reply. Permits are used with the next tick.
    PermitMessage onPermitMessage(const PermitMessage &message, TimePoint now)
    {
        return m_permits.onMessage(message, now);
    }
    const PermitCounts &permitCounts() const { return m_permits.counts(); }
    /// Number of servers that have named a limit on their request rate.
    std::size_t limitedServers(TimePoint now) const { return m_limits.limitedCount(now); }

    /// Whether there is a configuration that was confirmed recently enough to accept API keys.
    bool isCurrent(TimePoint now) const;
    /// Whether the node has a configuration and has followed the store, whose newest version may be
    /// unreadable: then isCurrent() is false on all nodes.
    bool isFollowingStore(TimePoint now) const;
    const ServingConfigurationPtr &configuration() const { return m_configuration; }
    /// Number of requests that are waiting or running.
    std::size_t open() const { return m_requests.size(); }
    /// Whether any request was received since the start.
    bool hasArrivals() const { return m_hasArrivals; }
    std::size_t waiting() const;
    /// Only counted if late requests are served.
    LateFigures lateFigures() const;
    /// Number of services and models for which a queue or the rate of ended attempts is kept.
    std::size_t queues() const { return m_targets.size(); }
    /// Slots needed by the running and waiting requests, by model, and by those that were refused a
    /// short time ago because no server had room for them.
    std::map<ModelId, double> demand(TimePoint now) const;

private:
    /// A request that was sent to a server.
    struct Attempt
    {
        AttemptNumber number; ///< 0 before the first attempt.
        VmId server; ///< For a request that is passed on, a name that no server has.
        NodeId node; ///< The node to which the request is passed on; empty for a server.
        std::int64_t serverStartedAt = 0; ///< The newest known run of that server.
        TimePoint sentAt; ///< When it was written to the connection of its server.
        bool isWritten = false;
        std::optional<Permit> permit; ///< If its server has a limit.
        std::optional<TimePoint> firstEventAt; ///< When its first event was forwarded.
        bool isTrial = false; ///< A suspected request that is tried.
        bool isKnownSound = false; ///< Its server has been writing for a while.
        RequestLoad load; ///< What is counted for it at its server.

        bool isForwarded() const { return !node.value().empty(); }
    };
    /// A request that is waiting or running.
    struct Request
    {
        RequestArrival arrival;
        ServingConfigurationPtr configuration; ///< In force when it arrived.
        RouteId route;
        RequestKind kind = RequestKind::AtMostOnce;
        ServiceId service;
        OrganisationId organisation;
        PromptParts parts; ///< What it is recognised by if it comes again.
        std::uint64_t identity = 0; ///< Hash of its content, including the parts of the prompt.
        TimePoint arrivedAt;
        TimePoint deadline; ///< Of the caller and the route, but not after the end of a stop.
        Duration cutByStop {0}; ///< Time that it would have after the end of the stop.
        TimePoint latestStart; ///< Latest start that still meets the latency target.
        TimePoint lastStart; ///< Latest start that is still of use to the caller.
        double work = 1; ///< As in WaitingRequest.
        std::uint32_t maxAttempts = 1;
        int priority = 0;
        RequestLoad load;
        double slotsNeeded = 1; ///< Group slots. Not used for plain services.
        bool running = false; ///< An attempt is in progress.
        Attempt current; ///< The latest attempt, unless that failed and a stalled one is left.
        /// Earlier attempts, whose servers are silent but may go on. They are kept until an attempt
        /// answers, so that nothing is lost if the current one fails.
        std::vector<Attempt> stalled;
        AttemptNumber lastAttempt; ///< Number of the latest attempt.
        std::vector<VmId> tried; ///< Servers where an attempt failed.
        std::uint32_t attemptsUsed = 0; ///< Attempts that count against maxAttempts.
        std::uint32_t unsentAttempts = 0; ///< Attempts of which nothing was sent.
        RunGrant grant; ///< Whether it may run, and whether it may have run.
        std::optional<TimePoint> inputEndedAt; ///< When its caller closed its writing side.
        bool responseStarted = false; ///< A part of the response was forwarded to the caller.
        bool hasResponse = false; ///< A complete response is kept as a fallback.
        TimePoint lastProgress;
        bool readingPaused = false; ///< Its caller reads slowly.
        bool stallLogged = false; ///< The present stall was logged.
        std::optional<TimePoint> firstEventAt; ///< When the first event was forwarded.
        TimePoint lastEventAt; ///< When the latest event was forwarded.
        Duration longestGap {0}; ///< Longest time between two forwarded events.

        /// Whether it may be sent again after it may have been executed.
        bool mayRepeatRun() const
        {
            return kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream;
        }
    };
    struct TargetKey
    {
        ServiceId service;
        ModelId model;
        auto operator<=>(const TargetKey &) const = default;
    };
    /// Slots that refused requests would have needed. Decreases exponentially.
    struct RefusedDemand
    {
        double slots = 0; ///< At the time `at`.
        TimePoint at;
    };
    /// Queue of the requests waiting for servers of one service and model.
    struct Target
    {
        std::vector<WaitingRequest> waiting;
        double departuresPerSecond = 0; ///< Smoothed rate of ended attempts.
        std::uint32_t departures = 0; ///< Ended attempts since the last update of the rate.
        double workPerSecond = 0; ///< Smoothed work of ended attempts.
        double endedWork = 0; ///< Of ended attempts since the last update.
        double inTimePerSecond = 0; ///< Smoothed work of attempts that started in time.
        double inTimeWork = 0; ///< Of attempts that started in time since the last update.
        StarvationGuard starvation;
        LateBudget lateBudget;
        RecentGrowth growth; ///< In the start phase.
    };

    /// The request, or null unless the given attempt is the current one and in progress.
    Request *find(RequestId request, AttemptNumber attempt);
    /// The request, or null unless the given attempt is one of its stalled ones.
    Request *findStalled(RequestId request, AttemptNumber attempt);
    /// The current attempt of the request, or the stalled one with this number.
    static const Attempt &attemptOf(const Request &request, AttemptNumber attempt);
    /// Removes a stalled attempt, which must exist, from the request.
    static Attempt takeStalled(Request &request, AttemptNumber attempt);
    /// Why the configuration in force does not permit the request now, or nothing if it does.
    std::optional<ErrorCode> denial(const RequestArrival &arrival, TimePoint now) const;
    /// Whether the configuration in force still allows the request on its chosen service.
    bool isStillPermitted(const Request &request, TimePoint now) const;
    /// The configuration by which a server of the request is chosen: the one in force, or that of
    /// its arrival if the response has begun and its service or model was removed since.
    const ServingConfiguration &configurationOf(const Request &request) const;
    /// Adds a request to the queue of its service and model.
    void enqueue(Request &request, TimePoint now);
    bool servesLate() const
    {
        return m_options.lateRequests == LateRequests::Serve
            || (m_options.lateRequests == LateRequests::ByPriority && m_hasRoutePriorities);
    }
    /// Index of the waiting request to start next.
    std::size_t nextWaiting(const Target &target, TimePoint now) const;
    /// Share of the requests that a server may run up to which it is considered for the waiting
    /// request at `index`.
    double maxUtilization(const Target &target, std::size_t index, TimePoint now) const;
    /// Counts the start of the waiting request at `index`, and removes it from the queue.
    void takeWaiting(Target &target, std::size_t index, TimePoint now);
    /// Refuses the waiting requests of a target that will start too late for their callers.
    void reviewWaiting(const TargetKey &key, Target &target, TimePoint now,
                       RequestActions &actions);
    /// Rates at which requests of a target start on this node.
    QueueRates startRates(const TargetKey &key, const Target &target);
    void updateRates(TimePoint now);
    /// Dispatches waiting requests for as long as a server can take them.
    void dispatchWaiting(Target &target, TimePoint now, RequestActions &actions);
    /// Whether a request for a model would start too late to meet its latency target.
    bool isTooLate(const Request &request, TimePoint now) const;
    void dispatch(Request &request, BackendIndex server, TimePoint now, RequestActions &actions);
    /// Starts an attempt with a time left, and returns the action without its destination.
    DispatchAttempt startAttempt(Request &request, const VmId &server, TimePoint now);
    /// Passes the request on to another node, which has to serve it itself.
    void forward(Request &request, const PeerNode &peer, TimePoint now, RequestActions &actions);
    /// The node to which the request is passed on; null if there is none with a free place.
    const PeerNode *choosePeer(const Request &request) const;
    /// Whether the request is to be passed on: no server can be reached.
    bool mustForward(const Request &request) const;
    /// Finds out whether this node reaches the servers.
    void checkLinks(TimePoint now, RequestActions &actions);
    /// Records that an attempt failed on a server.
    static void addTried(Request &request, const VmId &server);
    /// Whether a further attempt is permitted: attempts, time and the retry budget are left, and no
    /// part of the prompt is quarantined.
    bool mayRepeat(const Request &request, TimePoint now);
    /// Refuses the requests of a target whose servers have all asked for a pause. Started responses
    /// go on waiting.
    void refuseWaiting(Target &target, TimePoint pausedUntil, TimePoint now,
                       RequestActions &actions);
    /// Refuses the requests of a target that cannot have a permit in time. `permitAt` is the time
    /// of the next permit. Started responses go on waiting.
    void refuseWithoutPermit(Target &target, TimePoint permitAt, TimePoint now,
                             RequestActions &actions);
    /// Requests per second of this node that the servers of a request permit, at least.
    double permittedPerSecond(const Request &request, const Target &target, TimePoint now);
    /// Asks other nodes for the permits that waiting requests need.
    void requestPermits(TimePoint now);
    /// Time after which a caller may return whose servers are available at the given time. It is
    /// spread, so that not all callers return at the same time.
    static Duration spreadRetryAfter(const Request &request, TimePoint availableAt, TimePoint now);
    /// Queues the request for another attempt if that is permitted, otherwise ends it.
    void retryOrEnd(Request &request, bool mayRetry, const char *cause, TimePoint now,
                    RequestActions &actions);
    /// Ends a request: refuses it, delivers the fallback response, or breaks off a response that
    /// has begun.
    void refuse(Request &request, ErrorCode code, std::optional<Duration> retryAfter,
                const char *cause, TimePoint now, RequestActions &actions);
    /// Counts a request in the demand that is refused because no server has room for it.
    void addRefusedDemand(const Request &request, TimePoint now);
    static double refusedSlots(const RefusedDemand &refused, TimePoint now);
    /// Ends all attempts of the request.
    void endAttempts(Request &request);
    /// Nothing of the attempt's request waits for its server any more.
    void releaseUnsent(Attempt &attempt);
    /// Frees the slot and the memory that an attempt took on its server.
    void releaseServer(const Request &request, const Attempt &attempt);
    /// Closes the connections of all attempts of the request, and ends them.
    void abandonAttempts(Request &request, RequestActions &actions);
    /// Suspects the server of a failed attempt, and the one named as the cause.
    void suspectAfterFailure(const Attempt &attempt, AttemptFailure failure,
                             const VmId &faultyServer, TimePoint now);
    /// The server of the attempt refused it, as it does not serve the group. Returns whether the
    /// group counts as closed.
    bool closeGroup(const Request &request, const Attempt &attempt, TimePoint now,
                    RequestActions &actions);
    /// Records that an attempt that was sent broke off, unless its server had been writing for
    /// long.
    void recordBreak(const Request &request, const Attempt &attempt, TimePoint now);
    /// Of what the request is recognised by, that for which the end of its server now is evidence.
    static PromptParts partsAtStake(const Request &request, const Attempt &attempt);
    /// What the request as a whole is recognised by, for the log.
    static std::string wholeName(const Request &request);
    /// Records that the attempts of the request are given up before their servers answered.
    void recordGivenUp(const Request &request, TimePoint now);
    /// Records how the complete response to an attempt ended.
    void recordEnd(const Request &request, const Attempt &attempt, ResponseEnd end, TimePoint now);
    /// Refuses a request with a quarantined part, with the end of the quarantine.
    void refuseQuarantined(Request &request, TimePoint now, RequestActions &actions);
    /// Acts on new quarantines: logs them, and refuses the requests that nobody has begun to
    /// answer.
    void applyQuarantines(TimePoint now, RequestActions &actions);
    QuarantineHooks quarantineHooks();
    /// The run of the server that responded to an attempt. A server at an address that it has taken
    /// over may not have an entry yet; the run is then later than any other.
    ServerRun respondingRun(const Attempt &addressed, const ServerNotice &notice) const;
    /// Makes the latest stalled attempt the current one after the attempt that should replace it
    /// failed.
    void returnToStalled(Request &request, const char *cause, TimePoint now,
                         RequestActions &actions);
    void finish(RequestId request);
    /// The expected waiting time if it is too long for the latency target, otherwise nothing.
    std::optional<Duration> excessiveQueueWait(const Request &request, const Target &target,
                                               TimePoint now);
    /// Whether the current attempt of a stream has stalled.
    bool isStalled(const Request &request, TimePoint now) const;
    /// Sends a request whose server is silent to another one as well, if that is possible at once.
    void replaceStalled(Request &request, TimePoint now, RequestActions &actions);
    /// Ends the request with the stop if its own deadline is later.
    void boundByStop(Request &request) const;
    /// Whether the request may not be sent to a server any more as it may outlast the stop.
    bool outlastsStop(const Request &request, TimePoint now) const;
    /// Refuses the requests that no server has run and that may outlast the stop.
    void refuseOutlasting(TimePoint now, RequestActions &actions);
    /// Logs the requests that are open at the end of a stop.
    void logOpenAtStop(TimePoint now, RequestActions &actions);
    /// Ends requests that are past their deadline and resumes stalled streams elsewhere.
    void checkDeadlines(TimePoint now, RequestActions &actions);
    ChoiceInput choiceInput(const Request &request, TimePoint now);
    /// In the start phase, requests that other nodes are assumed to have started on each server
    /// since their last report.
    double assumedPerServer(const Request &request, TimePoint now);
    /// Requests per second by which a queue is expected to drain.
    double drainRate(const Request &request, const Target &target, TimePoint now);
    RetryAllowance &retries(const ServiceId &service);

    RequestOptions m_options;
    BackendTable &m_backends;
    ServingConfigurationPtr m_configuration;
    bool m_hasRoutePriorities = false; ///< See haveRoutePriorities().
    ServicePriorities m_priorities; ///< Of the configuration in force.
    ConfigurationProof m_proof;
    std::set<ZoneId> m_zonesOut;
    NodeShare m_nodes;
    StartPhase m_startPhase;
    std::unordered_map<RequestId, Request> m_requests;
    std::map<TargetKey, Target> m_targets; ///< Entries that are not used are erased by tick().
    std::map<ServiceId, RetryAllowance> m_retries;
    std::map<ModelId, RefusedDemand> m_refusedDemand;
    QuarantineTable m_quarantine;
    LimitTable m_limits;
    PermitTable m_permits {m_limits};
    ServerLinks m_links;
    std::vector<PeerNode> m_peers;
    std::map<NodeId, std::size_t> m_forwarded; ///< Open attempts at other nodes.
    std::size_t m_takenOver = 0; ///< Open requests that other nodes passed on.
    TimePoint m_linksAt;
    std::function<void(const QuarantineDecision &)> m_onQuarantined;
    bool m_hasArrivals = false;
    bool m_hasNewClosedGroup = false; ///< Since the last call of takeNewEvidence().
    TimePoint m_stopStartedAt;
    std::optional<TimePoint> m_stopDeadline;
    TimePoint m_closedAt; ///< From then on requests that may outlast a stop are refused.
    bool m_openAtStopLogged = false;
    std::uint64_t m_servedLate = 0;
    std::map<GiveUpCause, std::uint64_t> m_givenUp;
    TimePoint m_ratesAt;
    TimePoint m_deadlinesAt;
    TimePoint m_prunedAt;
};

} // namespace bramleypitch
