#pragma once

#include "core/error_type.h"
#include "request/backend_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleypitch {

/// A request whose header and body have come in whole.
struct RequestArrival
{
    RequestId request;
    std::string traceId; ///< The caller's own id of the request, for logs.
    std::string host; ///< Lower case, without port.
    std::string path;
    std::string key; ///< The caller's API key; empty without one.
    ModelId model; ///< Empty for plain services.
    double promptTokens = 0;
    double answerTokens = 0; ///< As the caller expects, or at most.
    std::optional<Duration> timeLimit; ///< How long the caller waits.
};

/// How an attempt failed, as far as its effect at the server is concerned.
enum class AttemptFailure {
    Unsent, ///< No byte of it left this node.
    NotExecuted, ///< The server says that it did not run it.
    Misdirected, ///< Another server has the address, or the server is not a head.
    Silent, ///< Nothing came for so long that it was given up; it may have run.
    Broken, ///< It ended without a whole answer and may have run.
};

/// Send an attempt to a server.
struct DispatchAttempt
{
    RequestId request;
    AttemptNumber attempt;
    VmId server;
    Address address;
    OrganisationId organisation; ///< Empty on routes without keys.
    Duration timeLeft {0};
    bool freshConnection = false; ///< A reused connection could close as the request is sent.
};

/// Close the connection of the attempt under way.
struct AbandonAttempt
{
    RequestId request;
};

/// Hand the whole answer that was received to the caller.
struct DeliverAnswer
{
    RequestId request;
};

/// Answer a request, of which nothing was passed on yet, with a failure.
struct RefuseRequest
{
    RequestId request;
    ErrorCode code = ErrorCode::Internal;
    RunOutcome run = RunOutcome::NotRun;
    std::optional<Duration> retryAfter; ///< Where asking again can help.
};

/// End an answer that has begun so that it cannot pass for whole.
struct BreakAnswer
{
    RequestId request;
};

/// A decision on a request, for the log.
struct NoteDecision
{
    std::string traceId;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using RequestAction = std::variant<DispatchAttempt, AbandonAttempt, DeliverAnswer, RefuseRequest,
                                   BreakAnswer, NoteDecision>;
using RequestActions = std::vector<RequestAction>;

} // namespace bramleypitch
