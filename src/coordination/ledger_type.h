#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

/// Hash of organisation, service and idempotency key, 32 hexadecimal digits.
using LedgerKey = StrongType<struct LedgerKeyTag, std::string>;
/// Names one request's claim: unique over all nodes and lives.
using ClaimId = StrongType<struct ClaimIdTag, std::string>;

/// What the ledger knows of a key.
enum class ClaimState {
    Claimed, ///< Granted to one request; may have run.
    Done, ///< Ran; the outcome is recorded.
    Abandoned, ///< Never sent, and its claim never will be; any other claim may take the key.
    Unknown, ///< Granted long ago and never heard of again; may have run.
};

/// The outcome a repeat of the call is answered with.
struct CallOutcome
{
    std::int32_t status = 0;
    std::string contentType;
    std::string body; ///< Cut at maxOutcomeBytes.
    bool cut = false; ///< The body was longer.

    bool operator==(const CallOutcome &) const = default;
};

/// One key in a segment.
struct LedgerRecord
{
    LedgerKey key;
    std::string digest; ///< Hash of method, path and body of the first call.
    ClaimId claim;
    ClaimState state = ClaimState::Claimed;
    WallTime when; ///< When it was claimed.
    CallOutcome outcome;

    bool operator==(const LedgerRecord &) const = default;
};

/// The head value of a segment. All claims of the segment pass through its compare-and-swap.
/// Closed records move to immutable pages that form a chain, newest first.
struct SegmentHead
{
    Nonce nonce;
    Nonce lastPage; ///< Name of the newest page; empty if there is none.
    std::vector<LedgerRecord> records;

    bool operator==(const SegmentHead &) const = default;
};

/// An immutable page of closed records, written before the head names it.
struct LedgerPage
{
    Nonce previous;
    std::vector<LedgerRecord> records;
};

/// What a node asks of a segment's owner.
enum class LedgerVerb {
    Claim, ///< Grant this key to this claim.
    Record, ///< The claim's call ended with this outcome.
    Abandon, ///< The claim was never sent and never will be: the key is free again.
};

struct LedgerRequest
{
    LedgerVerb verb = LedgerVerb::Claim;
    LedgerKey key;
    std::string digest;
    ClaimId claim;
    WallTime when;
    CallOutcome outcome; ///< For Record.

    bool operator==(const LedgerRequest &) const = default;
};

/// The owner's answer.
enum class LedgerAnswer {
    Granted, ///< The claim is durable; the asker alone may send, once.
    Recorded, ///< Record or Abandon took effect, or had before.
    Repeat, ///< The key has an outcome; it comes with the reply.
    InProgress, ///< The key is another request's and has no outcome.
    KeyReused, ///< The key was used for another call.
    Full, ///< No room in the segment; nothing was claimed.
    Unavailable, ///< The platform gave no certain answer; ask again with the same claim.
};

struct LedgerReply
{
    LedgerAnswer answer = LedgerAnswer::Unavailable;
    CallOutcome outcome; ///< For Repeat.
};

} // namespace bramleypitch
