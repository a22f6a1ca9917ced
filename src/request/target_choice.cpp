#include "request/target_choice.h"

#include "core/rendezvous_func.h"

#include <algorithm>
#include <limits>

namespace bramleypitch {

namespace {

/// Load, as a share of the slots, that a server of another zone must be ahead by: traffic between
/// zones is paid for and takes longer.
constexpr double otherZoneCost = 0.08;
/// Above any load, so that suspects come after all others.
constexpr double suspectCost = 10;
constexpr double triedCost = 20;
/// Share of the slots by which servers are told apart at random: what a node's peers may have sent
/// since they last said so, and at most.
constexpr double spreadPerNode = 0.01;
constexpr double mostSpread = 0.4;
/// A plain server queues a few requests itself; its slots are few and its calls short.
constexpr std::uint32_t plainQueueFactor = 2;
/// Slots of a server that does not tell them.
constexpr std::uint32_t unknownSlots = 4;
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

/// Nodes learn of each other's requests with a delay. Without this all would meet at the server
/// that was the least loaded a moment ago.
double spread(const ChoiceInput &input, const Backend &backend)
{
    const double most = std::min(mostSpread, spreadPerNode * input.nodes);
    const auto weight =
        static_cast<double>(rendezvousWeight(input.traceId, backend.report.id.value()));
    return most * weight / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
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

Duration coldInterval(const ServedService &service, std::uint32_t nodes)
{
    if (service.coldPerSecond <= 0)
        return Duration(0);
    const double perSecond = service.coldPerSecond / std::max<std::uint32_t>(nodes, 1);
    return Duration(static_cast<Duration::rep>(1'000 / perSecond) + 1);
}

TimePoint coldStart(const Backend &backend, const NodeId &node, Duration interval)
{
    if (interval <= Duration(0))
        return backend.coldSince;
    const std::uint64_t phase = rendezvousWeight(backend.report.id.value(), node.value());
    return backend.coldSince
        + Duration(
               static_cast<Duration::rep>(phase % static_cast<std::uint64_t>(interval.count())));
}

TargetChoice chooseTarget(BackendTable &backends, const ChoiceInput &input, TimePoint now)
{
    TargetChoice choice;
    const std::vector<BackendIndex> &servers =
        backends.targets(input.service, input.model, *input.configuration);
    const double usualGap = medianGap(backends, servers);
    const auto service = input.configuration->services.find(input.service);
    const Duration interval = service == input.configuration->services.end()
        ? Duration(0)
        : coldInterval(service->second, input.nodes);
    double least = 0;
    for (const BackendIndex index : servers) {
        const Backend &backend = *backends.find(index);
        if (input.zonesOut->count(backend.report.zone))
            continue;
        if (choice.outcome == TargetChoice::Outcome::None)
            choice.outcome = TargetChoice::Outcome::Full;
        const std::uint32_t running = backend.ownRunning + backend.peersRunning;
        if (running >= concurrencyLimit(backend, *input.configuration))
            continue;
        if (now < backend.coldUntil
            && now
                < std::max(backend.nextColdDispatch, coldStart(backend, input.ownNode, interval)))
            continue;
        const bool tried = input.tried
            && std::find(input.tried->begin(), input.tried->end(), backend.report.id)
                != input.tried->end();
        if (tried && now < backend.suspectUntil)
            continue;
        double cost = (running + 1.0) / slotsOf(backend, *input.configuration);
        if (usualGap > 0 && backend.gapMs > slowFactor * usualGap)
            cost *= backend.gapMs / usualGap;
        cost += spread(input, backend);
        if (backend.report.zone != input.ownZone)
            cost += otherZoneCost;
        if (now < backend.suspectUntil)
            cost += suspectCost;
        if (tried)
            cost += triedCost;
        if (choice.outcome != TargetChoice::Outcome::Chosen || cost < least) {
            choice.outcome = TargetChoice::Outcome::Chosen;
            choice.server = index;
            least = cost;
        }
    }
    return choice;
}

} // namespace bramleypitch
