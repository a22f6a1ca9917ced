#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace bramleypitch {

/// Every kind of failure the product reports, to operators and to callers.
enum class ErrorCode {
    UnknownFlag, ///< A flag that the settings table does not declare.
    MissingSetting, ///< A setting without default was not given.
    InvalidSetting, ///< A setting's value cannot be read as its type.
    SettingOutOfBounds, ///< A setting's value is outside its declared bounds.
    DocumentInvalid, ///< The environment document has faults.
    Conflict, ///< Another writer changed the value first.
    NothingToPromote, ///< No document is in trial.
    UnknownZone, ///< The document names no such availability zone.
    ZoneStateUnchanged, ///< The zone is already in the state asked for.
    ZoneOutByDocument, ///< The document itself has the zone out.
    PlatformUnavailable, ///< The platform's key-value service gave no answer.
    PlatformProtocol, ///< The platform's answer could not be read.
    OutcomeUnknown, ///< A write was sent and its effect could not be learnt.
    MalformedRequest, ///< Body or header of a caller's request cannot be read.
    BodyTooLarge,
    Unauthorized, ///< No organisation has this key.
    UnknownModel,
    UnknownService,
    UnknownPath,
    IdempotencyKeyMissing,
    IdempotencyKeyExpired, ///< The key is older than the ledger's retention.
    IdempotencyKeyReused, ///< The key was first used for another call.
    InProgress, ///< The first call with this key has no recorded outcome.
    LedgerUnavailable,
    LedgerFull,
    QueueFull,
    RateLimited, ///< The organisation's own limit is reached.
    DeadlineUnreachable, ///< The answer could not start in time.
    DeadlineExceeded,
    NoCapacity, ///< No whole group or server can take the request.
    ConfigurationStale, ///< The node cannot tell whether its configuration is current.
    Stopping, ///< The node is in planned stop.
    ZoneOut, ///< The node's availability zone is out.
    BackendFailed, ///< All attempts allowed have failed.
    Internal,
};

/// Whether a refused or broken call can have had an effect.
enum class RunOutcome {
    NotRun, ///< No byte of any attempt can have reached a backend server.
    MayHaveRun,
};

/// The stable name of a code, as callers and logs see it ("queue_full").
const char *errorName(ErrorCode code);

/// One fault with the place it was found at ("organisations[2].weight").
struct Fault
{
    std::string path;
    std::string message;

    bool operator==(const Fault &) const = default;
};

/// The exception that carries a typed failure through the plumbing.
class Failure : public std::runtime_error
{
public:
    Failure(ErrorCode code, const std::string &message);
    Failure(ErrorCode code, std::vector<Fault> faults);

    ErrorCode code() const { return m_code; }
    /// Places and reasons; empty where one message says it all.
    const std::vector<Fault> &faults() const { return m_faults; }

private:
    ErrorCode m_code;
    std::vector<Fault> m_faults;
};

} // namespace bramleypitch
