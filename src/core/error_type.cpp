#include "core/error_type.h"

namespace bramleypitch {

const char *errorName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::UnknownFlag:
        return "unknown_flag";
    case ErrorCode::MissingSetting:
        return "missing_setting";
    case ErrorCode::InvalidSetting:
        return "invalid_setting";
    case ErrorCode::AddressUnavailable:
        return "address_unavailable";
    case ErrorCode::SettingOutOfBounds:
        return "setting_out_of_bounds";
    case ErrorCode::DocumentInvalid:
        return "document_invalid";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::NothingToPromote:
        return "nothing_to_promote";
    case ErrorCode::UnknownZone:
        return "unknown_zone";
    case ErrorCode::ZoneStateUnchanged:
        return "zone_state_unchanged";
    case ErrorCode::ZoneOutByDocument:
        return "zone_out_by_document";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::PlatformProtocol:
        return "platform_protocol";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::MalformedRequest:
        return "malformed_request";
    case ErrorCode::BodyTooLarge:
        return "body_too_large";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::UnknownModel:
        return "unknown_model";
    case ErrorCode::UnknownService:
        return "unknown_service";
    case ErrorCode::UnknownPath:
        return "unknown_path";
    case ErrorCode::IdempotencyKeyMissing:
        return "idempotency_key_missing";
    case ErrorCode::IdempotencyKeyExpired:
        return "idempotency_key_expired";
    case ErrorCode::IdempotencyKeyReused:
        return "idempotency_key_reused";
    case ErrorCode::InProgress:
        return "in_progress";
    case ErrorCode::LedgerUnavailable:
        return "ledger_unavailable";
    case ErrorCode::LedgerFull:
        return "ledger_full";
    case ErrorCode::QueueFull:
        return "queue_full";
    case ErrorCode::RateLimited:
        return "rate_limited";
    case ErrorCode::RequestTooLarge:
        return "request_too_large";
    case ErrorCode::DeadlineUnreachable:
        return "deadline_unreachable";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::NoCapacity:
        return "no_capacity";
    case ErrorCode::ServersLimited:
        return "servers_limited";
    case ErrorCode::PromptQuarantined:
        return "prompt_quarantined";
    case ErrorCode::ConfigurationStale:
        return "configuration_stale";
    case ErrorCode::Stopping:
        return "stopping";
    case ErrorCode::ZoneOut:
        return "zone_out";
    case ErrorCode::BackendFailed:
        return "backend_failed";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

namespace {

/// Formats faults as one line each, for use as the exception message.
std::string describe(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        if (!text.empty())
            text += '\n';
        text += fault.path + ": " + fault.message;
    }
    return text;
}

} // namespace

Failure::Failure(ErrorCode code, const std::string &message)
    : std::runtime_error(message)
    , m_code(code)
{
}

Failure::Failure(ErrorCode code, std::vector<Fault> faults)
    : std::runtime_error(describe(faults))
    , m_code(code)
    , m_faults(std::move(faults))
{
}

} // namespace bramleypitch
