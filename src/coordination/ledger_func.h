#pragma once

#include "coordination/ledger_type.h"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleypitch {

/// Segments of a ledger. Every node and every life must agree, as a key's segment follows from it.
constexpr std::uint32_t ledgerSegments = 16;
constexpr std::size_t maxOutcomeBytes = 2'048; ///< Of a recorded answer's body.

/// Sizes and times of the ledger.
struct LedgerLimits
{
    std::size_t rollBytes = 64 * 1024; ///< Above this a head moves closed records to a page.
    std::size_t fullBytes = 512 * 1024; ///< Above this a head takes no further claims.
    Duration retention {24 * 3'600'000}; ///< How long a key is remembered.
    Duration claimExpiry {600'000}; ///< A claim without outcome is closed as unknown.
    double writesPerSecond = 12.5; ///< Of one segment: 16 segments stay at 200 a second.
    double writeBurst = 5;
    Duration cacheIdle {60'000}; ///< A segment not asked for so long is dropped from memory.
};

/// Closed records of the pages, by key.
using LedgerArchive = std::unordered_map<LedgerKey, LedgerRecord>;

/// What a batch of requests makes of a head: the new head and one reply a request. Replies hold
/// only once the new head is written; `changed` says whether there is anything to write.
struct LedgerBatch
{
    SegmentHead head;
    std::vector<LedgerReply> replies;
    bool changed = false;
};

/// Applies requests to a head in order, without effect outside. `archive` must hold every page
/// that the head's chain names, within retention.
LedgerBatch applyRequests(const SegmentHead &head, const LedgerArchive &archive,
                          const std::vector<LedgerRequest> &requests, const LedgerLimits &limits);

/// Splits a head for a page roll: closed records (and claims without outcome for longer than the
/// expiry, as unknown) go to the page, the rest stays. Abandonments as old are dropped.
std::pair<LedgerPage, SegmentHead> splitHead(const SegmentHead &head, WallTime now,
                                             const LedgerLimits &limits);

/// The ledger key of a call. Parts are length-prefixed, so that they cannot run together.
LedgerKey ledgerKey(std::string_view organisation, std::string_view service,
                    std::string_view idempotencyKey);
/// Digest by which a repeat is told from another call with the same key.
std::string callDigest(std::string_view method, std::string_view path, std::string_view body);
/// The segment of a key.
SegmentIndex segmentOf(const LedgerKey &key);
/// The creation time that a UUID of version 7 (RFC 9562) carries, or none for any other key.
std::optional<WallTime> creationTime(std::string_view idempotencyKey);

std::string serializeHead(const SegmentHead &head);
/// Throws Failure(PlatformProtocol) if it is not a head.
SegmentHead parseHead(std::string_view text);
std::string serializePage(const LedgerPage &page);
/// Throws Failure(PlatformProtocol) if it is not a page.
LedgerPage parsePage(std::string_view text);

} // namespace bramleypitch
