#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace bramleypitch {

/// Error codes reported to operators and callers.
enum class ErrorCode {
    UnknownFlag, ///< The flag is not declared in the settings table.
    MissingSetting, ///< A required setting was not given.
    InvalidSetting, ///< A setting's value cannot be parsed as its type.
    AddressUnavailable, ///< A local address cannot be bound now.
    SettingOutOfBounds, ///< A setting's value is outside its declared bounds.
    DocumentInvalid, ///< The environment document failed validation.
    Conflict, ///< Another writer changed the value first.
    NothingToPromote, ///< The trial stage has no document.
    UnknownZone, ///< The document does not declare this availability zone.
    ZoneStateUnchanged, ///< The zone is already in the requested state.
    ZoneOutByDocument, ///< The document itself takes the zone out of service.
    PlatformUnavailable, ///< The platform's key-value service did not respond.
    PlatformProtocol, ///< A response of the platform could not be parsed.
    OutcomeUnknown, ///< A write was sent, but whether it took effect is unknown.
    MalformedRequest, ///< Body or headers of a caller's request cannot be parsed.
    BodyTooLarge,
    Unauthorized, ///< The API key belongs to no organisation.
    UnknownModel,
    UnknownService,
    UnknownPath,
    IdempotencyKeyMissing,
    IdempotencyKeyExpired, ///< The key is older than the ledger's retention period.
    IdempotencyKeyReused, ///< The key was already used for a different call.
    InProgress, ///< The first call with this key has no recorded outcome yet.
    LedgerUnavailable,
    LedgerFull,
    QueueFull,
    RateLimited, ///< The organisation has reached its own limit.
    RequestTooLarge, ///< No group has memory for the tokens of the request.
    DeadlineUnreachable, ///< The response could not start before its deadline.
    DeadlineExceeded,
    NoCapacity, ///< No complete group and no server can accept the request.
    ServersLimited, ///< Servers have a limit on their request rate, which is used up.
    PromptQuarantined, ///< The prompt has a part that crashes servers.
    ConfigurationStale, ///< The node cannot confirm that its configuration is current.
    Stopping, ///< The node is shutting down gracefully.
    ZoneOut, ///< The node's availability zone is out of service.
    BackendFailed, ///< All permitted attempts have failed.
    Internal,
};

/// Whether a call that was refused or failed may have been executed.
enum class RunOutcome {
    NotRun, ///< No byte of any attempt can have reached a backend server.
    MayHaveRun,
};

/// Returns the stable name of a code as used in responses and logs, such as "queue_full".
const char *errorName(ErrorCode code);

/// A validation error and its location in the input, such as "organisations[2].weight".
struct Fault
{
    std::string path;
    std::string message;

    bool operator==(const Fault &) const = default;
};

/// Exception with an error code and, for validation errors, the list of faults.
class Failure : public std::runtime_error
{
public:
    Failure(ErrorCode code, const std::string &message);
    Failure(ErrorCode code, std::vector<Fault> faults);

    ErrorCode code() const { return m_code; }
    /// Locations and messages of validation errors; empty if what() alone describes the failure.
    const std::vector<Fault> &faults() const { return m_faults; }

private:
    ErrorCode m_code;
    std::vector<Fault> m_faults;
};

} // namespace bramleypitch
