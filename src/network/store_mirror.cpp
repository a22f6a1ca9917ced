#include "network/store_mirror.h"

#include <algorithm>
#include <limits>
#include <vector>

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
constexpr std::size_t maxLoggedChanges = 2'000; ///< Limit on the changes kept for other nodes.
constexpr std::size_t maxFeedBytes = 40'000; ///< Limit on the bytes of changes in one datagram.

} // namespace

StoreMirror::StoreMirror(EventLoop &loop, StoreClient &store, MirrorHooks hooks)
    : m_loop(loop)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_retry(loop, [this] {
        m_waiting = false;
        if (!m_complete)
            readAll();
        else if (m_wanted)
            watch();
    })
{
}

void StoreMirror::setWatching(bool watching)
{
    m_wanted = watching;
    if (watching && m_complete && !m_waiting)
        watch();
}

void StoreMirror::next(Duration pause)
{
    m_waiting = true;
    m_retry.startOnce(pause);
}

void StoreMirror::prove(TimePoint at)
{
    m_provenAt = std::max(m_provenAt, at);
    m_hooks.proven(at);
}

void StoreMirror::keep(const StoreChange &change)
{
    m_log.push_back(change);
    if (m_log.size() > maxLoggedChanges) {
        m_logFrom = m_log.front().revision;
        m_log.pop_front();
    }
}

bool StoreMirror::take(const StoreFeed &feed, TimePoint now)
{
    if (!m_complete || feed.from > m_asOf)
        return false;
    bool changed = false;
    for (const StoreChange &change : feed.changes) {
        if (change.revision <= m_asOf)
            continue;
        apply(change);
        keep(change);
        changed = true;
    }
    m_asOf = std::max(m_asOf, feed.to);
    // The sender held `to` as the newest revision `proofAge` before it sent the feed, which was
    // after this node sent the echoed pulse.
    prove(std::min(feed.echo - feed.proofAge, now));
    if (changed)
        m_hooks.settled();
    return true;
}

std::optional<StoreFeed> StoreMirror::feedAbove(Revision held, TimePoint now) const
{
    if (!m_complete || held < m_logFrom)
        return std::nullopt;
    StoreFeed feed;
    feed.from = held;
    feed.to = m_asOf;
    feed.proofAge = now - m_provenAt;
    std::size_t bytes = 0;
    const auto first =
        std::upper_bound(m_log.begin(), m_log.end(), held, [](Revision above, const auto &change) {
            return above < change.revision;
        });
    for (auto change = first; change != m_log.end(); ++change) {
        bytes += change->key.size() + change->value.size();
        if (bytes > maxFeedBytes && !feed.changes.empty()) {
            // The rest is sent after this part has been acknowledged. A partial feed proves nothing
            // about freshness, hence the largest possible age.
            feed.to = feed.changes.back().revision;
            feed.proofAge = Duration(std::numeric_limits<std::int32_t>::max());
            break;
        }
        feed.changes.push_back(*change);
    }
    return feed;
}

void StoreMirror::start()
{
    readAll();
}

void StoreMirror::readAll()
{
    m_reading.clear();
    m_readStart = Revision();
    readFrom("", m_loop.now());
}

void StoreMirror::readFrom(const std::string &after, TimePoint sentAt)
{
    m_store.readPage(allKeysPrefix, after,
                     [this, sentAt](const StoreNews &news) { readDone(news, sentAt); });
}

void StoreMirror::readDone(const StoreNews &news, TimePoint sentAt)
{
    if (news.outcome != StoreNews::Outcome::Read) {
        failed(news.cause);
        return;
    }
    succeeded();
    if (m_readStart == Revision())
        m_readStart = news.asOf;
    for (const StoreChange &change : news.changes) {
        m_reading[change.key] = change.revision;
        apply(change);
    }
    if (news.more && !news.changes.empty()) {
        readFrom(news.changes.back().key, sentAt);
        return;
    }
    std::vector<std::string> deletedKeys;
    for (const auto &[key, revision] : m_held) {
        if (!m_reading.count(key))
            deletedKeys.push_back(key);
    }
    for (const std::string &key : deletedKeys)
        apply({key, m_readStart, true, ""});
    // The pages are not one snapshot. The watch starts at the revision of the first page and so
    // repeats the changes made between them.
    m_asOf = m_readStart;
    m_log.clear();
    m_logFrom = m_readStart;
    m_complete = true;
    prove(sentAt);
    m_hooks.settled();
    next(Duration(0));
}

void StoreMirror::apply(const StoreChange &change)
{
    const auto held = m_held.find(change.key);
    if (change.deleted) {
        if (held == m_held.end() || held->second > change.revision)
            return;
        m_held.erase(held);
    } else {
        if (held != m_held.end() && held->second >= change.revision)
            return;
        m_held[change.key] = change.revision;
    }
    m_hooks.changed(change);
}

void StoreMirror::watch()
{
    const TimePoint sentAt = m_loop.now();
    m_waiting = true;
    m_store.watch(allKeysPrefix, m_asOf, maxWatchDuration, [this, sentAt](const StoreNews &news) {
        m_waiting = false;
        if (news.outcome == StoreNews::Outcome::HistoryGone) {
            succeeded();
            m_complete = false;
            readAll();
            return;
        }
        if (news.outcome == StoreNews::Outcome::Failed) {
            failed(news.cause);
            return;
        }
        succeeded();
        for (const StoreChange &change : news.changes) {
            if (change.revision <= m_asOf)
                continue; // Already received from another node.
            apply(change);
            keep(change);
        }
        m_asOf = std::max(m_asOf, news.asOf);
        prove(sentAt);
        m_hooks.settled();
        if (m_wanted && !m_waiting)
            next(news.changes.empty() ? Duration(0) : batchDelay);
    });
}

void StoreMirror::failed(const std::string &cause)
{
    if (m_reachable)
        m_hooks.reachable(false, cause);
    m_reachable = false;
    m_reachableSince = TimePoint();
    m_pause = m_pause == Duration(0) ? minRetryDelay : std::min(m_pause * 2, maxRetryDelay);
    next(m_pause);
}

void StoreMirror::succeeded()
{
    m_pause = Duration(0);
    if (m_reachable)
        return;
    m_reachable = true;
    m_reachableSince = m_loop.now();
    m_hooks.reachable(true, "");
}

} // namespace bramleypitch
