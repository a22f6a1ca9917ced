#include "network/store_mirror.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Longest duration of a watch. The age of a proof is bounded by twice this plus the round-trip
/// time.
constexpr Duration maxWatchDuration {500};
/// Delay between a watch that returned changes and the following one, so that changes in quick
/// succession arrive in one call.
constexpr Duration batchDelay {120};
constexpr Duration minRetryDelay {100}; ///< Delay after a failure; doubled by each further one.
constexpr Duration maxRetryDelay {800};
constexpr const char *allKeysPrefix = ""; ///< The prefix of all keys.
/// Limits on the changes kept for other nodes.
constexpr std::size_t maxLoggedChanges = 2'000;
constexpr std::size_t maxLoggedBytes = 4 * 1024 * 1024;
/// Of these, changes that a later one of their key has replaced. They fit into one feed.
constexpr std::size_t maxReplacedBytes = 100'000;
/// A reply to a watch that is shorter than this is always read to its end.
constexpr std::size_t minWatchBytes = 256 * 1024;
/// Of an item in a reply of the store, beside its key and value.
constexpr std::size_t itemOverhead = 100;

/// The length of an item in a reply of the store, which encodes values in base64.
std::size_t itemBytes(const StoreChange &change)
{
    return itemOverhead + change.key.size() + change.value.size() * 4 / 3;
}

std::size_t logBytes(const StoreChange &change)
{
    return change.key.size() + change.value.size();
}

} // namespace

StoreMirror::StoreMirror(EventLoop &loop, StoreClient &store, MirrorHooks hooks)
    : m_loop(loop)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_retry(loop, [this] {
        m_callPending = false;
        if (!m_complete || m_isCatchingUp)
            readAll();
        else if (m_watching)
            watch();
    })
{
}

void StoreMirror::setWatching(bool watching)
{
    m_watching = watching;
    if (watching && m_complete && !m_callPending)
        watch();
}

void StoreMirror::scheduleNext(Duration pause)
{
    m_callPending = true;
    m_retry.startOnce(pause);
}

void StoreMirror::recordProof(TimePoint at)
{
    m_provenAt = std::max(m_provenAt, at);
    m_hooks.proven(at);
}

void StoreMirror::addToLog(const StoreChange &change)
{
    const auto [logged, isNew] = m_loggedKeys.try_emplace(change.key);
    if (!isNew) {
        if (logged->second->first >= change.revision)
            return;
        m_replaced.push_back(logged->second);
        m_replacedBytes += logBytes(logged->second->second);
    }
    logged->second = m_changeLog.emplace(change.revision, change);
    m_loggedBytes += logBytes(change);
    while (m_replacedBytes > maxReplacedBytes)
        dropReplaced();
    while (m_changeLog.size() > maxLoggedChanges || m_loggedBytes > maxLoggedBytes) {
        if (!m_replaced.empty()) {
            dropReplaced();
            continue;
        }
        const auto oldest = m_changeLog.begin();
        m_changeLogStart = std::max(m_changeLogStart, oldest->first);
        m_loggedBytes -= logBytes(oldest->second);
        m_loggedKeys.erase(oldest->second.key);
        m_changeLog.erase(oldest);
    }
}

void StoreMirror::dropReplaced()
{
    const ChangeLog::iterator entry = m_replaced.front();
    m_replaced.pop_front();
    m_replacedBytes -= logBytes(entry->second);
    m_loggedBytes -= logBytes(entry->second);
    m_changeLog.erase(entry);
}

void StoreMirror::clearLog(Revision start)
{
    m_changeLog.clear();
    m_loggedKeys.clear();
    m_replaced.clear();
    m_replacedBytes = 0;
    m_loggedBytes = 0;
    m_changeLogStart = start;
}

bool StoreMirror::applyAll(const std::vector<StoreChange> &changes)
{
    bool changed = false;
    for (const StoreChange &change : changes) {
        if (change.revision <= m_appliedRevision)
            continue;
        apply(change); // Also if it is replaced by one that may be unreadable.
        addToLog(change);
        changed = true;
    }
    return changed;
}

bool StoreMirror::take(const StoreFeed &feed, TimePoint now)
{
    if (!m_complete || feed.era != m_era)
        return false;
    if (feed.from > m_appliedRevision) {
        if (feed.isNotice())
            m_unfedRevision = std::max(m_unfedRevision, feed.from);
        return false;
    }
    const bool changed = applyAll(feed.changes);
    m_appliedRevision = std::max(m_appliedRevision, feed.to);
    // The sender held `to` as the newest revision `proofAge` before it sent the feed, which was
    // after this node sent the echoed pulse.
    const TimePoint provenAt = std::min(feed.echo - feed.proofAge, now);
    recordProof(provenAt);
    // This node may not call the store again while feeds arrive, so it learns from them that the
    // store is back.
    if (!m_reachable && provenAt > m_failedAt)
        onSuccess();
    if (changed)
        m_hooks.settled();
    return true;
}

std::optional<StoreFeed> StoreMirror::feedSince(Revision held, std::size_t maxBytes,
                                                TimePoint now) const
{
    if (!m_complete || held < m_changeLogStart)
        return std::nullopt;
    StoreFeed feed;
    feed.era = m_era;
    feed.from = held;
    feed.to = m_appliedRevision;
    feed.proofAge = now - m_provenAt;
    std::size_t bytes = 0;
    std::size_t revisionBegin = 0; // The first change of the newest revision in the feed.
    // What a full read in progress has returned above the applied revision may lack changes.
    const auto end = m_changeLog.upper_bound(m_appliedRevision);
    const auto first = m_changeLog.upper_bound(std::min(held, m_appliedRevision));
    for (auto entry = first; entry != end; ++entry) {
        const StoreChange &change = entry->second;
        bytes += logBytes(change);
        if (!feed.changes.empty() && change.revision != feed.changes.back().revision)
            revisionBegin = feed.changes.size();
        if (bytes > maxBytes && revisionBegin > 0) {
            // The rest is sent after this part has been acknowledged, so the part ends between two
            // revisions: a transaction writes several keys at one revision. A partial feed proves
            // nothing about freshness, hence the largest possible age.
            feed.changes.resize(revisionBegin);
            feed.to = feed.changes.back().revision;
            feed.proofAge = StoreFeed::noProof;
            break;
        }
        feed.changes.push_back(change);
    }
    return feed;
}

StoreFeed StoreMirror::notice() const
{
    StoreFeed feed;
    feed.era = m_era;
    feed.from = std::max(m_appliedRevision, m_unfedRevision);
    feed.to = feed.from;
    feed.proofAge = StoreFeed::noProof;
    return feed;
}

void StoreMirror::start()
{
    readAll();
}

void StoreMirror::startEra(StoreEra era)
{
    m_era = era;
    ++m_eraStarts;
    for (const auto &[key, revision] : m_held)
        m_keysOfEarlierEras.insert(key);
    m_held.clear();
    m_heldBytes = 0;
    m_appliedRevision = Revision();
    clearLog(Revision());
    m_unfedRevision = Revision();
    m_complete = false;
    m_isCatchingUp = false;
    m_isReadingCopy = true;
    if (m_reachable)
        m_reachableSince = m_loop.now();
    m_retryDelay = Duration(0);
    scheduleNext(Duration(0));
}

void StoreMirror::readAll()
{
    m_callPending = true;
    m_keysRead.clear();
    m_readStartRevision = Revision();
    m_revisionBeforeRead = m_appliedRevision;
    readFrom("", m_loop.now());
}

void StoreMirror::readFrom(const std::string &after, TimePoint sentAt)
{
    m_store.readPage(allKeysPrefix, after,
                     [this, after, sentAt, callSentAt = m_loop.now(),
                      starts = m_eraStarts](const StoreReply &reply) {
                         if (starts == m_eraStarts)
                             onPageRead(reply, after, sentAt, callSentAt);
                     });
}

void StoreMirror::onPageRead(const StoreReply &reply, const std::string &after, TimePoint sentAt,
                             TimePoint callSentAt)
{
    if (reply.outcome != StoreReply::Outcome::Read) {
        onFailure(reply.cause, callSentAt);
        return;
    }
    if (reply.more && (reply.lastKey.empty() || reply.lastKey == after)) {
        onFailure("incomplete page", callSentAt);
        return;
    }
    onSuccess();
    reportSkipped(reply);
    if (m_readStartRevision == Revision())
        m_readStartRevision = reply.storeRevision;
    if (m_isCatchingUp && m_readStartRevision < m_revisionBeforeRead) {
        // The store has lost changes, so that the copy is not an earlier state of it.
        m_isCatchingUp = false;
        m_complete = false;
    }
    for (StoreChange change : reply.changes) {
        m_keysRead[change.key] = change.revision;
        change.fromCopy = m_isReadingCopy;
        apply(change);
        if (m_isCatchingUp && change.revision > m_appliedRevision)
            addToLog(change);
    }
    if (reply.more) {
        readFrom(reply.lastKey, sentAt);
        return;
    }
    deleteKeysNotRead();
    if (m_isCatchingUp)
        catchUp();
    else
        completeCopy();
    recordProof(sentAt);
    m_hooks.settled();
    scheduleNext(Duration(0));
}

void StoreMirror::deleteKeysNotRead()
{
    std::vector<std::string> deletedKeys;
    for (const auto &[key, held] : m_held) {
        // A key that was created during the read may belong to a page that was read before.
        if (!m_keysRead.count(key) && held.revision <= m_readStartRevision)
            deletedKeys.push_back(key);
    }
    for (const std::string &key : deletedKeys) {
        const StoreChange deletion {key, m_readStartRevision, true, ""};
        apply(deletion);
        if (m_isCatchingUp)
            addToLog(deletion);
    }
}

void StoreMirror::catchUp()
{
    m_isCatchingUp = false;
    // Feeds may have brought later changes meanwhile.
    m_appliedRevision = std::max(m_appliedRevision, m_readStartRevision);
    m_unfedRevision = Revision();
}

void StoreMirror::completeCopy()
{
    for (const std::string &key : m_keysOfEarlierEras) {
        if (!m_keysRead.count(key))
            m_hooks.changed({key, m_readStartRevision, true, "", m_isReadingCopy});
    }
    m_keysOfEarlierEras.clear();
    m_isReadingCopy = false;
    // The pages are not one snapshot. The watch starts at the revision of the first page and so
    // repeats the changes made between them.
    m_appliedRevision = m_readStartRevision;
    clearLog(m_readStartRevision);
    m_complete = true;
}

void StoreMirror::apply(const StoreChange &change)
{
    const auto held = m_held.find(change.key);
    if (change.deleted) {
        if (held == m_held.end() || held->second.revision > change.revision)
            return;
        m_heldBytes -= held->second.bytes;
        m_held.erase(held);
    } else {
        if (held != m_held.end() && held->second.revision >= change.revision)
            return;
        Held &item = m_held[change.key];
        m_heldBytes += itemBytes(change) - item.bytes;
        item = {change.revision, itemBytes(change)};
    }
    m_hooks.changed(change);
}

void StoreMirror::watch()
{
    const TimePoint sentAt = m_loop.now();
    m_callPending = true;
    m_store.watch(allKeysPrefix, m_appliedRevision, maxWatchDuration,
                  std::max(m_heldBytes, minWatchBytes),
                  [this, sentAt, starts = m_eraStarts](const StoreReply &reply) {
                      if (starts != m_eraStarts)
                          return;
                      m_callPending = false;
                      onWatched(reply, sentAt);
                  });
}

void StoreMirror::onWatched(const StoreReply &reply, TimePoint sentAt)
{
    switch (reply.outcome) {
    case StoreReply::Outcome::Compacted:
    case StoreReply::Outcome::TooLong:
        onSuccess();
        if (m_hooks.readAgain)
            m_hooks.readAgain(reply.outcome == StoreReply::Outcome::TooLong ? "long" : "compacted");
        m_isCatchingUp = true;
        readAll();
        return;
    case StoreReply::Outcome::Failed:
        onFailure(reply.cause, sentAt);
        return;
    case StoreReply::Outcome::Read:
        break;
    }
    onSuccess();
    reportSkipped(reply);
    applyAll(reply.changes); // Some may already have been received from another node.
    m_appliedRevision = std::max(m_appliedRevision, reply.storeRevision);
    m_unfedRevision = Revision(); // The store has no more than this.
    recordProof(sentAt);
    m_hooks.settled();
    if (m_watching && !m_callPending)
        scheduleNext(reply.changes.empty() ? Duration(0) : batchDelay);
}

void StoreMirror::onFailure(const std::string &cause, TimePoint sentAt)
{
    if (m_reachable)
        m_hooks.reachable(false, cause);
    m_reachable = false;
    m_reachableSince = TimePoint();
    m_failedAt = m_loop.now();
    m_failedCallAt = sentAt;
    m_retryDelay =
        m_retryDelay == Duration(0) ? minRetryDelay : std::min(m_retryDelay * 2, maxRetryDelay);
    scheduleNext(m_retryDelay);
}

void StoreMirror::reportSkipped(const StoreReply &reply)
{
    if (reply.skipped > 0 && m_hooks.skipped)
        m_hooks.skipped(reply.skipped);
}

void StoreMirror::onSuccess()
{
    m_retryDelay = Duration(0);
    if (m_reachable)
        return;
    m_reachable = true;
    m_reachableSince = m_loop.now();
    m_hooks.reachable(true, "");
}

} // namespace bramleypitch
