#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace bramleypitch {

/// Result of a conditional write.
enum class StoreSwapOutcome {
    Written,
    Conflict,
    Refused, ///< Nothing was written: the store turned the call away.
    Unknown, ///< It may or may not have been written.
};

/// Reply to a compare-and-swap.
struct StoreSwapResult
{
    StoreSwapOutcome outcome = StoreSwapOutcome::Unknown;
    Revision revision; ///< The revision of the value now stored, if known.
    std::string value; ///< On a conflict, the value now stored.
    StoreEra era; ///< Of the store when it answered.
};

/// A write of one key in a transaction: the key has to be at revision `expected`, where 0 means
/// that it must not exist.
struct StoreWrite
{
    std::string key;
    Revision expected;
    std::string value;
};

/// Reply to granting or renewing a lease. A time to live of zero means that the lease has expired.
struct StoreLease
{
    bool ok = false; ///< Whether the store answered.
    std::int64_t id = 0;
    Duration timeToLive {0};
    StoreEra era; ///< Of the store when it answered.
};

/// The value or deletion of one key, as returned by a read or a watch.
struct StoreChange
{
    std::string key;
    Revision revision;
    bool deleted = false;
    std::string value;
    /// The store has come back from an older copy: this is what the copy holds, which may be older
    /// than what was read before. What is missing may be written again.
    bool fromCopy = false;
};

/// Reply to the read of one page of a prefix, or to a watch.
struct StoreReply
{
    enum class Outcome {
        Read,
        Compacted, ///< The watch's revision was compacted: all keys have to be read again.
        TooLong, ///< The changes fill more bytes than the watch allowed. None are reported.
        Failed, ///< No valid reply.
    };
    Outcome outcome = Outcome::Failed;
    std::vector<StoreChange> changes;
    Revision storeRevision; ///< The store's revision when it answered.
    std::string lastKey; ///< Of the last item, also if that was left out.
    std::size_t skipped = 0; ///< Items that were left out as they could not be read.
    bool more = false; ///< Only for reads: more pages follow after the last key.
    std::string cause; ///< The reason of a failure, for the log.
    StoreEra era; ///< Of the store when it answered.
};

/// All changes of the store between two revisions, sent by one node to another.
struct StoreFeed
{
    StoreEra era; ///< To which the revisions belong.
    Revision from; ///< Exclusive; the receiver must have all changes up to this revision.
    Revision to; ///< Inclusive.
    std::vector<StoreChange> changes;
    TimePoint echo; ///< By the receiver's clock, the time at which it sent its last pulse.
    Duration proofAge {0}; ///< Age of the last proof, when sent, that `to` was the newest revision.

    /// The age of no proof.
    static constexpr Duration noProof {std::numeric_limits<std::int32_t>::max()};
    /// Whether the sender cannot send the changes up to `from`: they are too many or too long, and
    /// the receiver has to read them from the store.
    bool isNotice() const { return changes.empty() && proofAge == noProof; }
};

/// Interface of the platform's key-value store, independent of its protocol. Every call has a
/// timeout and invokes its callback exactly once.
class StoreClient
{
public:
    StoreClient() = default;
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;
    virtual ~StoreClient() = default;

    /// Reads one page of the keys with a prefix, starting after the key `after`. The store chooses
    /// the page size.
    virtual void readPage(const std::string &prefix, const std::string &after,
                          const std::function<void(const StoreReply &)> &done) = 0;
    /// Waits up to `wait` for changes of keys with a prefix above a revision. A reply of more than
    /// `maxBytes` is given up as soon as its length is known.
    virtual void watch(const std::string &prefix, Revision above, Duration wait,
                       std::size_t maxBytes,
                       const std::function<void(const StoreReply &)> &done) = 0;
    /// Writes a key if its revision is `expected`; 0 means that the key must not exist. If `lease`
    /// is not 0, the key is deleted when that lease ends.
    virtual void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                                std::int64_t lease,
                                const std::function<void(const StoreSwapResult &)> &done) = 0;
    /// Writes several keys in one transaction: all of them at one revision, or none. On a conflict
    /// the revision and the value are not reported. A store without transactions over several keys
    /// writes nothing and reports Unknown.
    virtual void writeAll(const std::vector<StoreWrite> &writes,
                          const std::function<void(const StoreSwapResult &)> &done)
    {
        if (writes.size() == 1)
            compareAndSwap(writes.front().key, writes.front().expected, writes.front().value, 0,
                           done);
        else
            done(StoreSwapResult());
    }
    virtual void grantLease(Duration timeToLive,
                            const std::function<void(const StoreLease &)> &done) = 0;
    virtual void keepLeaseAlive(std::int64_t lease,
                                const std::function<void(const StoreLease &)> &done) = 0;
    virtual void revokeLease(std::int64_t lease, const std::function<void()> &done) = 0;
};

} // namespace bramleypitch
