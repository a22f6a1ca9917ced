#pragma once

#include "coordination/ledger_type.h"
#include "coordination/member_type.h"
#include "coordination/shared_base.h"
#include "coordination/vm_type.h"
#include "core/error_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleypitch {

/// Reads all values under the shared prefix that are newer than revision `above`.
struct ReadShared
{
    OperationId operation;
    Revision above;
};

/// Watches the shared prefix for values newer than revision `above`. Changes are reported by
/// SharedWatchUpdated.
struct WatchShared
{
    Revision above;
};

/// Reads the lease records of the environment's nodes.
struct ReadNodes
{
    OperationId operation;
};

/// Reads one key of the store.
struct ReadKey
{
    OperationId operation;
    std::string key;
};

/// Writes a key if it is still at the expected revision (0: absent). The value contains `nonce`, so
/// that after a lost reply the network layer can read the key back and find out whether the write
/// took effect.
struct CompareAndSwap
{
    OperationId operation;
    std::string key;
    Revision expected;
    std::string value;
    Nonce nonce;
};

/// Acquires a lease and writes this node's record under it, or keeps the lease alive.
struct RenewLease
{
    OperationId operation;
    MemberEntry self;
};

/// Releases the lease at the end of a planned stop.
struct ReleaseLease
{
};

struct ReadVmList
{
    OperationId operation;
};

struct SendProbe
{
    VmId vm;
    Address address;
};

/// The operation that an order requests from an engine.
enum class OrderKind {
    Load, ///< Join a group and load its model.
    Release, ///< Leave the current group, if any.
    Prefetch, ///< Fetch the weights of a model without joining a group.
};

/// Sends an order to an engine. `generation` is the fencing token.
struct SendOrder
{
    OperationId operation;
    VmId vm;
    Address address;
    OrderKind kind = OrderKind::Load;
    GroupId group;
    Generation generation;
    std::string model;
    std::vector<Address> members; ///< Addresses of the group members, head first.
};

struct SendHeartbeat
{
    Address peer;
    NodeId to;
    Heartbeat heartbeat;
};

/// Requests all shared values newer than revision `above` from a peer.
struct PullShared
{
    Address peer;
    Revision above;
};

/// Sends a ledger request to the node that owns the segment.
struct SendLedgerRequest
{
    OperationId operation;
    Address peer;
    SegmentIndex segment;
    LedgerRequest request;
};

/// Replies to a peer's ledger request.
struct SendLedgerReply
{
    OperationId operation;
    LedgerReply reply;
};

/// Sends one attempt of a completion to the head of a group.
struct DispatchCompletion
{
    RequestId request;
    AttemptNumber attempt;
    VmId vm;
    Address address;
    GroupId group;
    Generation generation;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0; ///< Number of tokens the caller has already received.
    std::uint32_t priority = 0; ///< Higher values are served first.
    Duration timeLimit {0};
};

/// Sends one attempt of a call to a plain service.
struct DispatchServiceCall
{
    RequestId request;
    AttemptNumber attempt;
    VmId vm;
    Address address;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    Duration timeLimit {0};
};

/// Cancels an attempt by closing its connection.
struct CancelAttempt
{
    RequestId request;
    AttemptNumber attempt;
};

/// Sends one token of a completion to the caller.
struct ForwardToken
{
    RequestId request;
    std::string text;
};

/// Ends a completion: all of its tokens have been sent to the caller.
struct ForwardEnd
{
    RequestId request;
    std::uint32_t tokens = 0;
};

/// Forwards the response of a plain service to the caller unchanged.
struct ForwardServiceResponse
{
    RequestId request;
    CallOutcome outcome;
    bool repeated = false; ///< The outcome was read from the ledger; this call did not run.
};

/// Rejects a request. This is the final response to the caller.
struct Refuse
{
    RequestId request;
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    RunOutcome run = RunOutcome::NotRun;
    std::optional<Duration> retryAfter; ///< Set if a retry may succeed.
};

/// Logs a change of state.
struct LogChange
{
    std::string event;
    std::string detail;
};

/// The planned stop is complete: no requests are open and the process may exit.
struct Stopped
{
};

using Action = std::variant<ReadShared, WatchShared, ReadNodes, ReadKey, CompareAndSwap, RenewLease,
                            ReleaseLease, ReadVmList, SendProbe, SendOrder, SendHeartbeat,
                            PullShared, SendLedgerRequest, SendLedgerReply, DispatchCompletion,
                            DispatchServiceCall, CancelAttempt, ForwardToken, ForwardEnd,
                            ForwardServiceResponse, Refuse, LogChange, Stopped>;

/// Actions, in the order in which they must be carried out.
using Actions = std::vector<Action>;

} // namespace bramleypitch
