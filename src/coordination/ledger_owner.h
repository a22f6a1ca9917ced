#pragma once

#include "coordination/action_type.h"
#include "coordination/event_type.h"
#include "coordination/ledger_func.h"

#include <functional>
#include <map>
#include <string>

namespace bramleypitch {

/// Batches the requests for ledger segments and writes the head of each segment with one
/// compare-and-swap at a time. Any node may act as the owner of any segment at any time. Two owners
/// of a segment cause write conflicts, but never grant a key twice. Rendezvous hashing selects one
/// owner to avoid the conflicts.
class LedgerOwner
{
public:
    /// Called with the reply to a request, while the event that completes the request is handled.
    using ReplyHook = std::function<void(OperationId operation, const LedgerReply &reply)>;
    /// Returns an operation id that is unique on this node.
    using OperationHook = std::function<OperationId()>;

    LedgerOwner(std::string keyPrefix, std::string nodeName, LedgerLimits limits,
                OperationHook newOperation);

    /// Sets the function that receives the replies.
    void setReplyHook(ReplyHook hook) { m_replyHook = std::move(hook); }

    /// Queues a request. The reply is passed to the reply hook.
    void submit(const LedgerRequested &asked, TimePoint now, Actions &actions);
    /// Handles the result of a ReadKey. Returns false if this object did not start the operation.
    bool onKeyRead(const KeyRead &read, TimePoint now, Actions &actions);
    /// Handles the result of a CompareAndSwap. Returns false if this object did not start the
    /// operation.
    bool onSwapDone(const SwapDone &done, TimePoint now, Actions &actions);
    /// Starts the writes that the rate limit allows, and evicts idle segments.
    void tick(WallTime wall, TimePoint now, Actions &actions);

    /// Number of compare-and-swaps started since the start of the node.
    std::uint64_t writes() const { return m_writes; }
    /// Number of requests answered after a write or from the cached head.
    std::uint64_t answeredCount() const { return m_answered; }

private:
    enum class Phase {
        Unloaded,
        ReadingHead,
        ReadingPages, ///< Reading pages from the newest back to one in the archive.
        Ready,
        WritingPage,
        WritingHead,
    };

    struct Pending
    {
        OperationId operation;
        LedgerRequest request;
    };

    struct Segment
    {
        Phase phase = Phase::Unloaded;
        OperationId operation; ///< The read or write in progress.
        SegmentHead head;
        Revision revision; ///< Store revision of `head`.
        TimePoint headVerifiedAt; ///< Time when `head` was last known to match the store.
        LedgerArchive archive;
        Nonce newestArchivedPage; ///< Newest page in the archive.
        Nonce readingPage; ///< The page being read.
        SegmentHead headInWrite; ///< Head of the write in progress.
        LedgerPage page; ///< Page of the write in progress.
        Nonce pageName; ///< Name of `page`.
        std::vector<Pending> pending; ///< Requests that wait for the next write.
        std::vector<Pending> requestsInWrite; ///< Requests that the write in progress completes.
        std::vector<LedgerReply> replies; ///< Replies to `requestsInWrite`, in the same order.
        double tokens = 0; ///< Tokens of the token bucket that limits writes.
        TimePoint tokensUpdatedAt; ///< Time when `tokens` was last updated.
        TimePoint lastUsedAt; ///< Time of the last request.
        TimePoint retryAt; ///< No read or write starts before this time after a failure.
    };

    std::string headKey(SegmentIndex index) const;
    std::string pageKey(SegmentIndex index, const Nonce &page) const;
    Nonce newNonce();
    void readHead(SegmentIndex index, Segment &segment, Actions &actions);
    void onHeadLoaded(SegmentIndex index, Segment &segment, TimePoint now, Actions &actions);
    void readPage(SegmentIndex index, Segment &segment, const Nonce &page, Actions &actions);
    void onPageRead(SegmentIndex index, Segment &segment, const KeyRead &read, TimePoint now,
                    Actions &actions);
    /// Starts the next read or write of a segment that has pending requests.
    void startNextStep(SegmentIndex index, Segment &segment, TimePoint now, Actions &actions);
    void writePage(SegmentIndex index, Segment &segment, Actions &actions);
    void writeHead(SegmentIndex index, Segment &segment, SegmentHead head, Actions &actions);
    /// Handles a write conflict on the head: reloads it and retries the batch.
    void onHeadConflict(SegmentIndex index, Segment &segment, const SwapDone &done, TimePoint now,
                        Actions &actions);
    void onHeadWritten(SegmentIndex index, Segment &segment, const SwapDone &done, TimePoint now,
                       Actions &actions);
    /// Sends the replies of a completed batch.
    void sendReplies(Segment &segment);
    /// Discards the cached head after a failure and answers all requests with Unavailable.
    void failPending(Segment &segment, TimePoint now);
    /// Takes a token for one write. Returns false if the write rate is exhausted.
    bool takeToken(Segment &segment, TimePoint now);

    std::string m_keyPrefix;
    std::string m_nodeName;
    LedgerLimits m_limits;
    OperationHook m_newOperation;
    ReplyHook m_replyHook;
    std::map<SegmentIndex, Segment> m_segments;
    WallTime m_wall;
    std::uint64_t m_nonceCount = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_answered = 0;
};

} // namespace bramleypitch
