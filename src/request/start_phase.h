#pragma once

#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bramleypitch {

/// The other nodes that take requests, or may do so as they have not been heard yet.
struct StartPeers
{
    std::uint32_t ownZone = 0;
    std::uint32_t otherZones = 0;
};

/// How many requests of a node started lately on the servers of one model, without those that ended
/// again. Only kept in the start phase.
class RecentGrowth
{
public:
    /// Records the number of running requests of this node.
    void add(double running, TimePoint now);
    /// Increase within `window` up to now.
    double since(Duration window, double running, TimePoint now) const;
    std::size_t size() const { return m_counts.size(); }

private:
    struct Count
    {
        TimePoint at;
        double running = 0;
    };
    std::deque<Count> m_counts;
};

/// The first seconds of a node that starts together with the others, as after a loss of power. What
/// it hears of the others is too old while all of them fill empty servers. It assumes that each of
/// them has started as many requests since its last report as this node has. It also expects its
/// queue to drain at least at its share of the rate that the engines publish, as no requests end
/// yet from which the rate could be learned.
///
/// A node that starts among running ones has no such phase.
class StartPhase
{
public:
    /// This node takes requests now. Only the first call takes effect.
    void begin(TimePoint now);
    /// Another node has been running for longer than this one.
    void onRunningPeer() { m_hasRunningPeer = true; }
    void setPeers(StartPeers peers) { m_peers = peers; }
    bool isActive(TimePoint now) const;
    bool hasRunningPeer() const { return m_hasRunningPeer; }
    /// When the phase began. Epoch before that.
    TimePoint begunAt() const { return m_begunAt; }

    /// Requests that other nodes are assumed to have started on each of `servers` servers since
    /// they last reported, if this node runs `running` requests there.
    double assumedPerServer(const RecentGrowth &growth, double running, std::size_t servers,
                            TimePoint now) const;
    /// Requests per second that this node can expect `groups` groups of a model to serve for it. 0
    /// if the figures of the engine are not published.
    double ownRate(const EngineSpec &engine, const ServedModel &model, std::size_t groups) const;

private:
    TimePoint m_begunAt;
    bool m_hasRunningPeer = false;
    StartPeers m_peers;
};

/// Requests per second that a group of a model serves with all slots in use, by the published
/// figures of its engine for typical requests. 0 if these are not published.
double groupRate(const EngineSpec &engine, const ServedModel &model);

} // namespace bramleypitch
