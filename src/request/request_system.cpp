#include "request/request_system.h"

#include "core/rendezvous_func.h"
#include "request/engine_model.h"
#include "request/quarantine_func.h"
#include "request/request_value.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <tuple>
#include <utility>

namespace bramleypitch {

namespace {

/// A request fails after failed attempts on this many servers.
constexpr std::size_t maxServersTried = 5;
/// A request is refused if it would start later than this after its latency target: the caller
/// learns this immediately, and the requests queued behind it are not delayed as well.
constexpr Duration maxLateness {500};
/// Time for which a refused request counts as demand, about the duration of a stream.
constexpr Duration refusedDemandTime {1'000};
/// A late request starts only on a server with less than this share of its slots in use. It would
/// occupy a slot for a second or more, which other requests need that can still be on time.
constexpr double refusedLateUtilization = 0.8;
constexpr Duration rateInterval {500}; ///< Between updates of the rate at which attempts end.
constexpr double rateSmoothing = 0.5;
constexpr double gapSmoothing = 0.1;
constexpr Duration deadlineInterval {40}; ///< Between checks for deadlines and stalled streams.
/// Requests per second below which the rate of a queue counts as none.
constexpr double minTrackedRate = 0.001;
constexpr Duration pruneInterval {1'000}; ///< Between removals of limits that have ended.
/// The clock counts whole milliseconds, so that the present time is up to so much later than shown.
constexpr Duration clockResolution {1};
constexpr Duration minRetryAfter {100};
/// Retry-After is at most a third of the time left until the deadline, so that callers can retry
/// in time.
constexpr int retryAfterDivisor = 3;
/// Callers of servers that are paused or limited are asked to return within the time until they are
/// available, divided by this, after its end.
constexpr int retrySpreadDivisor = 2;
constexpr Duration minRetrySpread {200};
constexpr int minServerErrorStatus = 500;
/// Statuses by which callers may conclude that a request was not executed and send it again.
constexpr std::array notRunStatuses {408, 421, 429, 503};
/// Requests that this node has passed on to one other node, and those that it takes from others.
constexpr std::size_t maxForwardedPerNode = 64;
constexpr std::size_t maxTakenOver = 256;
/// A request that could not be sent to so many servers is passed on while the links are in doubt.
constexpr std::uint32_t unsentAttemptsBeforeForward = 2;
/// A node replaces stalled streams itself. Only one that is silent for longer is replaced.
constexpr Duration nodeStallTimeout {2'000};
constexpr Duration linkCheckInterval {100};
/// From the end of a caller's input to the write of its request.
constexpr Duration maxWriteDelay {250};
/// Requests that wait for memory of a server and let those behind them go first, in one pass.
constexpr std::size_t maxPassedOver = 8;
constexpr Duration longWait {400}; ///< For an answer, while no server sends anything.
const std::string nodePrefix = "node/"; ///< No server has such a name.
/// A server that has been writing a response for this time is not crashed by its prompt. One that
/// completes a shorter response may still end.
constexpr Duration soundWritingTime {1'000};
/// Limit on the requests that are logged one by one at the end of a stop.
constexpr std::size_t maxLoggedAtStop = 256;
constexpr double millisecondsPerSecond = 1'000;
constexpr double weightResolution = 1'000'000; ///< Resolution of the choice by weight.

bool statesNotRun(int status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(duration.count());
}

std::string limitText(const std::optional<double> &perSecond)
{
    if (!perSecond)
        return "none";
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", *perSecond);
    return text.data();
}

LogDecision limitNote(const LimitChange &change)
{
    return {"",
            "server_limit",
            {{"server", change.run.server.value()},
             {"started", std::to_string(change.run.startedAt)},
             {"per_second", limitText(change.after)},
             {"before", limitText(change.before)}}};
}

Duration elapsed(TimePoint earlier, TimePoint later)
{
    return std::max(later - earlier, Duration(0));
}

/// Entries that are taken out of a queue for a while, and are put back at the end of the scope.
class PassedOver
{
public:
    explicit PassedOver(std::vector<WaitingRequest> &queue)
        : m_queue(queue)
    {
    }
    ~PassedOver() { m_queue.insert(m_queue.end(), m_entries.begin(), m_entries.end()); }
    PassedOver(const PassedOver &) = delete;
    PassedOver &operator=(const PassedOver &) = delete;

    bool isFull() const { return m_entries.size() >= maxPassedOver; }
    void take(std::size_t position)
    {
        const auto entry = m_queue.begin() + static_cast<std::ptrdiff_t>(position);
        m_entries.push_back(*entry);
        m_queue.erase(entry);
    }

private:
    std::vector<WaitingRequest> &m_queue;
    std::vector<WaitingRequest> m_entries;
};

/// Picks a service by weight. The result is always the same for the same request.
const WeightedService &pickService(const RouteSpec &route, const std::string &traceId)
{
    double total = 0;
    for (const WeightedService &service : route.services)
        total += service.weight;
    const auto steps = static_cast<std::uint64_t>(weightResolution);
    double left = total * static_cast<double>(stableHash(traceId) % steps) / weightResolution;
    for (const WeightedService &service : route.services) {
        left -= service.weight;
        if (left < 0)
            return service;
    }
    return route.services.back();
}

} // namespace

RequestSystem::RequestSystem(RequestOptions options, BackendTable &backends)
    : m_options(std::move(options))
    , m_backends(backends)
    , m_quarantine(quarantineHooks())
    , m_links(backends)
{
}

QuarantineHooks RequestSystem::quarantineHooks()
{
    QuarantineHooks hooks;
    hooks.lastAlive = [this](const ServerRun &run) -> std::optional<TimePoint> {
        const Backend *backend = m_backends.find(run.server);
        if (!backend || m_backends.newestStart(run.server) != run.startedAt)
            return std::nullopt;
        return backend->lastProgress;
    };
    hooks.hasEnded = [this](const ServerRun &run) {
        const Backend *backend = m_backends.find(run.server);
        return !backend || m_backends.newestStart(run.server) != run.startedAt
            || (!areLinksInDoubt() && backend->unreachableAt > backend->lastProgress);
    };
    hooks.mayTry = [this](PromptPart part) {
        return part.value() % std::max<std::uint32_t>(m_nodes.count, 1) == m_nodes.nodeIndex;
    };
    return hooks;
}

void RequestSystem::setConfiguration(ServingConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_hasRoutePriorities = haveRoutePriorities(*m_configuration);
    m_priorities = m_hasRoutePriorities ? servicePriorities(*m_configuration) : ServicePriorities();
    m_proof.setVersion(m_configuration->version);
    m_proof.onReadable();
}

bool RequestSystem::isFollowingStore(TimePoint now) const
{
    return m_configuration
        && (!m_options.failClosed || now - m_proof.followedAt() <= m_options.maxKeyProofAge);
}

bool RequestSystem::isCurrent(TimePoint now) const
{
    return m_configuration
        && (!m_options.failClosed || now - m_proof.provenAt() <= m_options.maxKeyProofAge);
}

std::size_t RequestSystem::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[key, target] : m_targets)
        sum += target.waiting.size();
    return sum;
}

std::map<ModelId, double> RequestSystem::demand(TimePoint now) const
{
    std::map<ModelId, double> sum;
    for (const auto &[model, refused] : m_refusedDemand)
        sum[model] = refusedSlots(refused, now);
    for (const auto &[id, request] : m_requests) {
        const bool isForwarded = request.running && request.current.isForwarded();
        if (!request.arrival.model.value().empty() && !isForwarded)
            sum[request.arrival.model] += request.slotsNeeded;
    }
    return sum;
}

double RequestSystem::refusedSlots(const RefusedDemand &refused, TimePoint now)
{
    const auto passed = static_cast<double>(elapsed(refused.at, now).count());
    return refused.slots * std::exp(-passed / static_cast<double>(refusedDemandTime.count()));
}

void RequestSystem::addRefusedDemand(const Request &request, TimePoint now)
{
    if (!m_configuration->findModel(request.service, request.arrival.model))
        return;
    RefusedDemand &refused = m_refusedDemand[request.arrival.model];
    refused = {refusedSlots(refused, now) + request.slotsNeeded, now};
}

RetryAllowance &RequestSystem::retries(const ServiceId &service)
{
    return m_retries.try_emplace(service, m_options.retries).first->second;
}

RequestSystem::Request *RequestSystem::find(RequestId request, AttemptNumber attempt)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.running
        || found->second.current.number != attempt)
        return nullptr;
    return &found->second;
}

RequestSystem::Request *RequestSystem::findStalled(RequestId request, AttemptNumber attempt)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return nullptr;
    const std::vector<Attempt> &stalled = found->second.stalled;
    const bool isStalled = std::any_of(stalled.begin(), stalled.end(), [&](const Attempt &other) {
        return other.number == attempt;
    });
    return isStalled ? &found->second : nullptr;
}

const RequestSystem::Attempt &RequestSystem::attemptOf(const Request &request,
                                                       AttemptNumber attempt)
{
    const auto found = std::find_if(request.stalled.begin(), request.stalled.end(),
                                    [&](const Attempt &other) { return other.number == attempt; });
    return found == request.stalled.end() ? request.current : *found;
}

RequestSystem::Attempt RequestSystem::takeStalled(Request &request, AttemptNumber attempt)
{
    const auto found = std::find_if(request.stalled.begin(), request.stalled.end(),
                                    [&](const Attempt &other) { return other.number == attempt; });
    Attempt taken = *found;
    request.stalled.erase(found);
    return taken;
}

std::optional<ErrorCode> RequestSystem::denial(const RequestArrival &arrival, TimePoint now) const
{
    if (!m_configuration)
        return ErrorCode::ConfigurationStale;
    const bool isRecentlyProven = now - m_proof.provenAt() <= m_options.maxDenialProofAge;
    const RouteSpec *route = m_configuration->findRoute(arrival.host, arrival.path);
    if (route && !route->isReadable)
        return ErrorCode::ConfigurationStale;
    if (!route || route->services.empty())
        return isRecentlyProven ? ErrorCode::UnknownPath : ErrorCode::ConfigurationStale;
    if (route->keyless || !m_configuration->requiresKeys)
        return std::nullopt;
    if (!isCurrent(now))
        return ErrorCode::ConfigurationStale;
    if (!m_configuration->findKey(arrival.key))
        return isRecentlyProven ? ErrorCode::Unauthorized : ErrorCode::ConfigurationStale;
    return std::nullopt;
}

void RequestSystem::onRequestArrived(const RequestArrival &arrival, TimePoint now,
                                     RequestActions &actions)
{
    m_hasArrivals = true;
    Request &request = m_requests[arrival.request];
    request.arrival = arrival;
    request.arrivedAt = now;
    if (arrival.attemptsLeft)
        ++m_takenOver;
    if (arrival.attemptsLeft && (isCut() || m_takenOver > maxTakenOver)) {
        refuse(request, ErrorCode::NoCapacity, minRetryAfter, "forwarded", now, actions);
        return;
    }
    if (const std::optional<ErrorCode> denied = denial(arrival, now)) {
        const bool temporary = *denied == ErrorCode::ConfigurationStale;
        refuse(request, *denied,
               temporary ? std::optional(m_options.defaultRetryAfter) : std::nullopt,
               "configuration", now, actions);
        return;
    }
    const RouteSpec &route = *m_configuration->findRoute(arrival.host, arrival.path);
    request.configuration = m_configuration;
    request.route = route.name;
    request.kind = route.kind;
    request.maxAttempts = std::max<std::uint32_t>(
        std::min(route.maxAttempts, arrival.attemptsLeft.value_or(route.maxAttempts)), 1);
    request.priority = route.priority;
    if (!route.keyless) {
        if (const ServedOrganisation *organisation = m_configuration->findKey(arrival.key)) {
            request.organisation = organisation->name;
            request.priority = organisation->priority.value_or(route.priority);
        }
    }
    request.service = pickService(route, arrival.traceId).service;
    const Duration limit = std::min(route.timeout, arrival.timeLimit.value_or(route.timeout));
    request.deadline = now + limit;
    request.latestStart = now + route.targetLatency;
    const EngineSpec *engine = m_configuration->engineOf(request.service);
    const ServedModel *model = m_configuration->findModel(request.service, arrival.model);
    const GenerationSize size {arrival.promptTokens, arrival.completionTokens};
    if (engine && model) {
        const auto start = firstEventMs(*engine, *model, arrival.promptTokens);
        request.latestStart -= Duration(static_cast<Duration::rep>(start));
        request.slotsNeeded = slotsNeeded(*engine, *model, size);
    }
    request.load = loadOf(arrival);
    if (m_options.boundsServerMemory && engine && exceedsMemory(*engine, request.load.tokens)) {
        refuse(request, ErrorCode::RequestTooLarge, std::nullopt, "server_memory", now, actions);
        return;
    }
    request.lastStart =
        lastUsefulStart(route, engine, model, size, {now, request.latestStart, request.deadline});
    request.work = requestWork(engine, model, size);
    request.parts = promptParts(arrival.promptParts, request.service);
    request.identity = stableHash(arrival.traceId);
    if (arrival.content != 0) {
        const PromptPart whole =
            wholeRequest(arrival.content, arrival.host, request.organisation, request.service);
        request.parts.push_back(lateBreakOf(whole));
        request.parts.push_back(whole);
        request.identity = whole.value() ^ arrival.prompt;
    }
    if (m_quarantine.quarantinedUntil(request.parts, now)) {
        refuseQuarantined(request, now, actions);
        return;
    }
    boundByStop(request);
    if (outlastsStop(request, now)) {
        refuse(request, ErrorCode::NoCapacity, minRetryAfter, "stopping", now, actions);
        return;
    }
    if (!arrival.attemptsLeft) // Counted by the node that took it from its caller.
        retries(request.service).onRequest(now);
    enqueue(request, now);
    const TargetKey key {request.service, arrival.model};
    dispatchWaiting(m_targets[key], now, actions);

    const auto queued = m_requests.find(arrival.request);
    if (queued == m_requests.end() || queued->second.running)
        return;
    const TargetChoice choice = chooseTarget(m_backends, choiceInput(queued->second, now), now);
    if (choice.outcome == TargetChoice::Outcome::None) {
        addRefusedDemand(queued->second, now);
        refuse(queued->second, ErrorCode::NoCapacity, m_options.defaultRetryAfter, "no_server", now,
               actions);
    } else if (choice.outcome == TargetChoice::Outcome::Paused) {
        refuseWaiting(m_targets[key], choice.availableAt, now, actions);
    } else if (choice.outcome == TargetChoice::Outcome::Limited) {
        refuseWithoutPermit(m_targets[key], choice.availableAt, now, actions);
    } else if (servesLate()) {
        reviewWaiting(key, m_targets[key], now, actions);
    } else if (const auto queueWait = excessiveQueueWait(queued->second, m_targets[key], now)) {
        addRefusedDemand(queued->second, now);
        refuse(queued->second, ErrorCode::QueueFull, *queueWait, "queue", now, actions);
    }
}

void RequestSystem::startStop(TimePoint deadline, TimePoint closedAt, TimePoint now)
{
    m_stopStartedAt = now;
    m_stopDeadline = deadline;
    m_closedAt = closedAt;
    for (auto &[id, request] : m_requests)
        boundByStop(request);
}

void RequestSystem::boundByStop(Request &request) const
{
    if (!m_stopDeadline || request.deadline <= *m_stopDeadline)
        return;
    request.cutByStop = request.deadline - *m_stopDeadline;
    request.deadline = *m_stopDeadline;
}

bool RequestSystem::outlastsStop(const Request &request, TimePoint now) const
{
    // One that may run only once has no other way to an answer after it was cut off.
    const bool isTaken = now < m_closedAt && request.mayRepeatRun();
    return m_stopDeadline && !isTaken && request.cutByStop > Duration(0)
        && !request.grant.mayHaveRun();
}

void RequestSystem::refuseOutlasting(TimePoint now, RequestActions &actions)
{
    std::vector<RequestId> refused;
    for (const auto &[id, request] : m_requests) {
        if (!request.running && outlastsStop(request, now))
            refused.push_back(id);
    }
    for (const RequestId id : refused)
        refuse(m_requests.at(id), ErrorCode::NoCapacity, minRetryAfter, "stopping", now, actions);
}

void RequestSystem::logOpenAtStop(TimePoint now, RequestActions &actions)
{
    m_openAtStopLogged = true;
    std::size_t logged = 0;
    for (const auto &[id, request] : m_requests) {
        if (++logged > maxLoggedAtStop)
            return;
        const char *state = request.responseStarted ? "answering"
            : request.running                       ? "sent"
                                                    : "waiting";
        actions.push_back(LogDecision {
            request.arrival.traceId,
            "request_open_at_stop",
            {{"state", state},
             {"server", request.current.server.value()},
             {"attempts", std::to_string(request.lastAttempt.value())},
             {"age_ms", millisecondsText(elapsed(request.arrivedAt, now))},
             {"left_ms", millisecondsText(elapsed(now, request.deadline) + request.cutByStop)},
             {"arrived_after_stop_ms", millisecondsText(request.arrivedAt - m_stopStartedAt)}}});
    }
}

std::optional<Duration> RequestSystem::excessiveQueueWait(const Request &request,
                                                          const Target &target, TimePoint now)
{
    const double perSecond = drainRate(request, target, now);
    if (request.responseStarted || perSecond < minTrackedRate)
        return std::nullopt;
    const double seconds = static_cast<double>(target.waiting.size()) / perSecond;
    const Duration queueWait(static_cast<Duration::rep>(seconds * 1'000));
    const Duration tolerance =
        m_configuration->engineOf(request.service) ? Duration(0) : maxLateness;
    if (now + queueWait <= request.latestStart + tolerance)
        return std::nullopt;
    return queueWait;
}

void RequestSystem::enqueue(Request &request, TimePoint now)
{
    WaitingRequest entry;
    entry.request = request.arrival.request;
    entry.since = request.arrivedAt;
    entry.latestStart = request.latestStart;
    entry.priority = request.priority;
    entry.responseStarted = request.responseStarted;
    entry.lastStart = std::min(request.lastStart, request.deadline - m_options.minTimeLeft);
    entry.work = request.work;
    entry.route = request.route;
    entry.organisation = request.organisation;
    entry.mayBeGivenUp =
        !request.responseStarted && !request.hasResponse && !request.grant.mayHaveRun();
    request.lastProgress = now;
    Target &target = m_targets[{request.service, request.arrival.model}];
    target.waiting.push_back(std::move(entry));
    if (servesLate())
        sortByValue(target.waiting, now);
}

std::size_t RequestSystem::nextWaiting(const Target &target, TimePoint now) const
{
    return servesLate() ? target.starvation.next(target.waiting, now)
                        : nextToDispatch(target.waiting, now);
}

double RequestSystem::maxUtilization(const Target &target, std::size_t index, TimePoint now) const
{
    const WaitingRequest &waiting = target.waiting[index];
    if (!isTooLate(m_requests.at(waiting.request), now))
        return 1;
    if (!servesLate())
        return refusedLateUtilization;
    if (!target.lateBudget.permitsStart())
        return 0;
    return index > 0 ? 1 : lateUtilization(waiting.latestStart, waiting.lastStart, now);
}

void RequestSystem::takeWaiting(Target &target, std::size_t index, TimePoint now)
{
    const WaitingRequest &taken = target.waiting[index];
    if (servesLate()) {
        target.starvation.onStarted(target.waiting, index, now);
        if (taken.responseStarted || !taken.isLate(now))
            target.inTimeWork += taken.work;
        else
            ++m_servedLate;
        if (!taken.responseStarted && taken.isLate(now))
            target.lateBudget.onStarted(taken.work);
    }
    target.waiting.erase(target.waiting.begin() + static_cast<std::ptrdiff_t>(index));
}

void RequestSystem::reviewWaiting(const TargetKey &key, Target &target, TimePoint now,
                                  RequestActions &actions)
{
    if (target.waiting.empty() || !m_configuration)
        return;
    const QueueRates rates = startRates(key, target);
    for (const GivenUpRequest &givenUp : reviewQueue(target.waiting, rates, now)) {
        Request &request = m_requests.at(givenUp.request);
        ++m_givenUp[givenUp.cause];
        addRefusedDemand(request, now);
        const Duration retryAfter = retryAfterRoom(
            givenUp.untilRoom, elapsed(now, request.deadline), stableHash(request.arrival.traceId));
        const ErrorCode code =
            request.grant.mayHaveRun() ? ErrorCode::DeadlineUnreachable : ErrorCode::QueueFull;
        refuse(request, code, retryAfter, giveUpCauseName(givenUp.cause), now, actions);
    }
}

QueueRates RequestSystem::startRates(const TargetKey &key, const Target &target)
{
    double perSecond = target.workPerSecond;
    // A node has few of the requests of many nodes, so that what it has measured varies much. It
    // can expect its part of what the servers do by their published figures.
    const EngineSpec *engine = m_configuration->engineOf(key.service);
    const ServedModel *model = m_configuration->findModel(key.service, key.model);
    if (engine && model && executionMs(*engine, *model, {}) > 0) {
        const std::size_t groups =
            m_backends.targets(key.service, key.model, *m_configuration).size();
        perSecond = std::max(perSecond,
                             static_cast<double>(groups * engine->slots)
                                 / std::max<std::uint32_t>(m_nodes.count, 1));
    }
    return queueRates(perSecond, target.inTimePerSecond);
}

void RequestSystem::updateRates(TimePoint now)
{
    const double seconds = static_cast<double>((now - m_ratesAt).count()) / millisecondsPerSecond;
    const auto update = [&](double &rate, double count) {
        rate += rateSmoothing * (count / seconds - rate);
    };
    for (auto &[key, target] : m_targets) {
        update(target.departuresPerSecond, target.departures);
        update(target.workPerSecond, std::exchange(target.endedWork, 0));
        update(target.inTimePerSecond, std::exchange(target.inTimeWork, 0));
        target.departures = 0;
    }
    m_ratesAt = now;
}

LateFigures RequestSystem::lateFigures() const
{
    LateFigures figures;
    figures.served = m_servedLate;
    figures.givenUp = m_givenUp;
    for (const auto &[key, target] : m_targets)
        figures.waiting += static_cast<std::size_t>(
            std::count_if(target.waiting.begin(), target.waiting.end(),
                          [](const WaitingRequest &item) { return item.isExpectedLate; }));
    return figures;
}

ChoiceInput RequestSystem::choiceInput(const Request &request, TimePoint now)
{
    ChoiceInput input;
    input.configuration = &configurationOf(request);
    input.zonesOut = &m_zonesOut;
    input.tried = &request.tried;
    input.traceId = request.arrival.traceId;
    input.service = request.service;
    input.model = request.arrival.model;
    input.ownZone = m_options.zone;
    input.nodes = m_nodes;
    input.permits = m_limits.empty() ? nullptr : &m_permits;
    if (m_options.boundsServerMemory)
        input.load = request.load;
    input.maxUnsentBytes = m_options.maxUnsentPerServer;
    if (m_startPhase.isActive(now))
        input.assumedRunning = assumedPerServer(request, now);
    return input;
}

double RequestSystem::assumedPerServer(const Request &request, TimePoint now)
{
    const std::vector<BackendIndex> &servers =
        m_backends.targets(request.service, request.arrival.model, configurationOf(request));
    double running = 0;
    for (const BackendIndex index : servers)
        running += m_backends.find(index)->ownRunning;
    RecentGrowth &growth = m_targets[{request.service, request.arrival.model}].growth;
    growth.add(running, now);
    return m_startPhase.assumedPerServer(growth, running, servers.size(), now);
}

double RequestSystem::drainRate(const Request &request, const Target &target, TimePoint now)
{
    const ServingConfiguration &configuration = configurationOf(request);
    const EngineSpec *engine = configuration.engineOf(request.service);
    const ServedModel *model = configuration.findModel(request.service, request.arrival.model);
    if (!m_startPhase.isActive(now) || !engine || !model)
        return target.departuresPerSecond;
    const auto groups =
        m_backends.targets(request.service, request.arrival.model, configuration).size();
    return std::max(target.departuresPerSecond, m_startPhase.ownRate(*engine, *model, groups));
}

const ServingConfiguration &RequestSystem::configurationOf(const Request &request) const
{
    const ServingConfiguration &present = *m_configuration;
    const EngineSpec *engine = request.configuration->engineOf(request.service);
    const bool isKnown = engine
        ? present.findModel(request.service, request.arrival.model) != nullptr
        : present.services.count(request.service) > 0;
    return isKnown || !request.responseStarted ? present : *request.configuration;
}

bool RequestSystem::isStillPermitted(const Request &request, TimePoint now) const
{
    if (denial(request.arrival, now))
        return false;
    const RouteSpec &route =
        *m_configuration->findRoute(request.arrival.host, request.arrival.path);
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](const auto &weighted) { return weighted.service == request.service; });
}

void RequestSystem::dispatchWaiting(Target &target, TimePoint now, RequestActions &actions)
{
    PassedOver passedOver(target.waiting);
    while (!target.waiting.empty() && m_configuration) {
        const std::size_t next = nextWaiting(target, now);
        Request &request = m_requests.at(target.waiting[next].request);
        ChoiceInput input = choiceInput(request, now);
        input.maxUtilization = maxUtilization(target, next, now);
        const TargetChoice choice = chooseTarget(m_backends, input, now);
        // The request may be among those that are refused, and is gone then.
        if (choice.outcome == TargetChoice::Outcome::Paused) {
            refuseWaiting(target, choice.availableAt, now, actions);
            return;
        }
        if (choice.outcome == TargetChoice::Outcome::Limited) {
            refuseWithoutPermit(target, choice.availableAt, now, actions);
            return;
        }
        // Servers that are full for this node by what it knows may have room for others.
        const bool mayForward = mustForward(request)
            && (choice.outcome == TargetChoice::Outcome::Chosen
                || choice.outcome == TargetChoice::Outcome::Full);
        const PeerNode *peer = mayForward ? choosePeer(request) : nullptr;
        if (!peer && choice.lacksMemory && choice.outcome == TargetChoice::Outcome::Full
            && !passedOver.isFull()) {
            passedOver.take(next);
            continue;
        }
        if (!peer && choice.outcome != TargetChoice::Outcome::Chosen)
            return;
        takeWaiting(target, next, now);
        // A response that has begun was permitted when its request arrived.
        if (!request.responseStarted && !isStillPermitted(request, now)) {
            // The configuration changed while the request waited. A retry uses the new one.
            refuse(request, ErrorCode::ConfigurationStale, minRetryAfter, "changed", now, actions);
            continue;
        }
        if (outlastsStop(request, now)) {
            refuse(request, ErrorCode::NoCapacity, minRetryAfter, "stopping", now, actions);
            continue;
        }
        if (isCut() && request.arrival.attemptsLeft && !request.responseStarted) {
            refuse(request, ErrorCode::NoCapacity, minRetryAfter, "forwarded", now, actions);
            continue;
        }
        if (m_quarantine.quarantinedUntil(request.parts, now)) {
            refuseQuarantined(request, now, actions);
            continue;
        }
        if (request.deadline - now < m_options.minTimeLeft) {
            refuse(request, ErrorCode::DeadlineUnreachable, std::nullopt, "deadline", now, actions);
            continue;
        }
        if (peer)
            forward(request, *peer, now, actions);
        else
            dispatch(request, choice.server, now, actions);
    }
}

bool RequestSystem::mustForward(const Request &request) const
{
    return !request.arrival.attemptsLeft
        && (isCut()
            || (areLinksInDoubt() && request.unsentAttempts >= unsentAttemptsBeforeForward));
}

const PeerNode *RequestSystem::choosePeer(const Request &request) const
{
    const PeerNode *best = nullptr;
    std::tuple<std::size_t, bool, std::uint64_t> lowest;
    for (const PeerNode &peer : m_peers) {
        const VmId name(nodePrefix + peer.node.value());
        const auto open = m_forwarded.find(peer.node);
        const std::size_t count = open == m_forwarded.end() ? 0 : open->second;
        const std::tuple rank {count, !peer.isOwnZone,
                               rendezvousWeight(request.arrival.traceId, name.value())};
        const bool isTried =
            std::find(request.tried.begin(), request.tried.end(), name) != request.tried.end();
        if (isTried || count >= maxForwardedPerNode || (best && rank >= lowest))
            continue;
        best = &peer;
        lowest = rank;
    }
    return best;
}

void RequestSystem::forward(Request &request, const PeerNode &peer, TimePoint now,
                            RequestActions &actions)
{
    DispatchAttempt action = startAttempt(request, VmId(nodePrefix + peer.node.value()), now);
    request.current.node = peer.node;
    ++m_forwarded[peer.node];
    action.node = peer.node;
    action.forwardKey = peer.forwardKey;
    action.attemptsLeft =
        request.maxAttempts - std::min(request.attemptsUsed - 1, request.maxAttempts - 1);
    action.address = peer.front;
    // The peer may be closing one that is open.
    action.needsNewConnection =
        action.needsNewConnection || request.kind == RequestKind::AtMostOnce;
    actions.push_back(action);
    actions.push_back(LogDecision {request.arrival.traceId,
                                   "request_forwarded",
                                   {{"peer", peer.node.value()},
                                    {"attempt", std::to_string(request.lastAttempt.value())},
                                    {"cut", isCut() ? "true" : "false"},
                                    {"left_ms", millisecondsText(action.timeLeft)}}});
}

void RequestSystem::checkLinks(TimePoint now, RequestActions &actions)
{
    if (now - m_linksAt < linkCheckInterval)
        return;
    m_linksAt = now;
    const bool isWaiting = std::any_of(m_requests.begin(), m_requests.end(), [&](const auto &item) {
        const Request &request = item.second;
        const Attempt &current = request.current;
        return request.running && current.isWritten && !current.isForwarded()
            && now - std::max(current.sentAt, request.lastProgress) > longWait;
    });
    if (!m_links.check(isWaiting, now))
        return;
    actions.push_back(LogDecision {"",
                                   isCut() ? "servers_unreachable" : "servers_reachable",
                                   {{"servers", std::to_string(m_backends.size())},
                                    {"peers", std::to_string(m_peers.size())},
                                    {"open_requests", std::to_string(open())}}});
}

void RequestSystem::refuseWaiting(Target &target, TimePoint pausedUntil, TimePoint now,
                                  RequestActions &actions)
{
    std::vector<RequestId> refused;
    for (const WaitingRequest &waiting : target.waiting) {
        if (!waiting.responseStarted)
            refused.push_back(waiting.request);
    }
    for (const RequestId id : refused) {
        Request &request = m_requests.at(id);
        addRefusedDemand(request, now);
        refuse(request, ErrorCode::NoCapacity, spreadRetryAfter(request, pausedUntil, now),
               "paused", now, actions);
    }
}

double RequestSystem::permittedPerSecond(const Request &request, const Target &target,
                                         TimePoint now)
{
    double sum = 0;
    for (const BackendIndex index :
         m_backends.targets(request.service, request.arrival.model, configurationOf(request))) {
        const VmId &server = m_backends.find(index)->report.id;
        sum += m_limits.limit(server, m_backends.newestStart(server), now).value_or(0);
    }
    return std::max(sum / m_nodes.count, target.departuresPerSecond);
}

void RequestSystem::refuseWithoutPermit(Target &target, TimePoint permitAt, TimePoint now,
                                        RequestActions &actions)
{
    double perSecond = 0;
    double ahead = 0;
    std::vector<std::pair<RequestId, TimePoint>> refused;
    for (const WaitingRequest &waiting : target.waiting) {
        const Request &request = m_requests.at(waiting.request);
        if (perSecond <= 0)
            perSecond = permittedPerSecond(request, target, now);
        if (perSecond <= 0)
            return;
        const Duration wait(static_cast<Duration::rep>(millisecondsPerSecond * ahead / perSecond));
        const TimePoint startAt = std::max(permitAt, now) + wait;
        const TimePoint latest =
            std::min(request.latestStart + maxLateness, request.deadline - m_options.minTimeLeft);
        if (waiting.responseStarted || startAt <= latest)
            ++ahead;
        else
            refused.emplace_back(waiting.request, startAt);
    }
    for (const auto &[id, startAt] : refused) {
        Request &request = m_requests.at(id);
        addRefusedDemand(request, now);
        refuse(request, ErrorCode::ServersLimited, spreadRetryAfter(request, startAt, now),
               "limited", now, actions);
    }
}

void RequestSystem::requestPermits(TimePoint now)
{
    std::map<ServerRun, std::uint32_t> wanted;
    for (const auto &[key, target] : m_targets) {
        if (target.waiting.empty() || !m_configuration)
            continue;
        const Request &request = m_requests.at(target.waiting.front().request);
        std::vector<std::pair<TimePoint, ServerRun>> limited;
        for (const BackendIndex index :
             m_backends.targets(key.service, key.model, configurationOf(request))) {
            const Backend &backend = *m_backends.find(index);
            const ServerRun run {backend.report.id, m_backends.newestStart(backend.report.id)};
            if (!m_zonesOut.count(backend.report.zone) && now >= backend.pausedUntil
                && !m_permits.mayTake(run, now))
                limited.emplace_back(m_permits.nextAt(run, now), run);
        }
        if (limited.empty())
            continue;
        // The first permits that other nodes may lend, at as many servers as requests wait.
        std::sort(limited.begin(), limited.end());
        limited.resize(std::min(limited.size(), target.waiting.size()));
        const auto each = static_cast<std::uint32_t>((target.waiting.size() + limited.size() - 1)
                                                     / limited.size());
        for (const auto &[at, run] : limited)
            wanted[run] += each;
    }
    m_permits.setWanted(wanted, now);
}

std::vector<LogDecision> RequestSystem::mergeLimits(const LimitNews &news, const NodeId &peer,
                                                    TimePoint now)
{
    std::vector<LogDecision> notes;
    const auto isKnown = [this](const VmId &id) { return m_backends.find(id) != nullptr; };
    for (const LimitChange &change : m_limits.merge(news, isKnown, now)) {
        notes.push_back(limitNote(change));
        notes.back().fields.emplace_back("peer", peer.value());
    }
    return notes;
}

Duration RequestSystem::spreadRetryAfter(const Request &request, TimePoint availableAt,
                                         TimePoint now)
{
    const Duration left = elapsed(now, availableAt);
    const Duration spread = std::max(left / retrySpreadDivisor, minRetrySpread);
    const auto draw = static_cast<Duration::rep>(stableHash(request.arrival.traceId)
                                                 % static_cast<std::uint64_t>(spread.count()));
    return left + Duration(draw);
}

bool RequestSystem::isTooLate(const Request &request, TimePoint now) const
{
    return now > request.latestStart && !request.responseStarted
        && m_configuration->engineOf(request.service);
}

void RequestSystem::dispatch(Request &request, BackendIndex server, TimePoint now,
                             RequestActions &actions)
{
    Backend &backend = *m_backends.find(server);
    DispatchAttempt action = startAttempt(request, backend.report.id, now);
    request.current.serverStartedAt = m_backends.newestStart(backend.report.id);
    request.current.isTrial = m_quarantine.onDispatched(request.parts, now);
    m_backends.onDispatched(backend, now);
    if (m_options.boundsServerMemory) {
        request.current.load = request.load;
        backend.ownTokens += request.load.tokens;
        backend.ownUnsentBytes += request.load.bodyBytes;
    }
    if (!m_limits.empty())
        request.current.permit =
            m_permits.take({request.current.server, request.current.serverStartedAt}, now);
    if (now < backend.coldUntil)
        backend.lastColdDispatchAt = now;
    action.address = backend.report.address;
    action.organisation = request.organisation;
    if (const auto priorities = m_priorities.find(request.service);
        priorities != m_priorities.end())
        action.priority =
            serverPriority(priorities->second, request.priority, request.responseStarted);
    actions.push_back(action);
    actions.push_back(
        LogDecision {request.arrival.traceId,
                     "request_dispatched",
                     {{"server", backend.report.id.value()},
                      {"attempt", std::to_string(request.lastAttempt.value())},
                      {"waited_ms", millisecondsText(elapsed(request.arrivedAt, now))},
                      {"left_ms", millisecondsText(action.timeLeft)},
                      {"running", std::to_string(backend.ownRunning)},
                      {"peers_running", std::to_string(backend.peersRunning)},
                      {"report_age_ms", millisecondsText(elapsed(backend.reportReceivedAt, now))},
                      {"version", std::to_string(m_configuration->version)}}});
}

DispatchAttempt RequestSystem::startAttempt(Request &request, const VmId &server, TimePoint now)
{
    if (request.lastAttempt.value() > request.unsentAttempts)
        retries(request.service).onRetry(now);
    request.lastAttempt = AttemptNumber(request.lastAttempt.value() + 1);
    request.current = Attempt();
    request.current.number = request.lastAttempt;
    request.current.server = server;
    request.current.sentAt = now;
    request.running = true;
    request.lastProgress = now;
    request.readingPaused = false;
    request.stallLogged = false;
    ++request.attemptsUsed;
    DispatchAttempt action;
    action.request = request.arrival.request;
    action.attempt = request.current.number;
    action.server = server;
    action.timeLeft = request.deadline - now;
    action.needsNewConnection = request.lastAttempt.value() > 1;
    action.keepsPrevious = !request.stalled.empty();
    return action;
}

void RequestSystem::releaseServer(const Request &request, const Attempt &attempt)
{
    if (attempt.isForwarded()) {
        if (const auto forwarded = m_forwarded.find(attempt.node);
            forwarded != m_forwarded.end() && --forwarded->second == 0)
            m_forwarded.erase(forwarded);
        return;
    }
    if (Backend *backend = m_backends.find(attempt.server); backend && backend->ownRunning > 0) {
        --backend->ownRunning;
        backend->ownTokens -= std::min(backend->ownTokens, attempt.load.tokens);
        backend->ownUnsentBytes -= std::min(backend->ownUnsentBytes, attempt.load.bodyBytes);
    }
    if (attempt.permit && !attempt.isWritten)
        m_permits.giveBack(*attempt.permit);
    Target &target = m_targets[{request.service, request.arrival.model}];
    ++target.departures;
    target.endedWork += request.work;
}

void RequestSystem::endAttempts(Request &request)
{
    request.running = false;
    releaseServer(request, request.current);
    for (const Attempt &stalled : request.stalled)
        releaseServer(request, stalled);
    request.stalled.clear();
}

void RequestSystem::abandonAttempts(Request &request, RequestActions &actions)
{
    if (!request.running)
        return;
    const RequestId id = request.arrival.request;
    for (const Attempt &stalled : request.stalled)
        actions.emplace_back(AbandonAttempt {id, stalled.number});
    actions.emplace_back(AbandonAttempt {id, request.current.number});
    endAttempts(request);
}

void RequestSystem::finish(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    auto &waiting = m_targets[{found->second.service, found->second.arrival.model}].waiting;
    const auto entry = std::find_if(waiting.begin(), waiting.end(),
                                    [&](const auto &other) { return other.request == id; });
    if (entry != waiting.end())
        waiting.erase(entry);
    if (found->second.arrival.attemptsLeft)
        --m_takenOver;
    m_requests.erase(found);
}

void RequestSystem::refuse(Request &request, ErrorCode code, std::optional<Duration> retryAfter,
                           const char *cause, TimePoint now, RequestActions &actions)
{
    const RequestId id = request.arrival.request;
    const char *event = "request_refused";
    // Only a request that never runs may be refused as not run.
    if (request.grant.mayHaveRun())
        code = code == ErrorCode::DeadlineUnreachable ? ErrorCode::DeadlineExceeded
                                                      : ErrorCode::BackendFailed;
    if (request.responseStarted) {
        event = "answer_broken";
        actions.push_back(BreakResponse {id});
    } else if (request.hasResponse) {
        event = "request_answered";
        actions.push_back(DeliverResponse {id});
    } else {
        RefuseRequest refusal;
        refusal.request = id;
        refusal.code = code;
        refusal.run = request.grant.mayHaveRun() ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
        if (retryAfter && !request.grant.mayHaveRun()) {
            const Duration maxRetryAfter = elapsed(now, request.deadline) / retryAfterDivisor;
            // The end of a quarantine and the next permit do not depend on the caller's deadline.
            const bool isExact = request.deadline == TimePoint()
                || code == ErrorCode::PromptQuarantined || code == ErrorCode::ServersLimited;
            refusal.retryAfter = isExact
                ? std::max(*retryAfter, minRetryAfter)
                : std::clamp(*retryAfter, minRetryAfter, std::max(maxRetryAfter, minRetryAfter));
        }
        actions.push_back(refusal);
    }
    actions.push_back(LogDecision {
        request.arrival.traceId,
        event,
        {{"error", errorName(code)},
         {"cause", cause},
         {"part", wholeName(request)},
         {"route", request.route.value()},
         {"service", request.service.value()},
         {"model", request.arrival.model.value()},
         {"attempts", std::to_string(request.lastAttempt.value())},
         {"may_have_run", request.grant.mayHaveRun() ? "true" : "false"},
         {"age_ms", millisecondsText(elapsed(request.arrivedAt, now))},
         {"version", m_configuration ? std::to_string(m_configuration->version) : "none"},
         {"proof_age_ms", millisecondsText(elapsed(m_proof.provenAt(), now))}}});
    finish(id);
}

void RequestSystem::onCallerDisconnected(RequestId id, TimePoint now, RequestActions &actions)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    recordGivenUp(request, now);
    abandonAttempts(request, actions);
    actions.push_back(LogDecision {request.arrival.traceId,
                                   "caller_gone",
                                   {{"age_ms", millisecondsText(elapsed(request.arrivedAt, now))},
                                    {"server", request.current.server.value()}}});
    finish(id);
}

bool RequestSystem::onCallerInputEnded(RequestId id, TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return false;
    Request &request = found->second;
    // Another node would not know that the caller may have gone.
    if (request.kind != RequestKind::AtMostOnce || !request.running
        || request.current.isForwarded())
        return false;
    request.inputEndedAt = now;
    return true;
}

bool RequestSystem::mayStillSend(RequestId id, AttemptNumber attempt, TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || !found->second.running
        || found->second.current.number != attempt || outlastsStop(found->second, now)
        || found->second.deadline - now < m_options.minTimeLeft)
        return false;
    const std::optional<TimePoint> &inputEndedAt = found->second.inputEndedAt;
    if (inputEndedAt && now - *inputEndedAt > maxWriteDelay)
        return false;
    const Attempt &current = found->second.current;
    if (current.isForwarded())
        return !m_quarantine.quarantinedUntil(found->second.parts, now);
    const Backend *backend = m_backends.find(current.server);
    const bool isPermitted = current.permit
        ? PermitTable::isValid(*current.permit, now)
        : m_permits.mayTake({current.server, current.serverStartedAt}, now);
    return backend && !m_quarantine.quarantinedUntil(found->second.parts, now, current.isTrial)
        && isPermitted && now >= backend->pausedUntil && !m_zonesOut.count(backend->report.zone)
        && m_backends.newestStart(current.server) == current.serverStartedAt
        && m_backends.isServable(*backend, configurationOf(found->second));
}

bool RequestSystem::onWriting(RequestId id, AttemptNumber attempt, TimePoint now)
{
    Request *request = find(id, attempt);
    if (!request || !request->grant.take(attempt, request->mayRepeatRun()))
        return false;
    Attempt &current = request->current;
    current.sentAt = now;
    current.isWritten = true;
    if (current.isForwarded())
        return true;
    if (!current.permit && !m_limits.empty())
        current.permit = m_permits.take({current.server, current.serverStartedAt}, now);
    if (current.permit)
        m_permits.onWritten(*current.permit, now);
    return true;
}

void RequestSystem::releaseUnsent(Attempt &attempt)
{
    if (Backend *backend = m_backends.find(attempt.server))
        backend->ownUnsentBytes -= std::min(backend->ownUnsentBytes, attempt.load.bodyBytes);
    attempt.load.bodyBytes = 0;
}

void RequestSystem::onRequestSent(RequestId id, AttemptNumber attempt)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || !found->second.running)
        return;
    if (found->second.current.number == attempt)
        releaseUnsent(found->second.current);
    for (Attempt &stalled : found->second.stalled) {
        if (stalled.number == attempt)
            releaseUnsent(stalled);
    }
}

void RequestSystem::onServerNotice(RequestId id, AttemptNumber attempt, const ServerNotice &notice,
                                   TimePoint now, RequestActions &actions)
{
    const Request *stalled = findStalled(id, attempt);
    const Request *request = stalled ? stalled : find(id, attempt);
    if (!request)
        return;
    const Attempt &addressed = attemptOf(*request, attempt);
    // Another node's refusals ask nothing of servers.
    if (addressed.isForwarded() && notice.server.value().empty())
        return;
    const ServerRun run = respondingRun(addressed, notice);
    const auto log = [&](LogDecision note) {
        note.traceId = request->arrival.traceId;
        actions.push_back(std::move(note));
    };
    if (notice.leaving && m_backends.markLeaving(run.server, run.startedAt, now))
        log({"",
             "server_leaving",
             {{"server", run.server.value()}, {"started", std::to_string(run.startedAt)}}});
    if (notice.limit && (run.server == addressed.server || m_backends.find(run.server))) {
        if (const auto change = m_limits.onAnswer(run, *notice.limit, addressed.sentAt, now))
            log(limitNote(*change));
    }
    if (notice.pause && *notice.pause > Duration(0) && !addressed.isForwarded()) {
        const TimePoint until = now + *notice.pause + clockResolution;
        m_backends.pause(run.server, until, now);
        log({"",
             "server_paused",
             {{"server", run.server.value()},
              {"started", std::to_string(run.startedAt)},
              {"pause_ms", millisecondsText(*notice.pause)},
              {"until_ms", std::to_string(milliseconds(until))}}});
        dispatchWaiting(m_targets[{request->service, request->arrival.model}], now, actions);
    }
}

ServerRun RequestSystem::respondingRun(const Attempt &addressed, const ServerNotice &notice) const
{
    if (notice.server.value().empty() || notice.server == addressed.server)
        return {addressed.server, addressed.serverStartedAt};
    return {notice.server,
            m_backends.find(notice.server) ? m_backends.newestStart(notice.server)
                                           : std::numeric_limits<std::int64_t>::max()};
}

void RequestSystem::onAnswering(RequestId id, AttemptNumber attempt, TimePoint now,
                                RequestActions &actions)
{
    Request *request = findStalled(id, attempt);
    if (request) {
        const Attempt answering = takeStalled(*request, attempt);
        request->stalled.push_back(std::exchange(request->current, answering));
        request->lastProgress = now;
        request->readingPaused = false;
    } else {
        request = find(id, attempt);
    }
    if (!request)
        return;
    for (const Attempt &ended : std::exchange(request->stalled, {})) {
        releaseServer(*request, ended);
        actions.emplace_back(AbandonAttempt {id, ended.number});
        actions.push_back(LogDecision {request->arrival.traceId,
                                       "attempt_ended",
                                       {{"server", ended.server.value()},
                                        {"attempt", std::to_string(ended.number.value())},
                                        {"answering", request->current.server.value()}}});
    }
}

void RequestSystem::onReadingPaused(RequestId id, AttemptNumber attempt, bool paused, TimePoint now)
{
    if (Request *request = find(id, attempt)) {
        request->readingPaused = paused;
        request->lastProgress = now;
    }
}

void RequestSystem::onStreamStarted(RequestId id, AttemptNumber attempt, TimePoint now)
{
    if (Request *request = find(id, attempt)) {
        request->responseStarted = true;
        request->grant.keep();
        request->lastProgress = now;
    }
}

void RequestSystem::onEventForwarded(RequestId id, AttemptNumber attempt, TimePoint now)
{
    Request *request = find(id, attempt);
    if (!request)
        return;
    if (request->firstEventAt)
        request->longestGap = std::max(request->longestGap, elapsed(request->lastEventAt, now));
    else
        request->firstEventAt = now;
    request->lastEventAt = now;
    if (Backend *backend = m_backends.find(request->current.server)) {
        const auto gap = static_cast<double>(elapsed(request->lastProgress, now).count());
        backend->eventGapMs = backend->eventGapMs > 0
            ? backend->eventGapMs + gapSmoothing * (gap - backend->eventGapMs)
            : gap;
        m_backends.onProgress(*backend, now);
    }
    request->lastProgress = now;
    request->stallLogged = false;
    Attempt &current = request->current;
    if (!current.firstEventAt)
        current.firstEventAt = now;
    if (!current.isKnownSound && now - *current.firstEventAt >= soundWritingTime) {
        m_quarantine.onSound(partsAtStake(*request, current), now);
        current.isKnownSound = true;
    }
}

void RequestSystem::onResumingRuledOut(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second.kind == RequestKind::ResumableStream)
        found->second.kind = RequestKind::Stream;
}

void RequestSystem::onRepeatingRuledOut(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second.mayRepeatRun())
        found->second.kind = RequestKind::Stream;
}

bool RequestSystem::mayRepeatRun(RequestId id) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.mayRepeatRun();
}

void RequestSystem::onStreamEnded(RequestId id, AttemptNumber attempt, TimePoint now,
                                  RequestActions &actions, ResponseEnd end)
{
    Request *request = find(id, attempt);
    if (!request)
        return;
    recordEnd(*request, request->current, end, now);
    const TargetKey key {request->service, request->arrival.model};
    endAttempts(*request);
    actions.push_back(LogDecision {
        request->arrival.traceId,
        "request_answered",
        {{"server", request->current.server.value()},
         {"attempts", std::to_string(request->lastAttempt.value())},
         {"first_event_ms",
          millisecondsText(elapsed(request->arrivedAt, request->firstEventAt.value_or(now)))},
         {"longest_gap_ms", millisecondsText(request->longestGap)},
         {"age_ms", millisecondsText(elapsed(request->arrivedAt, now))}}});
    finish(id);
    dispatchWaiting(m_targets[key], now, actions);
}

void RequestSystem::onResponse(RequestId id, AttemptNumber attempt, int status, TimePoint now,
                               RequestActions &actions, ResponseEnd end)
{
    Request *stalled = findStalled(id, attempt);
    Request *request = stalled ? stalled : find(id, attempt);
    if (!request)
        return;
    if (!request->mayRepeatRun() && statesNotRun(status)) {
        // Nothing shows that it has not run, so that its caller must not send it again.
        onAttemptFailed(id, attempt, AttemptFailure::Unusable, VmId(), now, actions);
        return;
    }
    if (status < minServerErrorStatus)
        recordEnd(*request, attemptOf(*request, attempt), end, now);
    const TargetKey key {request->service, request->arrival.model};
    const VmId server = attemptOf(*request, attempt).server;
    if (Backend *backend = m_backends.find(server))
        m_backends.onProgress(*backend, now);
    request->hasResponse = true;
    request->grant.keep();
    // Another node has made the repeats that are permitted itself.
    const bool mayRetry = status >= minServerErrorStatus
        && !attemptOf(*request, attempt).isForwarded()
        && (request->kind == RequestKind::Repeatable
            || (request->kind == RequestKind::ResumableStream && !request->responseStarted));
    if (mayRetry) {
        addTried(*request, server);
        if (stalled) {
            releaseServer(*request, takeStalled(*request, attempt));
            actions.emplace_back(AbandonAttempt {id, attempt});
        } else if (!request->stalled.empty()) {
            returnToStalled(*request, "server_error", now, actions);
        } else {
            endAttempts(*request);
            retryOrEnd(*request, true, "server_error", now, actions);
        }
    } else {
        onAnswering(id, attempt, now, actions);
        endAttempts(*request);
        actions.push_back(DeliverResponse {id});
        actions.push_back(
            LogDecision {request->arrival.traceId,
                         "request_answered",
                         {{"server", request->current.server.value()},
                          {"status", std::to_string(status)},
                          {"age_ms", millisecondsText(elapsed(request->arrivedAt, now))}}});
        finish(id);
    }
    dispatchWaiting(m_targets[key], now, actions);
}

void RequestSystem::recordBreak(const Request &request, const Attempt &attempt, TimePoint now)
{
    const PromptParts parts = partsAtStake(request, attempt);
    if (!parts.empty() && !attempt.isForwarded())
        m_quarantine.onBroken(parts, {attempt.server, attempt.serverStartedAt}, request.identity,
                              now);
}

PromptParts RequestSystem::partsAtStake(const Request &request, const Attempt &attempt)
{
    PromptParts parts = request.parts;
    std::erase_if(parts,
                  [&](PromptPart part) { return isLateBreak(part) != attempt.isKnownSound; });
    return parts;
}

std::string RequestSystem::wholeName(const Request &request)
{
    const bool isKnown = !request.parts.empty() && isWholeRequest(request.parts.back());
    return isKnown ? partName(request.parts.back()) : "none";
}

void RequestSystem::recordGivenUp(const Request &request, TimePoint now)
{
    if (!request.running || request.parts.empty())
        return;
    std::vector<Attempt> attempts = request.stalled;
    attempts.push_back(request.current);
    for (const Attempt &attempt : attempts) {
        const Backend *backend = m_backends.find(attempt.server);
        const PromptParts parts = partsAtStake(request, attempt);
        if (!attempt.isWritten || parts.empty() || attempt.isForwarded())
            continue;
        m_quarantine.onDoubtfulEnd(
            parts, {attempt.server, attempt.serverStartedAt}, request.identity, now,
            ResponseEnd::None,
            std::max(attempt.sentAt, backend ? backend->lastProgress : attempt.sentAt));
    }
}

void RequestSystem::recordEnd(const Request &request, const Attempt &attempt, ResponseEnd end,
                              TimePoint now)
{
    const PromptParts parts =
        end == ResponseEnd::Framed ? request.parts : partsAtStake(request, attempt);
    if (parts.empty() || attempt.isForwarded())
        return;
    const bool isLong = attempt.firstEventAt && now - *attempt.firstEventAt >= soundWritingTime;
    if (end == ResponseEnd::Framed && isLong)
        m_quarantine.onSound(parts, now, !attempt.isKnownSound);
    else
        m_quarantine.onDoubtfulEnd(parts, {attempt.server, attempt.serverStartedAt},
                                   request.identity, now, end);
}

void RequestSystem::refuseQuarantined(Request &request, TimePoint now, RequestActions &actions)
{
    const std::optional<TimePoint> until = m_quarantine.quarantinedUntil(request.parts, now);
    refuse(request, ErrorCode::PromptQuarantined, until.value_or(now) - now,
           request.grant.mayHaveRun() ? "repeat_quarantined" : "quarantined", now, actions);
}

void RequestSystem::applyQuarantines(TimePoint now, RequestActions &actions)
{
    const std::vector<QuarantineDecision> decisions = m_quarantine.tick(now);
    for (const PromptPart part : m_quarantine.takeSuspected())
        actions.push_back(LogDecision {"", "request_suspected", {{"part", partName(part)}}});
    if (decisions.empty())
        return;
    for (const QuarantineDecision &decision : decisions) {
        actions.push_back(LogDecision {
            "",
            isWholeRequest(decision.part) ? "request_quarantined" : "prompt_part_quarantined",
            {{"part", partName(decision.part)},
             {"left_ms", millisecondsText(decision.quarantine.timeLeft)},
             {"times", std::to_string(decision.quarantine.times)},
             {"runs", std::to_string(decision.runs)},
             {"requests", std::to_string(decision.requests)},
             {"decided_by", decision.runs > 0 ? "this_node" : "other_node"}}});
        if (m_onQuarantined && decision.runs > 0)
            m_onQuarantined(decision);
    }
    std::vector<RequestId> affected;
    for (const auto &[id, request] : m_requests) {
        const bool isAnswered = request.responseStarted || request.hasResponse;
        if (!isAnswered && m_quarantine.quarantinedUntil(request.parts, now, true))
            affected.push_back(id);
    }
    for (const RequestId id : affected) {
        Request &request = m_requests.at(id);
        // Its server has not begun to answer, so that it may still be spared.
        if (request.running)
            request.grant.keep();
        abandonAttempts(request, actions);
        refuseQuarantined(request, now, actions);
    }
}

void RequestSystem::suspectAfterFailure(const Attempt &attempt, AttemptFailure failure,
                                        const VmId &faultyServer, TimePoint now)
{
    Backend *backend = m_backends.find(attempt.server);
    const bool isAtFault =
        failure != AttemptFailure::Withdrawn && failure != AttemptFailure::Paused;
    if (backend && failure == AttemptFailure::Unsent) {
        backend->unreachableAt = now;
        m_backends.suspect(*backend, Suspicion::Silence, m_options.silenceSuspicionTime, now);
    } else if (backend && isAtFault) {
        m_backends.suspect(*backend, Suspicion::Failure, m_options.failureSuspicionTime, now);
    }
    if (Backend *faulty = m_backends.find(faultyServer))
        m_backends.suspect(*faulty, Suspicion::Silence, m_options.silenceSuspicionTime, now);
}

void RequestSystem::onAttemptFailed(RequestId id, AttemptNumber attempt, AttemptFailure failure,
                                    const VmId &faultyServer, TimePoint now,
                                    RequestActions &actions)
{
    if (Request *request = findStalled(id, attempt)) {
        const Attempt failed = takeStalled(*request, attempt);
        suspectAfterFailure(failed, failure, faultyServer, now);
        if (failure == AttemptFailure::Broken)
            recordBreak(*request, failed, now);
        releaseServer(*request, failed);
        actions.emplace_back(AbandonAttempt {id, attempt});
        return;
    }
    Request *request = find(id, attempt);
    if (!request)
        return;
    const bool isClosed = failure == AttemptFailure::Misdirected
        && closeGroup(*request, request->current, now, actions);
    if (failure != AttemptFailure::Withdrawn && !isClosed)
        addTried(*request, request->current.server);
    if (!isClosed)
        suspectAfterFailure(request->current, failure, faultyServer, now);
    const Backend *backend = m_backends.find(request->current.server);
    const bool isOfNode = request->current.isForwarded();
    const bool isServerUnlisted = !isOfNode && (!backend || backend->listing != Listing::Listed);
    bool mayRetry = true;
    const char *cause = "broken";
    if (request->grant.isHeldBy(attempt)
        && (failure == AttemptFailure::Unsent || failure == AttemptFailure::Withdrawn))
        failure = AttemptFailure::Broken;
    switch (failure) {
    case AttemptFailure::Unsent:
        cause = "unsent";
        ++request->unsentAttempts;
        --request->attemptsUsed;
        break;
    case AttemptFailure::Withdrawn:
        cause = "withdrawn";
        ++request->unsentAttempts;
        --request->attemptsUsed;
        break;
    case AttemptFailure::NotExecuted:
    case AttemptFailure::Paused:
        cause = failure == AttemptFailure::Paused ? "paused" : "not_executed";
        request->grant.giveBack(attempt);
        if (isOfNode) { // No server had it.
            ++request->unsentAttempts;
            --request->attemptsUsed;
        }
        break;
    case AttemptFailure::Misdirected:
        cause = "misdirected";
        request->grant.giveBack(attempt);
        --request->attemptsUsed;
        break;
    case AttemptFailure::Unusable:
        cause = "unusable";
        [[fallthrough]];
    case AttemptFailure::Broken:
        if (failure == AttemptFailure::Broken)
            recordBreak(*request, request->current, now);
        request->grant.keep();
        mayRetry = request->mayRepeatRun();
        if (isServerUnlisted && failure == AttemptFailure::Broken)
            --request->attemptsUsed;
        break;
    }
    if (!request->stalled.empty()) {
        returnToStalled(*request, cause, now, actions);
        return;
    }
    endAttempts(*request);
    retryOrEnd(*request, mayRetry, cause, now, actions);
}

void RequestSystem::returnToStalled(Request &request, const char *cause, TimePoint now,
                                    RequestActions &actions)
{
    const Attempt failed = request.current;
    request.current = request.stalled.back();
    request.stalled.pop_back();
    request.lastProgress = now;
    request.readingPaused = false;
    request.stallLogged = false;
    releaseServer(request, failed);
    actions.emplace_back(AbandonAttempt {request.arrival.request, failed.number});
    actions.push_back(LogDecision {request.arrival.traceId,
                                   "attempt_resumed",
                                   {{"cause", cause},
                                    {"failed", failed.server.value()},
                                    {"server", request.current.server.value()},
                                    {"attempt", std::to_string(request.current.number.value())}}});
}

bool RequestSystem::closeGroup(const Request &request, const Attempt &attempt, TimePoint now,
                               RequestActions &actions)
{
    const Backend *backend = m_backends.find(attempt.server);
    if (!backend || backend->report.startedAt != attempt.serverStartedAt
        || request.arrival.expectsVersion || !m_configuration->engineOf(request.service))
        return false;
    if (m_backends.closeGroup(*backend, now)) {
        m_hasNewClosedGroup = true;
        actions.push_back(LogDecision {request.arrival.traceId,
                                       "group_closed",
                                       {{"server", attempt.server.value()},
                                        {"group", backend->report.group.name.value()},
                                        {"cause", "misdirected"}}});
    }
    return !backend->report.group.name.value().empty();
}

void RequestSystem::addTried(Request &request, const VmId &server)
{
    if (std::find(request.tried.begin(), request.tried.end(), server) == request.tried.end())
        request.tried.push_back(server);
}

bool RequestSystem::mayRepeat(const Request &request, TimePoint now)
{
    return (request.mayRepeatRun() || !request.grant.mayHaveRun()) && !request.inputEndedAt
        && request.attemptsUsed < request.maxAttempts && request.tried.size() < maxServersTried
        && request.deadline - now >= m_options.minTimeLeft
        && !m_quarantine.quarantinedUntil(request.parts, now)
        && (request.lastAttempt.value() <= request.unsentAttempts
            || retries(request.service).permitsRetry(m_nodes.count, now));
}

void RequestSystem::retryOrEnd(Request &request, bool mayRetry, const char *cause, TimePoint now,
                               RequestActions &actions)
{
    if (outlastsStop(request, now)) {
        refuse(request, ErrorCode::NoCapacity, minRetryAfter, "stopping", now, actions);
        return;
    }
    const TargetKey key {request.service, request.arrival.model};
    const TargetChoice choice = chooseTarget(m_backends, choiceInput(request, now), now);
    const bool isPaused =
        choice.outcome == TargetChoice::Outcome::Paused && !request.responseStarted;
    // A response that has begun may wait for a server, since its caller has no other way to get the
    // rest.
    const bool servable =
        request.responseStarted || (choice.outcome != TargetChoice::Outcome::None && !isPaused);
    if (mayRetry && mayRepeat(request, now) && servable) {
        actions.push_back(
            LogDecision {request.arrival.traceId,
                         "request_retried",
                         {{"cause", cause},
                          {"server", request.current.server.value()},
                          {"part", wholeName(request)},
                          {"attempts", std::to_string(request.lastAttempt.value())}}});
        enqueue(request, now);
        dispatchWaiting(m_targets[key], now, actions);
        return;
    }
    if (m_quarantine.quarantinedUntil(request.parts, now)) {
        refuseQuarantined(request, now, actions);
        return;
    }
    const Duration retryAfter = isPaused ? spreadRetryAfter(request, choice.availableAt, now)
                                         : m_options.defaultRetryAfter / 2;
    refuse(request, ErrorCode::NoCapacity, retryAfter, cause, now, actions);
}

bool RequestSystem::isStalled(const Request &request, TimePoint now) const
{
    if (request.readingPaused)
        return false;
    if (request.current.isForwarded())
        return now - request.lastProgress > nodeStallTimeout;
    const Backend *backend = m_backends.find(request.current.server);
    if (!backend)
        return now - request.lastProgress > m_options.streamStallTimeout;
    // A stream may be queued behind long prompts before its first event. The short timeout for
    // pauses between events applies before that event only if the server is already suspected.
    const bool isBetweenEvents = request.current.firstEventAt || now < backend->suspectUntil;
    const Duration silenceTimeout =
        isBetweenEvents ? m_options.streamStallTimeout : m_options.firstEventTimeout;
    return now - std::max(request.lastProgress, backend->lastProgress) > silenceTimeout;
}

void RequestSystem::replaceStalled(Request &request, TimePoint now, RequestActions &actions)
{
    if (Backend *backend = m_backends.find(request.current.server))
        m_backends.suspect(*backend, Suspicion::Silence, m_options.silenceSuspicionTime, now);
    ChoiceInput input = choiceInput(request, now);
    std::vector<VmId> avoided = request.tried;
    avoided.push_back(request.current.server);
    input.tried = &avoided;
    const TargetChoice choice = chooseTarget(m_backends, input, now);
    const PeerNode *peer = mustForward(request) ? choosePeer(request) : nullptr;
    const bool hasOther = peer
        || (choice.outcome == TargetChoice::Outcome::Chosen
            && now >= m_backends.find(choice.server)->suspectUntil);
    const bool replaced = hasOther && mayRepeat(request, now);
    if (replaced || !request.stallLogged) {
        actions.push_back(
            LogDecision {request.arrival.traceId,
                         "attempt_stalled",
                         {{"server", request.current.server.value()},
                          {"attempt", std::to_string(request.current.number.value())},
                          {"silent_ms", millisecondsText(elapsed(request.lastProgress, now))},
                          {"replaced", replaced ? "true" : "false"},
                          {"other_server", hasOther ? "true" : "false"}}});
        request.stallLogged = true;
    }
    if (!replaced)
        return;
    request.grant.keep();
    addTried(request, request.current.server);
    request.stalled.push_back(request.current);
    if (peer)
        forward(request, *peer, now, actions);
    else
        dispatch(request, choice.server, now, actions);
}

void RequestSystem::checkDeadlines(TimePoint now, RequestActions &actions)
{
    std::vector<RequestId> expired;
    std::vector<RequestId> silent;
    for (const auto &[id, request] : m_requests) {
        // Served late ones are given up by reviewWaiting().
        const bool waitsTooLong = !servesLate() && !request.running && !request.responseStarted
            && now > request.latestStart + maxLateness;
        if (now >= request.deadline || waitsTooLong) {
            expired.push_back(id);
        } else if (request.running && request.kind == RequestKind::ResumableStream
                   && isStalled(request, now)) {
            silent.push_back(id);
        }
    }
    for (const RequestId id : expired) {
        Request &request = m_requests.at(id);
        if (request.running)
            request.grant.keep();
        recordGivenUp(request, now);
        abandonAttempts(request, actions);
        const char *cause = request.cutByStop > Duration(0) ? "stopped" : "deadline";
        refuse(request, ErrorCode::DeadlineUnreachable, m_options.defaultRetryAfter, cause, now,
               actions);
    }
    for (const RequestId id : silent)
        replaceStalled(m_requests.at(id), now, actions);
}

void RequestSystem::tick(TimePoint now, RequestActions &actions)
{
    if (now - m_ratesAt >= rateInterval)
        updateRates(now);
    if (m_stopDeadline)
        refuseOutlasting(now, actions);
    m_backends.expireClosedGroups(now);
    checkLinks(now, actions);
    const bool isReviewDue = servesLate() && now - m_deadlinesAt >= deadlineInterval;
    for (auto &[key, target] : m_targets) {
        if (servesLate() && m_configuration && !target.waiting.empty())
            target.lateBudget.refill(startRates(key, target).sparePerSecond, now);
        dispatchWaiting(target, now, actions);
        if (isReviewDue)
            reviewWaiting(key, target, now, actions);
    }
    if (!m_limits.empty())
        requestPermits(now);
    if (now - m_prunedAt >= pruneInterval) {
        m_prunedAt = now;
        m_limits.prune([this](const VmId &id) { return m_backends.find(id) != nullptr; }, now);
        m_permits.prune(now);
        // Callers choose the names of models.
        std::erase_if(m_targets, [](const auto &entry) {
            const Target &target = entry.second;
            return target.waiting.empty() && target.departures == 0
                && target.departuresPerSecond < minTrackedRate;
        });
        m_backends.pruneTargets();
    }
    if (m_stopDeadline && now >= *m_stopDeadline && !m_openAtStopLogged)
        logOpenAtStop(now, actions);
    if (now - m_deadlinesAt >= deadlineInterval) {
        m_deadlinesAt = now;
        applyQuarantines(now, actions);
        checkDeadlines(now, actions);
    }
}

} // namespace bramleypitch
