#pragma once

#include "request/queue_order.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace bramleypitch {

/// What to do with requests that would miss their latency target.
enum class LateRequests {
    Refuse, ///< They are refused as soon as that is predicted, or soon after it has happened.
    Serve, ///< They wait behind the others for as long as their callers do.
    ByPriority, ///< Served if the routes to a service with engines have different priorities.
};

/// Rates at which waiting requests start, in units of work per second. 0 means that it is not
/// known.
struct QueueRates
{
    double perSecond = 0; ///< Of all requests.
    double latePerSecond = 0; ///< Of late ones, as those in time that arrive later go first.
    double sparePerSecond = 0; ///< What requests in time leave at present.
};

/// Why a waiting request is given up.
enum class GiveUpCause {
    Queue, ///< It is predicted to start too late for its caller.
    Patience, ///< The latest useful start has passed.
    Full, ///< The queue is full, and it is the least valuable one.
};

/// Name of the cause in logs and metrics.
const char *giveUpCauseName(GiveUpCause cause);

/// A waiting request that is to be refused.
struct GivenUpRequest
{
    RequestId request;
    GiveUpCause cause = GiveUpCause::Queue;
    Duration untilRoom {0}; ///< Expected time until a request like it would be admitted.
};

/// Limit on the requests that wait for one target on one node.
constexpr std::size_t maxWaiting = 512;

/// Rates for late requests, given the total rate and that of requests that start in time. Both
/// change within seconds, so that late ones are always expected to get a part.
QueueRates queueRates(double perSecond, double inTimePerSecond);

/// Sorts the waiting requests of one target by value, predicts when each starts from the work ahead
/// of it, marks those that are expected to be late, and removes and returns those to give up. One
/// request of each route and priority may wait for its whole patience whatever is predicted, so
/// that none of them is shut out by others.
std::vector<GivenUpRequest> reviewQueue(std::vector<WaitingRequest> &waiting, QueueRates rates,
                                        TimePoint now);

/// Time after which the caller of a refused request may return: when the queue will have room,
/// spread by `hash`, so that not all callers return at the same time. At most a third of
/// `timeLeft`, so that the second try has time.
Duration retryAfterRoom(Duration untilRoom, Duration timeLeft, std::uint64_t hash);

/// Largest share of the requests that a server may run at most up to which a late request starts
/// there. It rises as the last useful start of the request comes near. No request that can be in
/// time may be waiting.
double lateUtilization(TimePoint latestStart, TimePoint lastStart, TimePoint now);

/// Spreads the starts of late requests over time. All nodes see at the same time that a server has
/// room, so that without it the late requests of all nodes would start there together, and fill it
/// beyond its slots.
class LateBudget
{
public:
    /// Adds the work that may start late since the last call. 0 means that the rate is not known.
    void refill(double perSecond, TimePoint now);
    bool permitsStart() const { return m_work >= 0; }
    void onStarted(double work) { m_work -= m_perSecond > 0 ? work : 0; }

private:
    double m_work = 0; ///< Negative after a start, until that has been made up for.
    double m_perSecond = 0;
    TimePoint m_at;
};

/// Finds routes and priorities of which nothing has started for long because others always came
/// first, and gives them a small part of the starts.
class StarvationGuard
{
public:
    /// Index in `waiting`, which is sorted by value, of the request to start next.
    std::size_t next(const std::vector<WaitingRequest> &waiting, TimePoint now) const;
    /// The request at `index` starts.
    void onStarted(const std::vector<WaitingRequest> &waiting, std::size_t index, TimePoint now);

private:
    using Kind = std::pair<RouteId, int>;

    std::map<Kind, TimePoint> m_lastStarts;
    std::uint32_t m_startsSinceTurn = 0; ///< Since a request was preferred for this reason.
};

} // namespace bramleypitch
