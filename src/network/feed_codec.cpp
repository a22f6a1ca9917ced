#include "network/feed_codec.h"

#include "core/error_type.h"
#include "network/gen/peer_types.h"
#include "network/thrift_bytes.h"

#include <zlib.h>

#include <algorithm>
#include <limits>

namespace bramleypitch {

namespace {

/// Limit on the decompressed size of the changes of a feed.
constexpr std::size_t maxChangesBytes = 4 * 1024 * 1024;

constexpr std::size_t maxChanges = 2'000; ///< Of a feed, as in the log of StoreMirror.
/// Limit on revisions and clocks that other nodes state, far from an overflow.
constexpr std::int64_t maxInteger = (std::int64_t {1} << 53U) - 1;
constexpr std::int64_t maxProofAge = std::numeric_limits<std::int32_t>::max();

std::int64_t inRange(std::int64_t value, std::int64_t maximum)
{
    if (value < 0 || value > maximum)
        throw Failure(ErrorCode::PlatformProtocol, "a number of a feed is out of range");
    return value;
}

std::string compress(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const int result =
        compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK)
        throw Failure(ErrorCode::PlatformProtocol, "the changes of a feed cannot be compressed");
    compressed.resize(size);
    return compressed;
}

std::string decompress(const std::string &compressed)
{
    std::string bytes;
    for (std::size_t capacity = 4 * compressed.size() + 1'024; capacity <= 2 * maxChangesBytes;
         capacity *= 4) {
        uLongf size = std::min(capacity, maxChangesBytes);
        bytes.resize(size);
        const int result =
            uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                       reinterpret_cast<const Bytef *>(compressed.data()), compressed.size());
        if (result == Z_OK) {
            bytes.resize(size);
            return bytes;
        }
        if (result != Z_BUF_ERROR)
            break;
    }
    throw Failure(ErrorCode::PlatformProtocol, "the changes of a feed cannot be decompressed");
}

peer::FeedChanges toWire(const std::vector<StoreChange> &changes)
{
    peer::FeedChanges wire;
    for (const StoreChange &change : changes) {
        peer::FeedChange item;
        item.key = change.key;
        item.revision = change.revision.value();
        item.deleted = change.deleted;
        item.value = change.value;
        wire.changes.push_back(std::move(item));
    }
    return wire;
}

} // namespace

std::string FeedCodec::serialize(const StoreFeed &feed)
{
    peer::Feed wire;
    wire.store_era = feed.era.value();
    wire.from_revision = feed.from.value();
    wire.to_revision = feed.to.value();
    wire.echo_ms = milliseconds(feed.echo);
    wire.proof_age_ms = feed.proofAge.count();
    if (!feed.changes.empty()) {
        if (m_era != feed.era || m_from != feed.from || m_to != feed.to) {
            m_compressedChanges = compress(toThriftBytes(toWire(feed.changes)));
            m_era = feed.era;
            m_from = feed.from;
            m_to = feed.to;
        }
        wire.compressed_changes = m_compressedChanges;
    }
    return toThriftBytes(wire);
}

StoreFeed FeedCodec::parse(std::string_view bytes)
{
    const auto wire = fromThriftBytes<peer::Feed>(bytes, maxChanges);
    StoreFeed feed;
    feed.era = StoreEra(inRange(wire.store_era, maxInteger));
    feed.from = Revision(inRange(wire.from_revision, maxInteger));
    feed.to = Revision(inRange(wire.to_revision, maxInteger));
    feed.echo = timePoint(inRange(wire.echo_ms, maxInteger));
    feed.proofAge = Duration(inRange(wire.proof_age_ms, maxProofAge));
    std::vector<peer::FeedChange> changes = wire.changes;
    if (!wire.compressed_changes.empty())
        changes =
            fromThriftBytes<peer::FeedChanges>(decompress(wire.compressed_changes), maxChanges)
                .changes;
    for (const peer::FeedChange &item : changes)
        feed.changes.push_back(
            {item.key, Revision(inRange(item.revision, maxInteger)), item.deleted, item.value});
    return feed;
}

} // namespace bramleypitch
