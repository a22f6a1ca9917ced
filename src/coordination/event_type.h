#pragma once

#include "coordination/action_type.h"

namespace bramleypitch {

/// Periodic timer event that drives all periodic work.
struct Tick
{
    WallTime wall;
};

/// Result of ReadShared, or an update from the watch. `sentAt` is the time when the read was sent.
struct SharedRead
{
    OperationId operation;
    bool ok = false;
    std::vector<SharedValue> values;
    TimePoint sentAt;
};

/// The watch on the shared prefix reported a change, or has ended.
struct SharedWatchUpdated
{
    bool ended = false;
};

/// Result of PullShared.
struct SharedPulled
{
    std::vector<SharedValue> values;
    Revision newest; ///< Newest revision that the peer holds.
    bool known = false; ///< The peer has read the shared values.
    Duration evidenceAge {0}; ///< Age of the peer's evidence that its values are current.
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

/// Result of a compare-and-swap.
enum class SwapOutcome {
    Written,
    Conflict, ///< The key holds another value, which the event contains.
    Unknown, ///< No definite reply: the value may or may not have been written.
};

struct SwapDone
{
    OperationId operation;
    SwapOutcome outcome = SwapOutcome::Unknown;
    Revision revision; ///< Revision of the value now stored, if known.
    std::string value; ///< The stored value, on a conflict.
};

/// Result of RenewLease. `ok` means that the lease was granted or kept alive; `sentAt` is the time
/// when the successful call was sent.
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

/// Result of SendOrder. `ok` means that the engine accepted the order or had already carried it
/// out.
struct OrderDone
{
    OperationId operation;
    VmId vm;
    bool ok = false;
};

struct HeartbeatReceived
{
    Heartbeat heartbeat;
    TimePoint sentAt; ///< For a reply: time when this node sent the heartbeat it answers.
    bool isReply = false;
};

/// A ledger request from a peer. The reply is a SendLedgerReply action with the same operation id.
struct LedgerRequested
{
    OperationId operation;
    SegmentIndex segment;
    LedgerRequest request;
};

/// Reply to SendLedgerRequest.
struct LedgerReplied
{
    OperationId operation;
    LedgerReply reply;
};

/// A caller requested a completion.
struct CompletionRequested
{
    RequestId request;
    std::string key; ///< API key that the caller presented as its bearer token.
    ModelGroupId model;
    std::string prompt;
    std::uint32_t maxTokens = 16;
    std::uint32_t priority = 0; ///< Higher values are served first, within the organisation.
    std::optional<Duration> firstTokenDeadline; ///< Overrides the model group's deadline.
};

/// A caller called a plain service.
struct ServiceRequested
{
    RequestId request;
    std::string key; ///< API key that the caller presented as its bearer token.
    ServiceId service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool firstAttempt =
        false; ///< The caller states that it has not sent this idempotency key before.
};

/// The caller disconnected.
struct CallerDisconnected
{
    RequestId request;
};

/// One token of an attempt. `index` is the number that the engine gave it.
struct EngineToken
{
    RequestId request;
    AttemptNumber attempt;
    std::uint32_t index = 0;
    std::string text;
};

/// The engine ended the stream of an attempt explicitly, after `count` tokens in total.
struct EngineEnd
{
    RequestId request;
    AttemptNumber attempt;
    std::uint32_t count = 0;
};

/// An attempt failed: its stream ended without an explicit end, or its response was malformed.
struct AttemptFailed
{
    RequestId request;
    AttemptNumber attempt;
    bool sent = false; ///< Some bytes may have reached the backend server.
    bool refused = false; ///< The backend server reported that it did not run the attempt.
};

/// A plain service sent a complete response to an attempt.
struct ServiceResponded
{
    RequestId request;
    AttemptNumber attempt;
    CallOutcome outcome;
};

/// A planned stop was requested.
struct StopRequested
{
};

using Event =
    std::variant<Tick, SharedRead, SharedWatchUpdated, SharedPulled, NodesRead, KeyRead, SwapDone,
                 LeaseRenewed, VmListRead, ProbeDone, OrderDone, HeartbeatReceived, LedgerRequested,
                 LedgerReplied, CompletionRequested, ServiceRequested, CallerDisconnected,
                 EngineToken, EngineEnd, AttemptFailed, ServiceResponded, StopRequested>;

} // namespace bramleypitch
