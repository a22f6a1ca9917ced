#include "request/target_choice.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <limits>

namespace bramleypitch {

namespace {

/// Load, as a share of the slots, that a server of another zone must be ahead by: traffic between
/// zones is paid for and takes longer.
constexpr double otherZoneCost = 0.08;
/// Share of the slots by which servers are told apart at random: what a node's peers may have sent
/// since they last said so, and at most.
constexpr double spreadPerNode = 0.01;
constexpr double mostSpread = 0.4;
/// A plain server queues a few requests itself; its slots are few and its calls short.
constexpr std::uint32_t plainQueueFactor = 2;
/// Slots of a server that does not tell them.
constexpr std::uint32_t unknownSlots = 4;
/// With so many nodes or fewer, each hears of the others' requests several times a second.
constexpr std::uint32_t fewNodes = 12;
/// Servers that one of many nodes looks at for a request: of its own zone, of whose requests it
/// hears soon, and of the others.
constexpr std::size_t nearLooks = 4;
constexpr std::size_t farLooks = 2;
/// With many nodes those of other zones leave a server that has just opened alone for so long: by
/// then they have heard what its own zone sent there.
constexpr Duration openToFarAfter {600};
/// In so long after it opened a server is filled step by step.
constexpr Duration fillTime {1'000};
/// Pause after which a server with requests of this node counts as standing still for new ones.
constexpr Duration quietAfter {400};
/// A stream's pauses may be so many times those of its peers before the server counts as slow.
constexpr double slowFactor = 1.5;

double medianGap(const BackendTable &backends, const std::vector<BackendIndex> &servers)
{
    std::vector<double> gaps;
    for (const BackendIndex index : servers) {
        const double gap = backends.find(index)->gapMs;
        if (gap > 0)
            gaps.push_back(gap);
    }
    if (gaps.empty())
        return 0;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

/// How far a server is trusted with a request: a lower one goes before all higher ones.
enum class Standing { Good, Suspect, Tried };

/// A server that could take the request.
struct Candidate
{
    BackendIndex index;
    Standing standing = Standing::Good;
    bool isNear = false; ///< In the node's own zone.
    double cost = 0;
    std::uint64_t draw = 0; ///< Differs by request; the same on all nodes.
};

Standing standingOf(const Backend &backend, bool tried, TimePoint now)
{
    if (tried)
        return Standing::Tried;
    const bool isQuiet = backend.ownRunning > 0
        && now - std::max(backend.lastProgress, backend.ownRunningSince) > quietAfter;
    return isQuiet || now < backend.suspectUntil ? Standing::Suspect : Standing::Good;
}

/// Requests of all nodes together that a server is given now. Requests that wait everywhere would
/// all come to one that has just opened, and their prompts keep each other waiting.
std::uint32_t roomOf(const Backend &backend, const ChoiceInput &input, TimePoint now)
{
    const std::uint32_t limit = concurrencyLimit(backend, *input.configuration);
    const Duration open = now - backend.openSince;
    if (input.nodes.count <= fewNodes || open >= fillTime)
        return limit;
    if (backend.report.zone != input.ownZone && open < openToFarAfter)
        return 0;
    const auto share = static_cast<double>(open.count()) / static_cast<double>(fillTime.count());
    return std::max(static_cast<std::uint32_t>(share * limit), 1U);
}

void keepBestStanding(std::vector<Candidate> &candidates)
{
    Standing best = Standing::Tried;
    for (const Candidate &candidate : candidates)
        best = std::min(best, candidate.standing);
    std::erase_if(candidates, [&](const auto &candidate) { return candidate.standing != best; });
}

/// Keeps a few candidates of the own zone and of the others, by the request's draw.
void drawFew(std::vector<Candidate> &candidates)
{
    const auto far = std::partition(candidates.begin(), candidates.end(),
                                    [](const Candidate &candidate) { return candidate.isNear; });
    const auto keep = [](auto first, auto last, std::size_t most) {
        const auto end =
            first + std::min(std::distance(first, last), static_cast<std::ptrdiff_t>(most));
        std::partial_sort(first, end, last,
                          [](const auto &a, const auto &b) { return a.draw > b.draw; });
        return end;
    };
    const auto nearEnd = keep(candidates.begin(), far, nearLooks);
    const auto farEnd = keep(far, candidates.end(), farLooks);
    const auto end = std::move(far, farEnd, nearEnd);
    candidates.erase(end, candidates.end());
}

/// Nodes learn of each other's requests with a delay. Without this all would meet at the server
/// that was the least loaded a moment ago.
double spread(const ChoiceInput &input, std::uint64_t draw)
{
    const double most = std::min(mostSpread, spreadPerNode * input.nodes.count);
    return most * static_cast<double>(draw)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::uint32_t slotsOf(const Backend &backend, const ServingConfiguration &configuration)
{
    const EngineSpec *engine = configuration.engineOf(backend.report.service);
    if (engine)
        return std::max<std::uint32_t>(engine->slots, 1);
    return backend.report.slots > 0 ? backend.report.slots : unknownSlots;
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
    const double usualGap = medianGap(backends, servers);
    const auto service = input.configuration->services.find(input.service);
    std::vector<Candidate> candidates;
    for (const BackendIndex index : servers) {
        const Backend &backend = *backends.find(index);
        if (input.zonesOut->count(backend.report.zone))
            continue;
        choice.outcome = TargetChoice::Outcome::Full;
        const std::uint32_t running = backend.ownRunning + backend.peersRunning;
        if (running >= roomOf(backend, input, now))
            continue;
        if (service != input.configuration->services.end()
            && !hasColdTurn(backend, service->second, input.nodes, now))
            continue;
        const bool tried = input.tried
            && std::find(input.tried->begin(), input.tried->end(), backend.report.id)
                != input.tried->end();
        if (tried && now < backend.suspectUntil)
            continue;
        Candidate candidate;
        candidate.index = index;
        candidate.standing = standingOf(backend, tried, now);
        candidate.isNear = backend.report.zone == input.ownZone;
        candidate.cost = (running + 1.0) / slotsOf(backend, *input.configuration);
        if (usualGap > 0 && backend.gapMs > slowFactor * usualGap)
            candidate.cost *= backend.gapMs / usualGap;
        if (!candidate.isNear)
            candidate.cost += otherZoneCost;
        candidate.draw = rendezvousWeight(input.traceId, backend.report.id.value());
        candidate.cost += spread(input, candidate.draw);
        candidates.push_back(candidate);
    }
    keepBestStanding(candidates);
    if (input.nodes.count > fewNodes)
        drawFew(candidates);
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
