#pragma once

#include "coordination/action_type.h"

namespace bramleypitch {

/// Time has passed. Everything periodic happens here.
struct Tick
{
    WallTime wall;
};

/// Answer to ReadShared, or a watch's news. `sentAt` is when the read was sent.
struct SharedRead
{
    OperationId operation;
    bool ok = false;
    std::vector<SharedValue> values;
    TimePoint sentAt;
};

/// The watch on the shared prefix has news, or has ended.
struct SharedWatched
{
    bool ended = false;
};

/// Answer to PullShared.
struct SharedPulled
{
    std::vector<SharedValue> values;
    Revision newest; ///< The peer's newest revision.
    bool known = false;
    Duration evidenceAge {0};
    TimePoint sentAt;
};

struct NodesRead
{
    OperationId operation;
    bool ok = false;
    std::vector<NodeRecord> nodes;
};

struct KeyRead
{
    OperationId operation;
    bool ok = false;
    Revision revision; ///< 0 if the key is absent.
    std::string value;
};

/// What became of a compare-and-swap.
enum class SwapOutcome {
    Written,
    Conflict, ///< Another value stands there; it comes with the event.
    Unknown, ///< No certain answer: it may or may not have been written.
};

struct SwapDone
{
    OperationId operation;
    SwapOutcome outcome = SwapOutcome::Unknown;
    Revision revision; ///< Of the value now stored, if known.
    std::string value; ///< On conflict, the value stored.
};

/// The lease was granted or kept alive. `sentAt` is when the call that succeeded was sent.
struct LeaseRenewed
{
    OperationId operation;
    bool ok = false;
    Incarnation incarnation;
    TimePoint sentAt;
    Duration timeToLive {0};
};

struct VmListRead
{
    OperationId operation;
    bool ok = false;
    std::vector<VmRecord> vms;
};

struct ProbeDone
{
    VmId vm;
    bool ok = false;
    VmReport report;
    TimePoint sentAt;
};

/// Answer to an order: `ok` if the engine obeys it or already did.
struct OrderDone
{
    OperationId operation;
    VmId vm;
    bool ok = false;
};

struct HeartbeatReceived
{
    Heartbeat heartbeat;
    TimePoint sentAt; ///< For a reply: when this node's own heartbeat was sent.
    bool isReply = false;
};

/// A peer's ledger request for a segment; answered by AnswerLedger with the same operation.
struct LedgerAsked
{
    OperationId operation;
    SegmentIndex segment;
    LedgerRequest request;
};

/// Answer to SendLedger.
struct LedgerAnswered
{
    OperationId operation;
    LedgerReply reply;
};

/// A caller asks for a completion.
struct CompletionAsked
{
    RequestId request;
    std::string key; ///< The caller's bearer key.
    ModelGroupId model;
    std::string prompt;
    std::uint32_t maxTokens = 16;
    std::uint32_t priority = 0; ///< Higher first, within the organisation.
    std::optional<Duration> firstTokenDeadline; ///< Where the caller waits less or longer.
};

/// A caller calls a plain service.
struct ServiceAsked
{
    RequestId request;
    std::string key;
    ServiceId service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool firstAttempt = false; ///< The caller states that it never sent this key before.
};

/// The caller went away.
struct CallerGone
{
    RequestId request;
};

/// One token of an attempt, as the engine numbered it.
struct EngineToken
{
    RequestId request;
    AttemptNumber attempt;
    std::uint32_t index = 0;
    std::string text;
};

/// The engine ended the attempt's stream explicitly after `count` tokens in all.
struct EngineEnd
{
    RequestId request;
    AttemptNumber attempt;
    std::uint32_t count = 0;
};

/// The attempt ended without an explicit end, or what came made no sense.
struct AttemptBroken
{
    RequestId request;
    AttemptNumber attempt;
    bool sent = false; ///< A byte of it may have reached the backend server.
    bool refused = false; ///< The backend server said itself that it did not run it.
};

/// A plain service answered an attempt in whole.
struct ServiceAnswered
{
    RequestId request;
    AttemptNumber attempt;
    CallOutcome outcome;
};

/// Planned stop.
struct StopAsked
{
};

using Event =
    std::variant<Tick, SharedRead, SharedWatched, SharedPulled, NodesRead, KeyRead, SwapDone,
                 LeaseRenewed, VmListRead, ProbeDone, OrderDone, HeartbeatReceived, LedgerAsked,
                 LedgerAnswered, CompletionAsked, ServiceAsked, CallerGone, EngineToken, EngineEnd,
                 AttemptBroken, ServiceAnswered, StopAsked>;

} // namespace bramleypitch
