#pragma once

#include "network/event_loop.h"
#include "network/store_client.h"
#include "request/lapsed_entry.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleypitch {

/// Callbacks of the mirror.
struct MirrorHooks
{
    /// A key was written or deleted.
    std::function<void(const StoreChange &)> changed;
    /// The copy was up to date at this time by this node's clock.
    std::function<void(TimePoint)> proven;
    /// All changes of a batch have been reported. First called when the initial read is complete.
    std::function<void()> settled;
    /// A reply had this many items that could not be read and were left out.
    std::function<void(std::size_t)> skipped;
    /// Everything is read again, as a watch was too long or the history is gone.
    std::function<void(const std::string &cause)> readAgain;
    /// The store became unreachable or reachable again.
    std::function<void(bool reachable, const std::string &cause)> reachable;
};

/// Keeps a copy of the whole store by one full read followed by a sequence of watches, and tracks
/// the time for which the copy is proven to be up to date. Watches are short, because a watch that
/// ends without changes proves that the copy was current when it started. A watch returns each
/// version of a key, a read only the newest one. So if the changes since the last watch are longer
/// than the store itself, everything is read again, and the time until a change is known does not
/// depend on how many came before it.
class StoreMirror
{
public:
    StoreMirror(EventLoop &loop, StoreClient &store, MirrorHooks hooks);

    /// Starts the initial read.
    void start();
    /// The era of the store is known for the first time.
    void setEra(StoreEra era) { m_era = era; }
    /// The store has come back from an older copy: forgets all revisions and reads it again. Each
    /// key is then reported anew as from the copy, also as deleted if it is missing there.
    void startEra(StoreEra era);
    /// Sets whether this node watches the store itself. Otherwise it relies on take().
    void setWatching(bool watching);
    /// Applies changes sent by another node. Returns false, without applying any, if the copy is
    /// not complete, if changes before those of the feed are missing, or if the feed is of another
    /// era.
    bool take(const StoreFeed &feed, TimePoint now);
    /// Returns the changes above the revision that another node holds, up to `maxBytes` but at
    /// least one; none if the change log does not reach back that far.
    std::optional<StoreFeed> feedSince(Revision held, std::size_t maxBytes, TimePoint now) const;
    /// Returns the feed for a node to which feedSince() cannot be sent. See StoreFeed::isNotice().
    StoreFeed notice() const;
    /// Keys and values that are kept for feeds.
    std::size_t loggedBytes() const { return m_loggedBytes; }
    /// Whether another node holds changes that it cannot send to this one.
    bool isUnfed() const { return m_unfedRevision > m_appliedRevision; }
    /// The revision up to which the copy holds all changes; 0 before the initial read is complete.
    Revision held() const { return m_complete ? m_appliedRevision : Revision(); }
    /// The latest time for which the copy is proven to be up to date.
    TimePoint provenAt() const { return m_provenAt; }
    /// Whether a full read has been completed, in the present era. The copy is then an earlier
    /// state of the store, or the present one.
    bool complete() const { return m_complete; }
    bool isReachable() const { return m_reachable; }
    /// Start of the current period without failures of the store and in one era, by this node's
    /// calls or by feeds that prove later calls of other nodes; the epoch while it is unreachable.
    TimePoint reachableSince() const { return m_reachableSince; }
    /// What is known of the time at which a change that is reported now was made.
    StoreContact contact() const { return {m_provenAt, m_failedCallAt}; }

private:
    /// Starts a full read of the store.
    void readAll();
    /// Reads the page that starts after a key. `sentAt` is the start of the full read.
    void readFrom(const std::string &after, TimePoint sentAt);
    /// `after` is the key after which the page starts, `callSentAt` when the page was asked for.
    void onPageRead(const StoreReply &reply, const std::string &after, TimePoint sentAt,
                    TimePoint callSentAt);
    void reportSkipped(const StoreReply &reply);
    /// Replaces the copy by what a full read of the store has returned.
    void completeCopy();
    /// Adds what a full read has returned to a copy that is complete but not current.
    void catchUp();
    /// Reports that keys are missing in what a full read has returned.
    void deleteKeysNotRead();
    void watch();
    void onWatched(const StoreReply &reply, TimePoint sentAt);
    /// Applies the changes above the revision up to which the copy holds all. Returns whether there
    /// were any.
    bool applyAll(const std::vector<StoreChange> &changes);
    /// The call that was sent at this time has failed.
    void onFailure(const std::string &cause, TimePoint sentAt);
    void onSuccess();
    /// Updates the copy, unless the change is outdated, and reports the change.
    void apply(const StoreChange &change);
    /// Adds a change to the log. If the log is full, the oldest changes are dropped, those first
    /// that later ones of their keys have replaced.
    void addToLog(const StoreChange &change);
    /// Drops the change from the log that was replaced first.
    void dropReplaced();
    void clearLog(Revision start);
    /// Records and reports that the copy was up to date at the given time.
    void recordProof(TimePoint at);
    /// Schedules another watch or full read after a delay.
    void scheduleNext(Duration pause);

    EventLoop &m_loop;
    StoreClient &m_store;
    MirrorHooks m_hooks;
    Timer m_retry;
    StoreEra m_era; ///< Of the revisions below. 0 if it is not known or the store has no eras.
    std::uint64_t m_eraStarts = 0; ///< Calls of startEra(). Answers to calls before it are ignored.
    bool m_isReadingCopy = false; ///< Until the first full read of an era is complete.
    std::set<std::string> m_keysOfEarlierEras; ///< That it has not found yet.
    struct Held
    {
        Revision revision;
        std::size_t bytes = 0; ///< Of the item in a reply of the store, about.
    };
    std::map<std::string, Held> m_held; ///< The keys in the copy.
    std::size_t m_heldBytes = 0; ///< Sum over these keys.
    std::map<std::string, Revision> m_keysRead; ///< Keys returned so far by the read in progress.
    Revision
        m_readStartRevision; ///< The store's revision at the first page of the read in progress.
    Revision m_revisionBeforeRead; ///< m_appliedRevision when the read in progress began.
    Revision m_appliedRevision; ///< The copy holds all changes up to this revision.
    using ChangeLog = std::multimap<Revision, StoreChange>;
    ChangeLog m_changeLog; ///< The most recent changes.
    std::map<std::string, ChangeLog::iterator> m_loggedKeys; ///< The newest one of each key.
    std::deque<ChangeLog::iterator> m_replaced; ///< The others, in the order of their replacement.
    std::size_t m_replacedBytes = 0; ///< Keys and values of these.
    std::size_t m_loggedBytes = 0; ///< Keys and values in the log.
    /// The log holds the newest change of each key that has changed above this revision.
    Revision m_changeLogStart;
    Revision m_unfedRevision; ///< The newest one up to which another node cannot send the changes.
    TimePoint m_provenAt;
    bool m_watching = true; ///< This node should watch the store itself.
    bool m_callPending = false; ///< A watch or the delay before another call is in progress.
    Duration m_retryDelay {0}; ///< Delay before another try; 0 after a success.
    bool m_complete = false;
    /// The copy is complete, but a full read is quicker than a watch from its revision.
    bool m_isCatchingUp = false;
    bool m_reachable = false;
    TimePoint m_reachableSince;
    TimePoint m_failedAt; ///< When the last call of this node to the store failed.
    TimePoint m_failedCallAt; ///< When that call was sent.
};

} // namespace bramleypitch
