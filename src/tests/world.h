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

/// A fault to inject, or an operator's command to issue, at one point of a run.
enum class StepKind {
    Wait,
    KillNode, ///< Ends without notice; restarted later with empty state.
    PauseNode, ///< Stops handling events for four times Step::durationMs; its lease may expire.
    StopNode, ///< Planned stop, followed by a restart.
    CutNodePlatform, ///< Node and platform cannot reach each other for a while.
    CutNodePeers, ///< Node and all other nodes cannot reach each other for a while.
    IsolateNode, ///< Node reaches the engines, but neither platform nor other nodes, for a while.
    LoseHome, ///< Node loses the platform for longer than its lease, and later its peers as well.
    CutNodeEngines, ///< Node and one fabric domain cannot reach each other for a while.
    PlatformOutage, ///< No node can reach the platform for a while.
    LoseReplies, ///< For a while calls to the store take effect, but half of the replies are lost.
    KillVm, ///< VM is down for a while and returns without a group.
    PauseVm, ///< VM answers nothing for a while and keeps its state.
    KillDomain, ///< All VMs of one zone are down for a while and return without a group.
    RestartVm, ///< VM restarts without warning and is cold again, but keeps its order.
    LeaveVm, ///< VM is marked as leaving, later leaves the VM list, and later returns.
    DrainZone,
    RestoreZone,
    ChangeDocument, ///< Operators change the weight of an organisation.
    ChangeSpan, ///< Reserved for changes of the span of groups; World::apply() ignores it.
    Count, ///< Number of kinds.
};

struct Step
{
    StepKind kind = StepKind::Wait;
    std::uint32_t target = 0; ///< Index of the node, VM or zone, modulo their number.
    std::uint32_t durationMs = 0; ///< Duration of the fault in milliseconds, if it has one.
};

struct WorldOptions
{
    std::uint64_t seed = 1;
    bool checksFencing = true;
    std::uint32_t nodes = 3;
    Duration requestInterval {60}; ///< Interval between caller requests.
    std::uint32_t warmAfter = 3; ///< Number of completions after which a server is warm.
    Duration maxExtraStepDelay {1'800}; ///< Maximum random delay between steps, on top of 0.2 s.
    double lateMessageShare = 0.005; ///< Share of messages that are delayed by 0.1 s to 2.6 s.
};

/// An externally observed violation of a promise of the product.
struct Violation
{
    std::string promise; ///< Short name of the promise.
    std::string what; ///< What was observed, and when.
};

/// Simulates a deployment in virtual time: three zones, each with an entry node, a fabric domain of
/// five VMs and a service VM, together with a store and callers. The seed determines which messages
/// are delayed or lost. The checks look only at external behaviour: placements, work sent to
/// engines and services, and answers to callers.
class World
{
public:
    explicit World(WorldOptions options);

    /// Executes the steps in order, waits until their faults have ended and the deployment has
    /// settled, and checks the final state.
    void run(const std::vector<Step> &steps);

    const std::vector<Violation> &violations() const { return m_violations; }
    std::uint64_t completionsAnswered() const { return m_completionsAnswered; }
    std::uint64_t paymentsExecuted() const { return m_paymentRuns.size(); }
    std::uint64_t dispatchCount() const { return m_dispatchCount; }

private:
    struct NodeSlot
    {
        std::unique_ptr<Node> node;
        std::uint64_t instance =
            0; ///< Identifies the running process; rises on each start and end.
        std::int64_t clockOffset =
            0; ///< Difference between the node's clock and the simulated time.
        std::int64_t pausedUntil = 0;
        std::deque<Event> backlog; ///< Events that arrived during a pause.
        std::int64_t platformCutUntil = 0;
        std::int64_t peersCutUntil = 0;
        std::int64_t domainCutUntil = 0;
        std::uint32_t cutDomain = 0;
        std::int64_t lease = 0; ///< Id of the node's lease; 0 if none.
        std::int64_t highestRevision = 0; ///< Newest configuration in force since start.
        bool stopping = false;
    };
    /// A value of the store.
    struct Entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0; ///< Id of the lease that the entry expires with; 0 if none.
    };
    struct VmSlot
    {
        VmRecord record;
        VmReport report;
        bool listed = true; ///< Whether the platform's VM list contains the VM.
        std::int64_t deadUntil = 0;
        std::int64_t pausedUntil = 0;
        std::uint64_t bootCount = 0; ///< Rises with each restart and each change of order.
        std::int64_t coldSince = 0; ///< When the VM last became cold.
        std::int64_t leavingSince = -1; ///< Negative if the VM is not leaving.
        /// When the VM last reported, ready, that it serves a group in a generation.
        std::map<std::pair<GroupId, Generation>, std::int64_t> lastServedAt;
        std::uint64_t highestDispatched = 0; ///< Highest group generation dispatched to the VM.
        std::uint32_t running = 0; ///< Completions in progress.
    };
    /// A request of a caller, either a completion or a payment.
    struct CallerRequest
    {
        std::uint32_t node = 0;
        std::uint64_t instance = 0; ///< NodeSlot::instance of the node when the request was sent.
        std::int64_t requestedAt = 0;
        std::string prompt;
        std::uint32_t maxTokens = 0;
        std::uint32_t delivered = 0; ///< Tokens that reached the caller.
        std::string paymentKey; ///< Empty for completions.
        bool ended = false; ///< Whether the final answer or a refusal reached the caller.
    };
    using Task = std::function<void()>;
    struct ScheduledTask
    {
        std::int64_t at;
        std::uint64_t order; ///< Keeps tasks of the same time in the order they were scheduled.
        Task task;
        bool operator>(const ScheduledTask &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    // Scheduling and message delivery.
    /// Schedules a task at a delay in milliseconds.
    void after(std::int64_t delay, Task task);
    void runUntil(std::int64_t time);
    /// Draws the delay of one message, in milliseconds.
    std::int64_t delay();
    /// Draws a number from 0 to `max` inclusive.
    std::int64_t randomUpTo(std::int64_t max);
    /// Returns true with the given probability.
    bool chance(double probability);
    TimePoint nodeTime(const NodeSlot &slot) const { return timePoint(m_now + slot.clockOffset); }
    /// Hands an event to a node, unless it was restarted since `instance`. A paused node handles it
    /// later.
    void deliver(std::uint32_t node, std::uint64_t instance, Event event);
    /// Lets a node handle an event and performs the resulting actions.
    void handle(std::uint32_t node, const Event &event);

    // Actions of the nodes.
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
    void act(std::uint32_t node, const SendLedgerRequest &sendLedger);
    void act(std::uint32_t node, const SendLedgerReply &answer);
    void act(std::uint32_t node, const DispatchCompletion &dispatch);
    void act(std::uint32_t node, const DispatchServiceCall &dispatch);
    void act(std::uint32_t node, const ForwardToken &token);
    void act(std::uint32_t node, const ForwardEnd &end);
    void act(std::uint32_t node, const ForwardServiceResponse &answer);
    void act(std::uint32_t node, const Refuse &refuse);
    void act(std::uint32_t node, const LogChange &change);
    void act(std::uint32_t node, const Stopped &stopped);
    void act(std::uint32_t, const WatchShared &) { }
    void act(std::uint32_t node, const CancelAttempt &cancel);

    // Store, engines and services.
    bool platformReachable(const NodeSlot &slot) const;
    bool vmReachable(const NodeSlot &slot, const VmSlot &vm) const;
    bool peersReachable(std::uint32_t from, std::uint32_t to) const;
    /// Executes a call on the store; the node receives its result, or `failure` after a timeout if
    /// the call or its reply is lost or late.
    void callStore(std::uint32_t node, const std::function<Event()> &execute, const Event &failure);
    /// Writes a value if the key is at the expected revision. Returns whether it was written.
    bool swapStore(const std::string &key, std::int64_t expected, const std::string &value,
                   std::int64_t lease);
    /// Returns the entries with the prefix whose revision is higher than `above`.
    std::vector<SharedValue> readPrefix(const std::string &prefix, std::int64_t above) const;
    void expireLeases();
    VmSlot *findVm(const Address &address);
    /// Executes an order on a VM.
    void executeOrder(VmSlot &vm, const SendOrder &order);
    /// Restarts a VM, which is cold afterwards and loses its order unless `keepOrder` is set.
    void reboot(VmSlot &vm, bool keepOrder);
    /// Generates token `index` of a completion, then schedules the next one.
    void runStream(std::uint32_t node, std::uint64_t instance, const DispatchCompletion &dispatch,
                   std::uint64_t boot, std::uint32_t index);
    /// Returns the text that the engines generate for a token of the answer to a prompt.
    static std::string tokenText(const std::string &prompt, std::uint32_t index);

    // Operators and callers.
    /// Starts a node with empty state and a new difference of its clock.
    void startNode(std::uint32_t node);
    /// Stores the first production configuration.
    void publishFirstConfiguration();
    void operate(std::uint32_t node, const Step &step);
    /// Injects the fault, or issues the command, of a step.
    void apply(const Step &step);
    /// Changes the production configuration in the store.
    void changeProduction(const std::function<void(Envelope &)> &change);
    /// Sends a random request of a caller and schedules the next one.
    void sendNextRequest();
    void retryPayment(const std::string &key);
    /// Sends a payment request; for a first attempt sometimes also a concurrent repeat.
    void sendPayment(std::uint32_t node, const std::string &key, bool first);

    // Checks, in world_checks.cpp.
    /// Records a violation.
    void reportViolation(const std::string &promise, const std::string &what);
    /// Checks a dispatch to an engine: its group confirmed, its VM not leaving, its zone not
    /// drained.
    void checkDispatch(std::uint32_t node, const DispatchCompletion &dispatch);
    /// Checks the cold allowance of a VM that a completion arrives at.
    void checkColdAllowance(const VmSlot &vm);
    /// Records the groups of a placement and checks that no VM is in two of them.
    void checkPlacement(const std::string &key, const std::string &value);
    void checkService(std::uint32_t node, const DispatchServiceCall &dispatch);
    void checkToken(std::uint32_t node, const ForwardToken &token);
    void checkEnd(const ForwardEnd &end);
    void checkRefusal(const Refuse &refuse);
    /// Checks that the revision of the configuration in force on a node only rises.
    void checkRevision(std::uint32_t node, std::int64_t revision);
    /// Checks that all nodes have the newest configuration, that requests refused as not run
    /// reached no backend server, and that no request is left unanswered.
    void checkSettled();
    /// Records that a VM reported to serve its group.
    void recordServing(VmSlot &vm);

    WorldOptions m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now = 100'000;
    std::uint64_t m_lastTaskOrder = 0;
    std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>> m_tasks;
    std::vector<NodeSlot> m_nodes;
    std::vector<VmSlot> m_vms;
    std::map<std::string, Entry> m_store;
    std::map<std::int64_t, std::int64_t> m_leases; ///< Expiry time by lease id.
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::int64_t m_outageUntil = 0;
    std::int64_t m_loseRepliesUntil = 0;
    bool m_messageFaultsEnded =
        false; ///< Whether message faults have ended, so that the deployment can settle.
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, CallerRequest> m_callerRequests;
    /// Cancellations that reached the engines.
    std::set<std::pair<RequestId, AttemptNumber>> m_cancelled;
    std::map<std::string, std::uint32_t> m_paymentRuns; ///< Executions by the services, by key.
    /// Arrivals at backend servers, by request.
    std::map<std::uint64_t, std::uint32_t> m_requestRuns;
    std::vector<std::uint64_t> m_refusedAsNotRun; ///< Requests that were refused as not run.
    std::map<GroupId, PlacedGroup> m_allPlacedGroups; ///< All groups of all placements written.
    std::map<ZoneId, std::int64_t> m_zoneDrainedSince; ///< When each drained zone was drained.
    /// Node and operation of each pending ledger request, by the id given to the node that received
    /// it.
    std::map<std::uint64_t, std::pair<std::uint32_t, OperationId>> m_pendingLedgerRequests;
    /// Counts from 2^62, so that the ids differ from those of the nodes' own operations.
    std::uint64_t m_lastLedgerRequest = std::uint64_t {1} << 62;
    std::uint64_t m_completionsAnswered = 0;
    std::uint64_t m_dispatchCount = 0;
    std::uint64_t m_payments = 0;
    std::vector<Violation> m_violations;
};

} // namespace bramleypitch::test
