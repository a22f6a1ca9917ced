#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

/// Hash of organisation, service and idempotency key, as 32 hexadecimal digits.
using LedgerKey = StrongType<struct LedgerKeyTag, std::string>;
/// Identifies the claim of one request. Unique across all nodes and their restarts.
using ClaimId = StrongType<struct ClaimIdTag, std::string>;

/// State of a key in the ledger.
enum class ClaimState {
    Claimed, ///< Granted to one request, which may have run.
    Done, ///< The call ran and its outcome is recorded.
    Abandoned, ///< The call was not sent and never will be; another claim may take the key.
    Unknown, ///< Granted, but no outcome was recorded in time; the call may have run.
};

/// Recorded response of a call, with which repeats of the call are answered.
struct CallOutcome
{
    std::int32_t status = 0;
    std::string contentType;
    std::string body; ///< Truncated to maxOutcomeBytes.
    bool cut = false; ///< The body was truncated.

    bool operator==(const CallOutcome &) const = default;
};

/// Ledger entry of one key.
struct LedgerRecord
{
    LedgerKey key;
    std::string digest; ///< Hash of method, path and body of the first call.
    ClaimId claim;
    ClaimState state = ClaimState::Claimed;
    WallTime when; ///< Time of the claim.
    CallOutcome outcome;

    bool operator==(const LedgerRecord &) const = default;
};

/// The head value of a segment. Every claim in the segment is made by a compare-and-swap of this
/// value. Closed records are moved to immutable pages, which form a linked list from the newest to
/// the oldest.
struct SegmentHead
{
    Nonce nonce;
    Nonce lastPage; ///< Name of the newest page, or empty if there is none.
    std::vector<LedgerRecord> records;

    bool operator==(const SegmentHead &) const = default;
};

/// An immutable page of closed records. It is written before the head refers to it.
struct LedgerPage
{
    Nonce previous; ///< Name of the next older page, or empty if there is none.
    std::vector<LedgerRecord> records;
};

/// Operation that a node requests from the owner of a segment.
enum class LedgerVerb {
    Claim, ///< Reserve the key for this claim.
    Record, ///< Record the outcome of the claimed call.
    Abandon, ///< Release the key: the claimed call was not sent and never will be.
};

struct LedgerRequest
{
    LedgerVerb verb = LedgerVerb::Claim;
    LedgerKey key;
    std::string digest;
    ClaimId claim;
    WallTime when;
    CallOutcome outcome; ///< Set for Record only.

    bool operator==(const LedgerRequest &) const = default;
};

/// Result of a ledger request.
enum class LedgerAnswer {
    Granted, ///< The claim is durable; only the requester may send the call, and only once.
    Recorded, ///< Record or Abandon has taken effect, now or earlier.
    Repeat, ///< The call already ran; the reply contains its outcome.
    InProgress, ///< The key is claimed by another request and has no outcome yet.
    KeyReused, ///< The key was already used for a different call.
    Full, ///< The segment is full; nothing was claimed.
    Unavailable, ///< The store gave no definite reply; retry with the same claim.
};

struct LedgerReply
{
    LedgerAnswer answer = LedgerAnswer::Unavailable;
    CallOutcome outcome; ///< Set for Repeat only.
};

} // namespace bramleypitch
