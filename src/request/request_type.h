#pragma once

#include "core/error_type.h"
#include "request/backend_type.h"
#include "request/quarantine_type.h"
#include "request/server_limit_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleypitch {

/// A request whose header and body were received completely.
struct RequestArrival
{
    RequestId request;
    std::string traceId; ///< Request id chosen by the caller, for logs.
    std::string host; ///< Lower case, without port.
    std::string path;
    std::string key; ///< API key of the caller. Empty if there is none.
    ModelId model; ///< Empty for plain services.
    double promptTokens = 0;
    double completionTokens = 0; ///< Expected or maximum length of the completion.
    std::optional<Duration> timeLimit; ///< How long the caller is willing to wait.
    /// Hashes of the names of the prompt's parts that other requests may share.
    std::vector<std::uint64_t> promptParts;
    std::uint64_t prompt = 0; ///< Hash of the names of all parts of the prompt.
    /// Attempts that are left to this node; set if another node passed the request on.
    std::optional<std::uint32_t> attemptsLeft;
    std::string forwardKey; ///< What a node showed with a request that it passed on.
    /// It names the version of the weights that it expects, so that a server may refuse it for
    /// that.
    bool expectsVersion = false;
    std::size_t bodyBytes = 0; ///< Size of its body.
    std::uint64_t content = 0; ///< Hash of method, target and body; 0 if they are not known.
};

/// What a server states about itself in the head of any response.
struct ServerNotice
{
    VmId server; ///< The server that responded; empty if the response does not name it.
    bool leaving = false; ///< This run of the server leaves.
    std::optional<Duration> pause; ///< It wants no requests of this node for this time.
    /// What it says of its limit; none if the response does not tell.
    std::optional<LimitStatement> limit;
};

/// How an attempt failed, classified by its possible effect on the server.
enum class AttemptFailure {
    Unsent, ///< Nothing was sent.
    NotExecuted, ///< The server states that it did not execute the request.
    Misdirected, ///< The address belongs to another server, or the server is not a head.
    Withdrawn, ///< Nothing was sent: the server takes no requests any more. It is not at fault.
    Paused, ///< The server did not execute the request and asked for a pause. It is not at fault.
    Broken, ///< It ended without a complete response. It may have been executed.
    Unusable, ///< Its response cannot be passed on. It may have been executed.
};

/// Another node that takes requests and reaches servers.
struct PeerNode
{
    NodeId node;
    Address front; ///< Where it takes requests of callers.
    bool isOwnZone = false;
    std::string forwardKey; ///< Shown with requests that are passed on to it. May be empty.
};

/// Action: send an attempt to a server.
struct DispatchAttempt
{
    RequestId request;
    AttemptNumber attempt;
    VmId server;
    Address address;
    OrganisationId organisation; ///< Empty on routes without API keys.
    NodeId node; ///< If set, the request is passed on to this node, not sent to a server.
    std::uint32_t attemptsLeft = 0; ///< For that node.
    std::string forwardKey; ///< Shown to that node. May be empty.
    Duration timeLeft {0};
    /// Told to the server, 0 to 9, 0 first. Empty if all requests of the service have the same.
    std::optional<int> priority;
    /// Requires a new connection. A reused one could be closed while the request is being sent.
    bool needsNewConnection = false;
    /// The attempt before this one stays open: its server is silent, but may go on.
    bool keepsPrevious = false;
};

/// Action: close the connection of an attempt if it is still open. If it was the current one, the
/// latest one that is left is the current one again.
struct AbandonAttempt
{
    RequestId request;
    AttemptNumber attempt;
};

/// Action: forward the complete response that was received to the caller.
struct DeliverResponse
{
    RequestId request;
};

/// Action: respond with an error. Nothing was forwarded to the caller before.
struct RefuseRequest
{
    RequestId request;
    ErrorCode code = ErrorCode::Internal;
    RunOutcome run = RunOutcome::NotRun;
    std::optional<Duration> retryAfter; ///< Set if a retry by the caller may succeed.
};

/// Action: abort a response that has begun, so that the caller does not consider it complete.
struct BreakResponse
{
    RequestId request;
};

/// Action: log a decision on a request.
struct LogDecision
{
    std::string traceId;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using RequestAction = std::variant<DispatchAttempt, AbandonAttempt, DeliverResponse, RefuseRequest,
                                   BreakResponse, LogDecision>;
using RequestActions = std::vector<RequestAction>;

} // namespace bramleypitch
