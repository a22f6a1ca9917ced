#include "coordination/ledger_func.h"

#include "core/error_type.h"
#include "core/rendezvous_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bramleypitch {

namespace {

constexpr std::size_t recordOverheadBytes = 160; ///< Estimated bytes of a record without its body.

std::string hash64Hex(std::string_view bytes, std::uint64_t seed)
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(stableHash(bytes, seed)));
    return digits.data();
}

/// Concatenates two independent 64-bit hashes. Collisions of 128 bits are ignored.
std::string hash128Hex(const std::string &bytes)
{
    return hash64Hex(bytes, 1) + hash64Hex(bytes, 2);
}

/// Concatenates the parts, each with its length as prefix.
std::string lengthPrefixed(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return text;
}

/// Estimates the serialized size of a head.
std::size_t estimatedHeadBytes(const SegmentHead &head)
{
    std::size_t bytes = 0;
    for (const LedgerRecord &record : head.records)
        bytes += recordOverheadBytes + record.outcome.body.size();
    return bytes;
}

/// Applies requests one after another to a copy of the head.
class BatchApplier
{
public:
    BatchApplier(const SegmentHead &head, const LedgerArchive &archive, const LedgerLimits &limits)
        : m_archive(archive)
        , m_limits(limits)
        , m_bytes(estimatedHeadBytes(head))
    {
        m_batch.head = head;
        for (std::size_t i = 0; i < head.records.size(); ++i)
            m_index[head.records[i].key] = i;
    }

    void apply(const LedgerRequest &request)
    {
        switch (request.verb) {
        case LedgerVerb::Claim:
            m_batch.replies.push_back(claim(request));
            break;
        case LedgerVerb::Record:
            m_batch.replies.push_back(record(request));
            break;
        case LedgerVerb::Abandon:
            m_batch.replies.push_back(abandon(request));
            break;
        }
    }

    LedgerBatch takeBatch() { return std::move(m_batch); }

private:
    /// Returns the record of a key in the head or the archive, or null.
    const LedgerRecord *find(const LedgerKey &key) const
    {
        const auto open = m_index.find(key);
        if (open != m_index.end())
            return &m_batch.head.records[open->second];
        const auto closed = m_archive.find(key);
        return closed == m_archive.end() ? nullptr : &closed->second;
    }

    /// Returns the open claim of this request in the head, or null.
    LedgerRecord *findOpenClaim(const LedgerRequest &request)
    {
        const auto open = m_index.find(request.key);
        if (open == m_index.end())
            return nullptr;
        LedgerRecord &record = m_batch.head.records[open->second];
        return record.claim == request.claim && record.state == ClaimState::Claimed ? &record
                                                                                    : nullptr;
    }

    LedgerReply claim(const LedgerRequest &request)
    {
        const LedgerRecord *held = find(request.key);
        if (!held)
            return addRecord(request, ClaimState::Claimed);
        if (held->state == ClaimState::Abandoned)
            return claimAbandoned(request);
        if (held->digest != request.digest)
            return {LedgerAnswer::KeyReused, {}};
        if (held->state == ClaimState::Done)
            return {LedgerAnswer::Repeat, held->outcome};
        // The same claim is repeated after a lost reply: it was granted, and the call has not been
        // sent yet. Writing the head again verifies that this owner's copy of it is current.
        if (held->state == ClaimState::Claimed && held->claim == request.claim) {
            m_batch.changed = true;
            return {LedgerAnswer::Granted, {}};
        }
        return {LedgerAnswer::InProgress, {}};
    }

    LedgerReply addRecord(const LedgerRequest &request, ClaimState state)
    {
        if (m_bytes + recordOverheadBytes > m_limits.maxHeadBytes)
            return {LedgerAnswer::Full, {}};
        LedgerRecord record;
        record.key = request.key;
        record.digest = request.digest;
        record.claim = request.claim;
        record.state = state;
        record.when = request.when;
        m_index[request.key] = m_batch.head.records.size();
        m_batch.head.records.push_back(std::move(record));
        m_bytes += recordOverheadBytes;
        m_batch.changed = true;
        return {LedgerAnswer::Granted, {}};
    }

    /// Grants an abandoned key to any other claim. A request with the abandoned claim can only have
    /// been delayed in transit, and is not granted.
    LedgerReply claimAbandoned(const LedgerRequest &request)
    {
        LedgerRecord &held = m_batch.head.records[m_index.at(request.key)];
        if (held.claim == request.claim)
            return {LedgerAnswer::InProgress, {}};
        held.digest = request.digest;
        held.claim = request.claim;
        held.state = ClaimState::Claimed;
        held.when = request.when;
        m_batch.changed = true;
        return {LedgerAnswer::Granted, {}};
    }

    // Record and Abandon always write the head. A missing claim may just mean that this owner's
    // copy of the head is outdated; in that case the write conflicts and the request is applied
    // again.
    LedgerReply record(const LedgerRequest &request)
    {
        m_batch.changed = true;
        if (LedgerRecord *held = findOpenClaim(request)) {
            held->state = ClaimState::Done;
            held->outcome = request.outcome;
            m_bytes += request.outcome.body.size();
        }
        return {LedgerAnswer::Recorded, {}};
    }

    LedgerReply abandon(const LedgerRequest &request)
    {
        m_batch.changed = true;
        if (LedgerRecord *held = findOpenClaim(request)) {
            held->state = ClaimState::Abandoned;
            return {LedgerAnswer::Recorded, {}};
        }
        // The claim request may still be in transit, so the abandonment is recorded to reject it.
        if (!find(request.key))
            return addRecord(request, ClaimState::Abandoned).answer == LedgerAnswer::Full
                ? LedgerReply {LedgerAnswer::Unavailable, {}}
                : LedgerReply {LedgerAnswer::Recorded, {}};
        return {LedgerAnswer::Recorded, {}};
    }

    const LedgerArchive &m_archive;
    const LedgerLimits &m_limits;
    LedgerBatch m_batch;
    std::unordered_map<LedgerKey, std::size_t> m_index;
    std::size_t m_bytes;
};

char stateCode(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return 'c';
    case ClaimState::Done:
        return 'd';
    case ClaimState::Abandoned:
        return 'a';
    case ClaimState::Unknown:
        return 'u';
    }
    return 'u';
}

nlohmann::json recordJson(const LedgerRecord &record)
{
    nlohmann::json json {{"k", record.key},
                         {"g", record.digest},
                         {"c", record.claim},
                         {"s", std::string(1, stateCode(record.state))},
                         {"t", record.when}};
    if (record.state == ClaimState::Done) {
        json["st"] = record.outcome.status;
        json["ct"] = record.outcome.contentType;
        json["b"] = record.outcome.body;
        json["x"] = record.outcome.cut;
    }
    return json;
}

LedgerRecord parseRecord(const nlohmann::json &json)
{
    LedgerRecord record;
    json.at("k").get_to(record.key);
    json.at("g").get_to(record.digest);
    json.at("c").get_to(record.claim);
    json.at("t").get_to(record.when);
    const auto state = json.at("s").get<std::string>();
    record.state = state == "c" ? ClaimState::Claimed
        : state == "d"          ? ClaimState::Done
        : state == "a"          ? ClaimState::Abandoned
                                : ClaimState::Unknown;
    if (record.state == ClaimState::Done) {
        json.at("st").get_to(record.outcome.status);
        json.at("ct").get_to(record.outcome.contentType);
        json.at("b").get_to(record.outcome.body);
        json.at("x").get_to(record.outcome.cut);
    }
    return record;
}

nlohmann::json recordsJson(const std::vector<LedgerRecord> &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const LedgerRecord &record : records)
        list.push_back(recordJson(record));
    return list;
}

std::vector<LedgerRecord> parseRecords(const nlohmann::json &list)
{
    std::vector<LedgerRecord> records;
    for (const nlohmann::json &item : list)
        records.push_back(parseRecord(item));
    return records;
}

/// Serializes JSON. Response bodies may contain arbitrary bytes; invalid UTF-8 is replaced instead
/// of rejected.
std::string dumpLossy(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionIndex = 14; ///< Index of the version digit.
constexpr int hexBase = 16;

} // namespace

LedgerBatch applyRequests(const SegmentHead &head, const LedgerArchive &archive,
                          const std::vector<LedgerRequest> &requests, const LedgerLimits &limits)
{
    BatchApplier applier(head, archive, limits);
    for (const LedgerRequest &request : requests)
        applier.apply(request);
    return applier.takeBatch();
}

std::pair<LedgerPage, SegmentHead> splitHead(const SegmentHead &head, WallTime now,
                                             const LedgerLimits &limits)
{
    LedgerPage page;
    SegmentHead remaining;
    page.previous = head.lastPage;
    remaining.lastPage = head.lastPage;
    for (LedgerRecord record : head.records) {
        const bool expired = now.value() - record.when.value() > limits.claimExpiry.count();
        if (record.state == ClaimState::Claimed && expired)
            record.state = ClaimState::Unknown;
        if (record.state == ClaimState::Abandoned && expired)
            continue;
        const bool open =
            record.state == ClaimState::Claimed || record.state == ClaimState::Abandoned;
        auto &destination = open ? remaining.records : page.records;
        destination.push_back(std::move(record));
    }
    return {std::move(page), std::move(remaining)};
}

LedgerKey ledgerKey(std::string_view organisation, std::string_view service,
                    std::string_view idempotencyKey)
{
    return LedgerKey(hash128Hex(lengthPrefixed({organisation, service, idempotencyKey})));
}

std::string callDigest(std::string_view method, std::string_view path, std::string_view body)
{
    return hash64Hex(lengthPrefixed({method, path, body}), 3);
}

SegmentIndex segmentOf(const LedgerKey &key)
{
    return SegmentIndex(static_cast<std::uint32_t>(stableHash(key.value()) % ledgerSegmentCount));
}

std::optional<WallTime> creationTime(std::string_view key)
{
    if (key.size() != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-'
        || key[23] != '-' || key[uuidVersionIndex] != '7')
        return std::nullopt;
    std::string digits(key.substr(0, 8));
    digits += key.substr(9, 4);
    if (digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        return std::nullopt;
    return WallTime(std::stoll(digits, nullptr, hexBase));
}

std::string serializeHead(const SegmentHead &head)
{
    return dumpLossy({{"nonce", head.nonce},
                      {"last_page", head.lastPage},
                      {"records", recordsJson(head.records)}});
}

SegmentHead parseHead(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        SegmentHead head;
        json.at("nonce").get_to(head.nonce);
        json.at("last_page").get_to(head.lastPage);
        head.records = parseRecords(json.at("records"));
        return head;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, error.what());
    }
}

std::string serializePage(const LedgerPage &page)
{
    return dumpLossy({{"previous", page.previous}, {"records", recordsJson(page.records)}});
}

LedgerPage parsePage(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        LedgerPage page;
        json.at("previous").get_to(page.previous);
        page.records = parseRecords(json.at("records"));
        return page;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, error.what());
    }
}

} // namespace bramleypitch
