#pragma once

#include "coordination/node.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bramleypitch::test {

/// What goes wrong, or is asked for, at a moment of a run.
enum class StepKind {
    Wait,
    KillNode,
    PauseNode, ///< For longer than its lease.
    StopNode, ///< Planned stop, then a new life.
    CutNodePlatform, ///< Node and platform do not reach each other for a while.
    CutNodePeers, ///< Node and all other nodes do not reach each other for a while.
    IsolateNode, ///< Neither platform nor other nodes, engines alone, for a while.
    LoseHome, ///< A node loses the platform for longer than its lease, and late its peers too.
    CutNodeEngines, ///< Node and one fabric domain do not reach each other for a while.
    PlatformOutage,
    LoseReplies, ///< Writes take effect and their replies are lost for a while.
    KillVm, ///< For a while; it comes back empty.
    PauseVm,
    KillDomain, ///< A whole fabric domain goes dark for a while.
    ColdVm, ///< Cold again without warning, its order kept.
    LeaveVm, ///< Marked as leaving, gone later, and back.
    DrainZone,
    RestoreZone,
    ChangeDocument, ///< Operators change a weight.
    ChangeSpan, ///< Operators change how many VMs a group spans.
    Count,
};

struct Step
{
    StepKind kind = StepKind::Wait;
    std::uint32_t target = 0; ///< Which node, VM or zone, modulo their number.
    std::uint32_t lasts = 0; ///< Milliseconds, for what lasts.
};

struct WorldOptions
{
    std::uint64_t seed = 1;
    bool checksFencing = true;
    std::uint32_t nodes = 3;
    Duration requestEvery {60}; ///< Between callers' requests.
    std::uint32_t warmAfter = 3; ///< Completions after which a server is warm.
    Duration stepGap {1'800}; ///< Steps follow one another after 0.2 s and up to so much more.
    double lateness = 0.005; ///< Share of messages that take up to seconds.
};

/// A breach of a promise as the outside saw it.
struct Breach
{
    std::string promise;
    std::string what;
};

/// Three zones with an entry node, a fabric domain of five VMs and a service VM each, a store and
/// callers, in virtual time. Messages are delayed, lost and late by the seed. Only the outside is
/// looked at: what is sent to engines and services, ordered, and answered.
class World
{
public:
    explicit World(WorldOptions options);

    /// Lets the steps happen one after the other, then lets everything heal and settle.
    void run(const std::vector<Step> &steps);

    const std::vector<Breach> &breaches() const { return m_breaches; }
    std::uint64_t answeredWhole() const { return m_answeredWhole; }
    std::uint64_t paymentsRun() const { return m_paymentRuns.size(); }
    std::uint64_t dispatches() const { return m_dispatches; }

private:
    struct NodeSlot
    {
        std::unique_ptr<Node> node;
        std::uint64_t life = 0; ///< Rises when the node is killed or stops.
        std::int64_t offset = 0; ///< Its clock against the world's.
        std::int64_t pausedUntil = 0;
        std::deque<Event> backlog;
        std::int64_t noPlatformUntil = 0;
        std::int64_t noPeersUntil = 0;
        std::int64_t noDomainUntil = 0;
        std::uint32_t noDomain = 0;
        std::int64_t lease = 0; ///< Id of its lease; 0 if none.
        std::int64_t highestRevision = 0; ///< Of a configuration in force here, in this life.
        bool stopping = false;
    };
    struct Entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct VmSlot
    {
        VmRecord record;
        VmReport report;
        bool listed = true;
        std::int64_t deadUntil = 0;
        std::int64_t pausedUntil = 0;
        std::uint64_t boots = 0;
        std::int64_t coldSince = 0; ///< When it last became cold.
        std::int64_t leavingSince = -1;
        /// Until when it was last known to serve a group in a generation.
        std::map<std::pair<GroupId, Generation>, std::int64_t> servedUntil;
        std::uint64_t highestDispatched = 0; ///< Generation of the newest group sent to here.
        std::uint32_t running = 0;
    };
    struct Asked
    {
        std::uint32_t node = 0;
        std::uint64_t life = 0;
        std::int64_t askedAt = 0;
        std::string prompt;
        std::uint32_t maxTokens = 0;
        std::uint32_t delivered = 0;
        std::string paymentKey; ///< Empty for completions.
        bool ended = false;
    };
    using Task = std::function<void()>;
    struct Scheduled
    {
        std::int64_t at;
        std::uint64_t order;
        Task task;
        bool operator>(const Scheduled &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    // The passing of time and messages.
    void after(std::int64_t delay, Task task);
    void runUntil(std::int64_t time);
    std::int64_t delay();
    std::int64_t randomUpTo(std::int64_t most);
    bool chance(double probability);
    TimePoint nodeTime(const NodeSlot &slot) const { return timePoint(m_now + slot.offset); }
    void deliver(std::uint32_t node, std::uint64_t life, Event event);
    void handle(std::uint32_t node, const Event &event);

    // What nodes do.
    void perform(std::uint32_t node, const Action &action);
    void act(std::uint32_t node, const ReadShared &read);
    void act(std::uint32_t node, const ReadNodes &read);
    void act(std::uint32_t node, const ReadKey &read);
    void act(std::uint32_t node, const CompareAndSwap &swap);
    void act(std::uint32_t node, const RenewLease &renew);
    void act(std::uint32_t node, const ReleaseLease &release);
    void act(std::uint32_t node, const ReadVmList &read);
    void act(std::uint32_t node, const SendProbe &probe);
    void act(std::uint32_t node, const SendOrder &order);
    void act(std::uint32_t node, const SendHeartbeat &heartbeat);
    void act(std::uint32_t node, const PullShared &pull);
    void act(std::uint32_t node, const SendLedger &ask);
    void act(std::uint32_t node, const AnswerLedger &answer);
    void act(std::uint32_t node, const DispatchEngine &dispatch);
    void act(std::uint32_t node, const DispatchService &dispatch);
    void act(std::uint32_t node, const AnswerToken &token);
    void act(std::uint32_t node, const AnswerEnd &end);
    void act(std::uint32_t node, const AnswerService &answer);
    void act(std::uint32_t node, const Refuse &refuse);
    void act(std::uint32_t node, const LogChange &change);
    void act(std::uint32_t node, const Stopped &stopped);
    void act(std::uint32_t, const WatchShared &) { }
    void act(std::uint32_t node, const CancelAttempt &cancel);

    // The store, engines and services.
    bool platformReachable(const NodeSlot &slot) const;
    bool vmReachable(const NodeSlot &slot, const VmSlot &vm) const;
    bool peersReach(std::uint32_t from, std::uint32_t to) const;
    void callStore(std::uint32_t node, const std::function<Event()> &execute, const Event &failure);
    bool swapStore(const std::string &key, std::int64_t expected, const std::string &value,
                   std::int64_t lease);
    std::vector<SharedValue> readPrefix(const std::string &prefix, std::int64_t above) const;
    void expireLeases();
    VmSlot *vmOf(const Address &address);
    void obey(VmSlot &vm, const SendOrder &order);
    void reboot(VmSlot &vm, bool keepOrder);
    void runStream(std::uint32_t node, std::uint64_t life, const DispatchEngine &dispatch,
                   std::uint64_t boot, std::uint32_t index);
    static std::string tokenText(const std::string &prompt, std::uint32_t index);

    // Operators and callers.
    void startNode(std::uint32_t node);
    void publishFirst();
    void operate(std::uint32_t node, const Step &step);
    void apply(const Step &step);
    void changeProduction(const std::function<void(Envelope &)> &change);
    void ask();
    void retryPayment(const std::string &key);
    void sendPayment(std::uint32_t node, const std::string &key, bool first);

    // Checks, in world_checks.cpp.
    void breach(const std::string &promise, const std::string &what);
    void checkDispatch(std::uint32_t node, const DispatchEngine &dispatch);
    void checkArrival(const VmSlot &vm);
    void checkPlacement(const std::string &key, const std::string &value);
    void checkService(std::uint32_t node, const DispatchService &dispatch);
    void checkToken(std::uint32_t node, const AnswerToken &token);
    void checkEnd(const AnswerEnd &end);
    void checkRefusal(const Refuse &refuse);
    void checkRevision(std::uint32_t node, std::int64_t revision);
    void checkSettled();
    void noteServing(VmSlot &vm);

    WorldOptions m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now = 100'000;
    std::uint64_t m_order = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_tasks;
    std::vector<NodeSlot> m_nodes;
    std::vector<VmSlot> m_vms;
    std::map<std::string, Entry> m_store;
    std::map<std::int64_t, std::int64_t> m_leases; ///< Id to expiry.
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::int64_t m_outageUntil = 0;
    std::int64_t m_loseRepliesUntil = 0;
    bool m_calm = false; ///< No further losses: everything is to settle.
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, Asked> m_asked;
    std::set<std::pair<RequestId, AttemptNumber>> m_cancelled; ///< As the engines know.
    std::map<std::string, std::uint32_t> m_paymentRuns; ///< Runs at the services, by key.
    std::map<std::uint64_t, std::uint32_t> m_requestRuns; ///< Arrivals at backends, by request.
    std::vector<std::uint64_t> m_notRun; ///< Requests refused as not run.
    std::map<GroupId, PlacedGroup> m_placedEver; ///< Every group that a placement ever named.
    std::map<ZoneId, std::int64_t> m_zoneOutSince;
    std::map<std::uint64_t, std::pair<std::uint32_t, OperationId>> m_ledgerAsks;
    std::uint64_t m_lastLedgerAsk = std::uint64_t {1} << 62;
    std::uint64_t m_answeredWhole = 0;
    std::uint64_t m_dispatches = 0;
    std::uint64_t m_payments = 0;
    std::vector<Breach> m_breaches;
};

} // namespace bramleypitch::test
