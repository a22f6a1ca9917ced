#pragma once

#include "coordination/action_type.h"
#include "coordination/event_type.h"
#include "coordination/ledger_func.h"

#include <functional>
#include <map>
#include <string>

namespace bramleypitch {

/// Gathers the requests for ledger segments and writes each segment's head by one
/// compare-and-swap at a time. Any node may act as owner of any segment at any time: two owners
/// cost each other conflicts, never a double grant. Rendezvous hashing picks one for economy.
class LedgerOwner
{
public:
    /// Called with the reply to a request, in the event that settles it.
    using ReplyHook = std::function<void(OperationId operation, const LedgerReply &reply)>;
    /// Gives operation ids that are unique on this node.
    using OperationHook = std::function<OperationId()>;

    LedgerOwner(std::string keyPrefix, std::string nodeName, LedgerLimits limits,
                OperationHook newOperation);

    /// Sets who gets the replies.
    void setReplyHook(ReplyHook hook) { m_reply = std::move(hook); }

    /// Takes a request in; it is answered through the reply hook.
    void ask(const LedgerAsked &asked, TimePoint now, Actions &actions);
    /// Answers to this object's ReadKey and CompareAndSwap; false if the operation is not its own.
    bool keyRead(const KeyRead &read, TimePoint now, Actions &actions);
    bool swapDone(const SwapDone &done, TimePoint now, Actions &actions);
    /// Starts writes whose pace allows it, and drops idle segments.
    void tick(WallTime wall, TimePoint now, Actions &actions);

    /// Compare-and-swaps asked for since the start.
    std::uint64_t writes() const { return m_writes; }
    /// Requests that were settled by those writes or by memory.
    std::uint64_t answered() const { return m_answered; }

private:
    enum class Phase {
        Unloaded,
        ReadingHead,
        ReadingPages, ///< Walking the chain back to a page already held.
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
        OperationId operation; ///< The one under way.
        SegmentHead head;
        Revision revision;
        TimePoint currentAt; ///< When `head` was last known to be the store's.
        LedgerArchive archive;
        Nonce archivedTo; ///< Newest page that the archive holds.
        Nonce walkingAt; ///< Page being read.
        SegmentHead written; ///< Head of the write under way.
        LedgerPage page; ///< Page of the write under way.
        Nonce pageName;
        std::vector<Pending> pending;
        std::vector<Pending> writing; ///< Requests that the write under way settles.
        std::vector<LedgerReply> replies;
        double tokens = 0;
        TimePoint tokensAt;
        TimePoint usedAt;
        TimePoint retryAt; ///< After a failed read or write.
    };

    std::string headKey(SegmentIndex index) const;
    std::string pageKey(SegmentIndex index, const Nonce &page) const;
    Nonce newNonce();
    void readHead(SegmentIndex index, Segment &segment, Actions &actions);
    void headLoaded(SegmentIndex index, Segment &segment, TimePoint now, Actions &actions);
    void readPage(SegmentIndex index, Segment &segment, const Nonce &page, Actions &actions);
    void pageRead(SegmentIndex index, Segment &segment, const KeyRead &read, TimePoint now,
                  Actions &actions);
    void advance(SegmentIndex index, Segment &segment, TimePoint now, Actions &actions);
    void writePage(SegmentIndex index, Segment &segment, Actions &actions);
    void writeHead(SegmentIndex index, Segment &segment, SegmentHead head, Actions &actions);
    void headLost(SegmentIndex index, Segment &segment, const SwapDone &done, TimePoint now,
                  Actions &actions);
    void headWritten(SegmentIndex index, Segment &segment, const SwapDone &done, TimePoint now,
                     Actions &actions);
    void settle(Segment &segment);
    void fail(Segment &segment, TimePoint now);
    bool takeToken(Segment &segment, TimePoint now);

    std::string m_keyPrefix;
    std::string m_nodeName;
    LedgerLimits m_limits;
    OperationHook m_newOperation;
    ReplyHook m_reply;
    std::map<SegmentIndex, Segment> m_segments;
    WallTime m_wall;
    std::uint64_t m_nonces = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_answered = 0;
};

} // namespace bramleypitch
