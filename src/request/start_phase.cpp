#include "request/start_phase.h"

#include "request/engine_model.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// By then requests end at a steady rate, and reports of all nodes have arrived.
constexpr Duration phaseTime {2'000};
/// Age of what is known of the requests of other nodes: of the own zone by their pulses, of other
/// zones by pulses, digests and their relay.
constexpr Duration ownZoneNewsAge {150};
constexpr Duration otherZoneNewsAge {450};
constexpr Duration countInterval {25}; ///< Between recorded counts.
constexpr double millisecondsPerSecond = 1'000;

/// What is certain, by one standard deviation, of a number of random events. Few requests of this
/// node show little about the others.
double certainPart(double events)
{
    return std::max(events - std::sqrt(events), 0.0);
}

} // namespace

void RecentGrowth::add(double running, TimePoint now)
{
    if (!m_counts.empty() && now - m_counts.back().at < countInterval)
        return;
    m_counts.push_back({now, running});
    while (m_counts.size() > 1 && now - m_counts[1].at >= otherZoneNewsAge)
        m_counts.pop_front();
}

double RecentGrowth::since(Duration window, double running, TimePoint now) const
{
    double before = 0;
    for (const Count &count : m_counts) {
        if (now - count.at >= window)
            before = count.running;
    }
    return std::max(running - before, 0.0);
}

void StartPhase::begin(TimePoint now)
{
    if (m_begunAt == TimePoint())
        m_begunAt = now;
}

bool StartPhase::isActive(TimePoint now) const
{
    return m_begunAt != TimePoint() && !m_hasRunningPeer && m_peers.ownZone + m_peers.otherZones > 0
        && now - m_begunAt < phaseTime;
}

double StartPhase::assumedPerServer(const RecentGrowth &growth, double running, std::size_t servers,
                                    TimePoint now) const
{
    if (servers == 0)
        return 0;
    const double ownZone = certainPart(growth.since(ownZoneNewsAge, running, now));
    const double otherZones = certainPart(growth.since(otherZoneNewsAge, running, now));
    return (ownZone * m_peers.ownZone + otherZones * m_peers.otherZones)
        / static_cast<double>(servers);
}

double StartPhase::ownRate(const EngineSpec &engine, const ServedModel &model,
                           std::size_t groups) const
{
    return groupRate(engine, model) * static_cast<double>(groups)
        / (1.0 + m_peers.ownZone + m_peers.otherZones);
}

double groupRate(const EngineSpec &engine, const ServedModel &model)
{
    if (engine.typicalCompletionTokens <= 0)
        return 0;
    const double passes =
        std::ceil(engine.typicalCompletionTokens / std::max<std::uint32_t>(engine.stride, 1));
    // During the stay of a request, one prompt is processed for each slot.
    const double stayMs = passes * passMs(engine, model, engine.slots)
        + engine.slots * prefillMs(engine, model, engine.typicalPromptTokens);
    return stayMs > 0 ? millisecondsPerSecond * engine.slots / stayMs : 0;
}

} // namespace bramleypitch
