#include "request/target_choice.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <limits>

namespace bramleypitch {

namespace {

/// Cost of a server in another zone, as a share of its slots. Traffic between zones is charged and
/// takes longer.
constexpr double otherZoneCost = 0.08;
/// Random addition to the cost of a server for each node, as a share of its slots, and its maximum.
/// It covers the requests that other nodes may have sent since their last report.
constexpr double spreadPerNode = 0.01;
constexpr double maxSpread = 0.4;
/// A plain server gets this many requests per slot. It queues a few requests itself: it has few
/// slots, and its calls are short.
constexpr std::uint32_t plainQueueFactor = 2;
/// Assumed number of slots of a server that does not report any.
constexpr std::uint32_t defaultSlots = 4;
/// Up to this many nodes are considered few. In that case each of them receives the request counts
/// of the others several times a second.
constexpr std::uint32_t maxFullScanNodes = 12;
/// With many nodes, the number of servers that each considers for a request. A node considers more
/// servers of its own zone, because it learns of the requests sent from there sooner.
constexpr std::size_t ownZoneCandidates = 4;
constexpr std::size_t otherZoneCandidates = 2;
/// With many nodes, the nodes of other zones send nothing to a server for this time after it
/// opened. After that they know the requests that nodes in its own zone sent to it.
constexpr Duration otherZoneDelay {600};
/// The limit of a server increases gradually to its full value in this time after a pause and, with
/// many nodes, after it opened.
constexpr Duration rampUpTime {1'000};
/// A server with requests of this node counts as suspected for new requests after this time without
/// progress.
constexpr Duration stallTimeout {400};
/// A server counts as slow if the pauses between its events exceed the median by this factor.
constexpr double slowFactor = 1.5;

double medianGap(const BackendTable &backends, const std::vector<BackendIndex> &servers)
{
    std::vector<double> gaps;
    for (const BackendIndex index : servers) {
        const double gap = backends.find(index)->eventGapMs;
        if (gap > 0)
            gaps.push_back(gap);
    }
    if (gaps.empty())
        return 0;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

/// Reliability class of a server for a request. Lower classes are preferred to all higher ones.
enum class Reliability { Good, Suspect, Tried };

/// A server that can take the request.
struct Candidate
{
    BackendIndex index;
    Reliability reliability = Reliability::Good;
    bool isOwnZone = false; ///< The server is in the zone of this node.
    double cost = 0;
    std::uint64_t draw = 0; ///< Pseudo-random value for the request and server, same on all nodes.
};

Reliability reliabilityOf(const Backend &backend, bool tried, TimePoint now)
{
    if (tried)
        return Reliability::Tried;
    const bool isStalled = backend.ownRunning > 0
        && now - std::max(backend.lastProgress, backend.ownRunningSince) > stallTimeout;
    return isStalled || now < backend.suspectUntil ? Reliability::Suspect : Reliability::Good;
}

/// Maximum number of concurrent requests on a server at present, of all nodes together. Without the
/// gradual increase, requests that wait on all nodes would go to a server as soon as it opens, and
/// their prefills would delay each other.
std::uint32_t currentLimit(const Backend &backend, const ChoiceInput &input, TimePoint now)
{
    const std::uint32_t limit = concurrencyLimit(backend, *input.configuration);
    const Duration open = now - backend.openedAt;
    if (input.nodes.count <= maxFullScanNodes || open >= rampUpTime)
        return limit;
    if (backend.report.zone != input.ownZone && open < otherZoneDelay)
        return 0;
    const auto share = static_cast<double>(open.count()) / static_cast<double>(rampUpTime.count());
    return std::max(static_cast<std::uint32_t>(share * limit), 1U);
}

/// Whether a server that has asked this node for a pause has as many of its requests as it gets at
/// this time after the pause. The limit increases gradually, as requests may have waited for its
/// end.
bool isReturningFromPause(const Backend &backend, const ChoiceInput &input, TimePoint now)
{
    const Duration sincePause = now - backend.pausedUntil;
    if (sincePause >= rampUpTime)
        return false;
    const auto share =
        static_cast<double>(sincePause.count()) / static_cast<double>(rampUpTime.count());
    const double limit = share * concurrencyLimit(backend, *input.configuration);
    return backend.ownRunning >= std::max(limit, 1.0);
}

/// Whether a server has memory for the request, as far as that is bounded.
bool hasMemory(const Backend &backend, const ChoiceInput &input)
{
    if (!input.load)
        return true;
    const EngineSpec *engine = input.configuration->engineOf(backend.report.service);
    return (!engine || hasMemoryFor(backend, *engine, input.load->tokens))
        && mayBeSent(backend, input.load->bodyBytes, input.maxUnsentBytes);
}

void keepMostReliable(std::vector<Candidate> &candidates)
{
    Reliability best = Reliability::Tried;
    for (const Candidate &candidate : candidates)
        best = std::min(best, candidate.reliability);
    std::erase_if(candidates, [&](const auto &candidate) { return candidate.reliability != best; });
}

/// Reduces the candidates to a few in this node's zone and a few in other zones, by their draw.
void sampleCandidates(std::vector<Candidate> &candidates)
{
    const auto otherZones =
        std::partition(candidates.begin(), candidates.end(),
                       [](const Candidate &candidate) { return candidate.isOwnZone; });
    const auto keep = [](auto first, auto last, std::size_t maximum) {
        const auto end =
            first + std::min(std::distance(first, last), static_cast<std::ptrdiff_t>(maximum));
        std::partial_sort(first, end, last,
                          [](const auto &a, const auto &b) { return a.draw > b.draw; });
        return end;
    };
    const auto ownZoneEnd = keep(candidates.begin(), otherZones, ownZoneCandidates);
    const auto otherZonesEnd = keep(otherZones, candidates.end(), otherZoneCandidates);
    const auto end = std::move(otherZones, otherZonesEnd, ownZoneEnd);
    candidates.erase(end, candidates.end());
}

/// Random addition to the cost of a server. Nodes learn of each other's requests with a delay, and
/// would otherwise all choose the server that was the least loaded at the last report.
double spread(const ChoiceInput &input, std::uint64_t draw)
{
    const double maximum = std::min(maxSpread, spreadPerNode * input.nodes.count);
    return maximum * static_cast<double>(draw)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Records why a server cannot take the request now, and until when. That it is full is recorded by
/// the caller, and replaces any other reason.
void unavailable(TargetChoice &choice, TargetChoice::Outcome reason, TimePoint until)
{
    if (choice.outcome == TargetChoice::Outcome::Full)
        return;
    choice.availableAt =
        choice.outcome == TargetChoice::Outcome::None ? until : std::min(choice.availableAt, until);
    if (choice.outcome != TargetChoice::Outcome::Limited)
        choice.outcome = reason;
}

std::uint32_t slotsOf(const Backend &backend, const ServingConfiguration &configuration)
{
    const EngineSpec *engine = configuration.engineOf(backend.report.service);
    if (engine)
        return std::max<std::uint32_t>(engine->slots, 1);
    return backend.report.slots > 0 ? backend.report.slots : defaultSlots;
}

} // namespace

std::uint32_t concurrencyLimit(const Backend &backend, const ServingConfiguration &configuration)
{
    const std::uint32_t slots = slotsOf(backend, configuration);
    return configuration.engineOf(backend.report.service) ? slots : slots * plainQueueFactor;
}

TargetChoice chooseTarget(BackendTable &backends, const ChoiceInput &input, TimePoint now)
{
    TargetChoice choice;
    const std::vector<BackendIndex> &servers =
        backends.targets(input.service, input.model, *input.configuration);
    const double typicalGap = medianGap(backends, servers);
    const auto service = input.configuration->services.find(input.service);
    std::vector<Candidate> candidates;
    for (const BackendIndex index : servers) {
        const Backend &backend = *backends.find(index);
        if (input.zonesOut->count(backend.report.zone))
            continue;
        if (now < backend.pausedUntil) {
            unavailable(choice, TargetChoice::Outcome::Paused, backend.pausedUntil);
            continue;
        }
        const ServerRun run = input.permits
            ? ServerRun {backend.report.id, backends.newestStart(backend.report.id)}
            : ServerRun();
        if (input.permits && !input.permits->mayTake(run, now)) {
            if (choice.outcome != TargetChoice::Outcome::Full)
                unavailable(choice, TargetChoice::Outcome::Limited,
                            input.permits->nextAt(run, now));
            continue;
        }
        choice.outcome = TargetChoice::Outcome::Full;
        if (isReturningFromPause(backend, input, now))
            continue;
        const std::uint32_t running = backend.ownRunning + backend.peersRunning;
        if (running + input.assumedRunning
            >= input.maxUtilization * currentLimit(backend, input, now))
            continue;
        if (service != input.configuration->services.end()
            && !mayDispatchToCold(backend, service->second, input.nodes, now))
            continue;
        if (!hasMemory(backend, input)) {
            choice.lacksMemory = true;
            continue;
        }
        const bool tried = input.tried
            && std::find(input.tried->begin(), input.tried->end(), backend.report.id)
                != input.tried->end();
        if (tried && now < backend.suspectUntil)
            continue;
        Candidate candidate;
        candidate.index = index;
        candidate.reliability = reliabilityOf(backend, tried, now);
        candidate.isOwnZone = backend.report.zone == input.ownZone;
        candidate.cost = (running + 1.0) / slotsOf(backend, *input.configuration);
        if (typicalGap > 0 && backend.eventGapMs > slowFactor * typicalGap)
            candidate.cost *= backend.eventGapMs / typicalGap;
        if (!candidate.isOwnZone)
            candidate.cost += otherZoneCost;
        candidate.draw = rendezvousWeight(input.traceId, backend.report.id.value());
        candidate.cost += spread(input, candidate.draw);
        candidates.push_back(candidate);
    }
    keepMostReliable(candidates);
    if (input.nodes.count > maxFullScanNodes)
        sampleCandidates(candidates);
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const auto &a, const auto &b) { return a.cost < b.cost; });
    if (best != candidates.end()) {
        choice.outcome = TargetChoice::Outcome::Chosen;
        choice.server = best->index;
    }
    return choice;
}

} // namespace bramleypitch
