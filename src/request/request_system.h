#pragma once

#include "request/backend_base.h"
#include "request/request_type.h"
#include "request/retry_allowance.h"
#include "request/target_choice.h"
#include "request/waiting_order.h"

#include <map>
#include <set>
#include <unordered_map>

namespace bramleypitch {

/// Times and limits of the request system.
struct RequestOptions
{
    NodeId node;
    ZoneId zone; ///< Where this node stands.
    RetryLimits retries;
    /// Without a proof of the configuration that is this recent, keys are not honoured.
    Duration keyFreshness {4'000};
    /// Without a proof this recent, what the configuration lacks is not denied for good.
    Duration denialFreshness {1'900};
    bool failClosed = true; ///< Refuse keys without a recent proof.
    Duration suspectFor {1'000}; ///< After a failure a server comes last for so long.
    /// After a stream fell silent, or no connection was accepted: until its entry lapses.
    Duration silentFor {4'000};
    /// A stream goes on elsewhere after so long without an event; passes last 0.3 s at most.
    Duration streamSilence {600};
    /// The same before its first event: a pass for those before it, and one for its own prompt.
    Duration startSilence {1'200};
    Duration retryLater {1'000}; ///< Told to callers for whose requests there is no server.
    /// Left for a server to make use of; with less, an attempt is not worth sending.
    Duration leastTimeLeft {30};
};

/// The way of every request of one node, whatever carries it: from its arrival over waiting,
/// attempts and resumption to its answer. It sees no payload, does no I/O and reads no clock.
class RequestSystem
{
public:
    RequestSystem(RequestOptions options, BackendTable &backends);

    /// Settings were read again; node and zone stay.
    void setOptions(RequestOptions options) { m_options = std::move(options); }
    /// A configuration is in force from now on.
    void setConfiguration(ServingConfigurationPtr configuration);
    /// Nothing newer than the present configuration existed at this time.
    void setConfigurationProof(TimePoint provenAt) { m_provenAt = std::max(m_provenAt, provenAt); }
    /// Zones that take no new work.
    void setZonesOut(std::set<ZoneId> zones) { m_zonesOut = std::move(zones); }
    /// The nodes that share the limits of the servers, and this one's place among them.
    void setNodes(NodeShare nodes) { m_nodes = nodes; }

    /// Takes a request in and dispatches it, lets it wait or turns it away.
    void arrived(const RequestArrival &arrival, TimePoint now, RequestActions &actions);
    /// The caller went away or its connection broke.
    void callerGone(RequestId request, TimePoint now, RequestActions &actions);
    /// The head of a successful stream came: from here on the answer has begun.
    void streamStarted(RequestId request, AttemptNumber attempt, TimePoint now);
    /// A whole event went to the caller.
    void eventPassed(RequestId request, AttemptNumber attempt, TimePoint now);
    /// The attempt's stream ended whole.
    void streamEnded(RequestId request, AttemptNumber attempt, TimePoint now,
                     RequestActions &actions);
    /// A whole answer other than a stream came.
    void answered(RequestId request, AttemptNumber attempt, int status, TimePoint now,
                  RequestActions &actions);
    /// The attempt failed. `faultyServer` is the one that the answer blamed, if any.
    void attemptFailed(RequestId request, AttemptNumber attempt, AttemptFailure failure,
                       const VmId &faultyServer, TimePoint now, RequestActions &actions);
    /// Whatever waits is looked at again: time passed, or servers or peers changed.
    void tick(TimePoint now, RequestActions &actions);

    /// Whether the configuration is known and proven recently enough to serve keys.
    bool isCurrent(TimePoint now) const;
    const ServingConfigurationPtr &configuration() const { return m_configuration; }
    std::size_t open() const { return m_requests.size(); }
    /// Whether any request has come since the start.
    bool hasArrivals() const { return m_hasArrivals; }
    std::size_t waiting() const;
    /// Slots that the requests running or waiting need, by model.
    std::map<ModelId, double> demand() const;

private:
    struct Request
    {
        RequestArrival arrival;
        RouteId route;
        RequestKind kind = RequestKind::AtMostOnce;
        ServiceId service;
        OrganisationId organisation;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint onTimeUntil;
        std::uint32_t maxAttempts = 1;
        int priority = 0;
        double slotsNeeded = 1; ///< Of a group; plain services do not count them.
        bool running = false; ///< An attempt is under way.
        AttemptNumber attempt; ///< The newest.
        VmId server; ///< Of the newest attempt.
        std::vector<VmId> tried;
        std::uint32_t attemptsUsed = 0; ///< Attempts that count against maxAttempts.
        std::uint32_t unsentAttempts = 0;
        bool mayHaveRun = false;
        bool answering = false; ///< A part of the answer went to the caller.
        bool hasAnswer = false; ///< A whole answer is kept in case no better one comes.
        TimePoint lastProgress;
        bool heardSinceDispatch = false; ///< The present attempt has brought an event.
        std::optional<TimePoint> firstEventAt; ///< When the first event went to the caller.
        TimePoint lastEventAt; ///< When the newest one did.
        Duration longestGap {0}; ///< Between events that went to the caller.
    };
    struct TargetKey
    {
        ServiceId service;
        ModelId model;
        auto operator<=>(const TargetKey &) const = default;
    };
    /// Requests that wait for servers of one service and model.
    struct Target
    {
        std::vector<WaitingRequest> waiting;
        double departuresPerSecond = 0; ///< Smoothed.
        std::uint32_t departures = 0; ///< Since the last smoothing.
    };

    Request *find(RequestId request, AttemptNumber attempt);
    /// Why a request may not run now by the configuration in force, or none.
    std::optional<ErrorCode> denial(const RequestArrival &arrival, TimePoint now) const;
    bool mayStillRun(const Request &request, TimePoint now) const;
    void wait(Request &request, TimePoint now);
    void startWaiting(Target &target, TimePoint now, RequestActions &actions);
    void dispatch(Request &request, BackendIndex server, TimePoint now, RequestActions &actions);
    void retryOrEnd(Request &request, bool mayRepeat, const char *cause, TimePoint now,
                    RequestActions &actions);
    void refuse(Request &request, ErrorCode code, std::optional<Duration> retryAfter,
                const char *cause, TimePoint now, RequestActions &actions);
    void endAttempt(Request &request);
    void finish(RequestId request);
    std::optional<Duration> waitTooLong(const Request &request, const Target &target,
                                        TimePoint now) const;
    /// Whether the present attempt of a stream stands still.
    bool isSilent(const Request &request, TimePoint now) const;
    void watchDeadlines(TimePoint now, RequestActions &actions);
    ChoiceInput choiceInput(const Request &request) const;
    RetryAllowance &retries(const ServiceId &service);

    RequestOptions m_options;
    BackendTable &m_backends;
    ServingConfigurationPtr m_configuration;
    TimePoint m_provenAt;
    std::set<ZoneId> m_zonesOut;
    NodeShare m_nodes;
    std::unordered_map<RequestId, Request> m_requests;
    std::map<TargetKey, Target> m_targets;
    std::map<ServiceId, RetryAllowance> m_retries;
    bool m_hasArrivals = false;
    TimePoint m_ratesAt;
    TimePoint m_deadlinesAt;
};

} // namespace bramleypitch
