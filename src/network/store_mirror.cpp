#include "network/store_mirror.h"

#include <algorithm>
#include <vector>

namespace bramleypitch {

namespace {

/// A watch lasts so long at most: twice this and the way there bound the age of a proof.
constexpr Duration watchWait {1'000};
/// After news, so that changes that follow each other come with one call.
constexpr Duration gather {120};
constexpr Duration firstPause {100}; ///< After a failure; doubles with each further one.
constexpr Duration mostPause {800};
constexpr const char *everything = "";

} // namespace

StoreMirror::StoreMirror(EventLoop &loop, StoreClient &store, MirrorHooks hooks)
    : m_loop(loop)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_retry(loop, [this] {
        if (m_complete)
            watch();
        else
            readAll();
    })
{
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
    m_store.readPage(everything, after,
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
    std::vector<std::string> vanished;
    for (const auto &[key, revision] : m_held) {
        if (!m_reading.count(key))
            vanished.push_back(key);
    }
    for (const std::string &key : vanished)
        apply({key, m_readStart, true, ""});
    // Pages are no snapshot: the watch goes over what changed between them again.
    m_asOf = m_readStart;
    m_complete = true;
    m_hooks.proven(sentAt);
    m_hooks.settled();
    watch();
}

void StoreMirror::apply(const StoreChange &change)
{
    const auto held = m_held.find(change.key);
    if (change.deleted) {
        if (held == m_held.end())
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
    m_store.watch(everything, m_asOf, watchWait, [this, sentAt](const StoreNews &news) {
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
        for (const StoreChange &change : news.changes)
            apply(change);
        m_asOf = std::max(m_asOf, news.asOf);
        m_hooks.proven(sentAt);
        m_hooks.settled();
        if (news.changes.empty())
            watch();
        else
            m_retry.startOnce(gather);
    });
}

void StoreMirror::failed(const std::string &cause)
{
    if (m_reachable)
        m_hooks.reachable(false, cause);
    m_reachable = false;
    m_reachableSince = TimePoint();
    m_pause = m_pause == Duration(0) ? firstPause : std::min(m_pause * 2, mostPause);
    m_retry.startOnce(m_pause);
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
