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

/// Read all values under the shared prefix above a revision.
struct ReadShared
{
    OperationId operation;
    Revision above;
};

/// Keep a watch on the shared prefix above a revision; news come as SharedWatched.
struct WatchShared
{
    Revision above;
};

/// Read the lease records of the environment's nodes.
struct ReadNodes
{
    OperationId operation;
};

/// Read one key of the store.
struct ReadKey
{
    OperationId operation;
    std::string key;
};

/// Write a key if it is still at the expected revision (0: absent). `nonce` stands in the value;
/// the shell reads back after a lost reply and so learns the outcome if the store answers.
struct CompareAndSwap
{
    OperationId operation;
    std::string key;
    Revision expected;
    std::string value;
    Nonce nonce;
};

/// Take a lease and write this node's record under it, or keep the lease alive.
struct RenewLease
{
    OperationId operation;
    MemberEntry self;
};

/// Give up the lease at the end of a planned stop.
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

/// What an engine is told to do.
enum class OrderKind {
    Load, ///< Join the group and load its model.
    Release, ///< Leave any group.
    Prefetch, ///< Fetch the weights of a model and stay free.
};

/// An order to an engine, with its fencing number.
struct SendOrder
{
    OperationId operation;
    VmId vm;
    Address address;
    OrderKind kind = OrderKind::Load;
    GroupId group;
    Generation generation;
    std::string model;
    std::vector<Address> members; ///< Of the group, head first.
};

struct SendHeartbeat
{
    Address peer;
    NodeId to;
    Heartbeat heartbeat;
};

/// Ask a peer for all shared values above a revision.
struct PullShared
{
    Address peer;
    Revision above;
};

/// Ask the owner of a ledger segment; also used by a node that owns it itself.
struct SendLedger
{
    OperationId operation;
    Address peer;
    SegmentIndex segment;
    LedgerRequest request;
};

/// Answer a peer's ledger request.
struct AnswerLedger
{
    OperationId operation;
    LedgerReply reply;
};

/// Send one attempt of a completion to the head of a group.
struct DispatchEngine
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
    std::uint32_t resumeFrom = 0; ///< Tokens the caller already has.
    std::uint32_t priority = 0; ///< Higher first.
    Duration timeLimit {0};
};

/// Send one attempt of a call to a plain service.
struct DispatchService
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

/// Give up an attempt: close its connection.
struct CancelAttempt
{
    RequestId request;
    AttemptNumber attempt;
};

/// One token of the answer to a caller.
struct AnswerToken
{
    RequestId request;
    std::string text;
};

/// The whole answer has been given.
struct AnswerEnd
{
    RequestId request;
    std::uint32_t tokens = 0;
};

/// A plain service's answer, passed on as it came.
struct AnswerService
{
    RequestId request;
    CallOutcome outcome;
    bool repeated = false; ///< From the ledger, not from this call.
};

/// The final refusal of a request, given at once.
struct Refuse
{
    RequestId request;
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    RunOutcome run = RunOutcome::NotRun;
    std::optional<Duration> retryAfter; ///< Where asking again can help.
};

/// A change of state worth a log line.
struct LogChange
{
    std::string event;
    std::string detail;
};

/// All requests have ended after a planned stop; the process may exit.
struct Stopped
{
};

using Action =
    std::variant<ReadShared, WatchShared, ReadNodes, ReadKey, CompareAndSwap, RenewLease,
                 ReleaseLease, ReadVmList, SendProbe, SendOrder, SendHeartbeat, PullShared,
                 SendLedger, AnswerLedger, DispatchEngine, DispatchService, CancelAttempt,
                 AnswerToken, AnswerEnd, AnswerService, Refuse, LogChange, Stopped>;

/// Actions in the order in which they are to be carried out.
using Actions = std::vector<Action>;

} // namespace bramleypitch
