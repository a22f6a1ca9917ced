#pragma once

#include "request/engine_model.h"
#include "request/request_system.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bramleypitch {

/// A kind of request in a replayed load: one route of the engine service.
struct LoadKind
{
    std::string name;
    double perSecond = 0; ///< Mean rate over all nodes.
    double promptTokens = 700;
    double completionTokens = 110;
    Duration targetLatency {300};
    Duration targetGap {200};
    Duration timeLimit {6'000};
    int priority = 0;
    std::string organisation = "chain";
};

/// What the callers of one kind got.
struct KindOutcome
{
    int callers = 0;
    int inTime = 0; ///< The first event was within the target, counted from the first try.
    int served = 0; ///< At the first or second try, in time or late.
    int refusals = 0;
    int refusedWithoutRetryAfter = 0;
    int gaveUp = 0; ///< Waited for the first event for longer than the caller does.
    Duration longestHold {0}; ///< Longest time from a try to its refusal.
    std::vector<Duration> retryAfters;

    double inTimeShare() const { return callers ? static_cast<double>(inTime) / callers : 1; }
    double servedShare() const { return callers ? static_cast<double>(served) / callers : 1; }
};

/// Replays load on several nodes that send requests to the same groups and learn of each other's
/// requests by pulses. Callers retry a refused request once, at the time that the refusal names.
class LoadReplay
{
public:
    static constexpr int nodeCount = 12;
    static constexpr std::uint32_t slots = 20;

    LoadReplay(std::vector<LoadKind> kinds, int groups, LateRequests lateRequests,
               std::uint32_t seed);

    /// Replays `duration` of arrivals. `factor` is multiplied with the rates of all kinds.
    void run(double factor, Duration duration);
    /// Lets the requests end without new arrivals.
    void drain(Duration duration) { run(0, duration); }
    const KindOutcome &outcome(const std::string &kind) const { return m_outcomes.at(kind); }
    std::size_t waiting() const;
    std::size_t mostWaiting() const { return m_mostWaiting; }

    /// Slot-seconds that one request of the kind takes on a group.
    static double slotSeconds(const LoadKind &kind);
    /// Changes the rate of a kind.
    void setRate(std::size_t kind, double perSecond) { m_kinds[kind].perSecond = perSecond; }

private:
    struct Node
    {
        std::unique_ptr<BackendTable> backends;
        std::unique_ptr<RequestSystem> requests;
    };
    struct Try
    {
        std::size_t kind = 0;
        TimePoint firstAt; ///< Arrival of the first try.
        TimePoint arrivedAt;
        bool isSecond = false;
        int node = 0;
        bool hasStarted = false;
    };
    struct Execution
    {
        VmId server;
        int node = 0;
        RequestId request;
        AttemptNumber attempt;
        bool isEnd = false; ///< Of the response; otherwise the first event.
    };

    static EngineSpec engine();
    static Duration ofMs(double ms) { return Duration(static_cast<Duration::rep>(ms)); }
    static GenerationSize sizeOf(const LoadKind &kind)
    {
        return {kind.promptTokens, kind.completionTokens};
    }
    void arrive(std::size_t kind, TimePoint firstAt, bool isSecond);
    void perform(int node, const RequestActions &actions);
    void execute();
    /// Starts the requests that wait at a server for its slots.
    void startExecutions(const VmId &server);
    struct Server
    {
        std::uint32_t running = 0;
        std::deque<Execution> queue; ///< Sent by nodes that did not know that it was full.
    };
    void exchangePulses();

    std::vector<LoadKind> m_kinds;
    std::mt19937 m_random;
    TimePoint m_now = timePoint(1'000'000);
    std::vector<Node> m_nodes;
    std::map<RequestId, Try> m_tries;
    std::multimap<TimePoint, Execution> m_executions;
    std::map<VmId, Server> m_servers;
    std::multimap<TimePoint, std::pair<std::size_t, TimePoint>> m_returns;
    std::map<std::string, KindOutcome> m_outcomes;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_mostWaiting = 0;
};

} // namespace bramleypitch
