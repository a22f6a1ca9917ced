#pragma once

#include "coordination/ledger_type.h"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleypitch {

/// Number of segments of a ledger. All nodes and all versions must use the same value, because the
/// segment of a key depends on it.
constexpr std::uint32_t ledgerSegmentCount = 16;
constexpr std::size_t maxOutcomeBytes = 2'048; ///< Maximum size of the recorded body of a response.

/// Size and time limits of the ledger.
struct LedgerLimits
{
    std::size_t pageSplitBytes = 64 * 1024; ///< A larger head moves its closed records to a page.
    std::size_t maxHeadBytes = 512 * 1024; ///< Maximum estimated size of a head with a new claim.
    Duration retention {24 * 3'600'000}; ///< How long a key is kept.
    Duration claimExpiry {600'000}; ///< An older claim without outcome becomes Unknown.
    double writesPerSecond = 12.5; ///< Per segment; 200 per second for all 16 segments.
    double writeBurst = 5; ///< Writes that a segment may make at once after a pause.
    Duration cacheIdleTimeout {
        60'000}; ///< An unused segment is evicted from memory after this time.
};

/// Closed records from the pages, by key.
using LedgerArchive = std::unordered_map<LedgerKey, LedgerRecord>;

/// Result of applying a batch of requests to a head: the new head and one reply per request. If
/// `changed` is set, the replies are valid only after the new head has been written.
struct LedgerBatch
{
    SegmentHead head;
    std::vector<LedgerReply> replies;
    bool changed = false;
};

/// Applies requests to a head in order, without side effects. `archive` must contain every page in
/// the linked list of the head that is within the retention period.
LedgerBatch applyRequests(const SegmentHead &head, const LedgerArchive &archive,
                          const std::vector<LedgerRequest> &requests, const LedgerLimits &limits);

/// Splits off the closed records of a head into a new page. Claims without outcome that are older
/// than the claim expiry become Unknown and go to the page as well; abandoned claims of that age
/// are dropped. All other records stay in the head.
std::pair<LedgerPage, SegmentHead> splitHead(const SegmentHead &head, WallTime now,
                                             const LedgerLimits &limits);

/// Returns the ledger key of a call. The parts are length-prefixed before hashing, so that
/// different parts never give the same concatenation.
LedgerKey ledgerKey(std::string_view organisation, std::string_view service,
                    std::string_view idempotencyKey);
/// Returns the digest that distinguishes a repeat of a call from a different call with the same
/// key.
std::string callDigest(std::string_view method, std::string_view path, std::string_view body);
/// Returns the segment of a key.
SegmentIndex segmentOf(const LedgerKey &key);
/// Returns the creation time contained in a UUID of version 7 (RFC 9562), or nothing for any other
/// key.
std::optional<WallTime> creationTime(std::string_view idempotencyKey);

std::string serializeHead(const SegmentHead &head);
/// Throws Failure(PlatformProtocol) if `text` is not a valid head.
SegmentHead parseHead(std::string_view text);
std::string serializePage(const LedgerPage &page);
/// Throws Failure(PlatformProtocol) if `text` is not a valid page.
LedgerPage parsePage(std::string_view text);

} // namespace bramleypitch
