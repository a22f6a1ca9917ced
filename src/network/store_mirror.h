#pragma once

#include "network/event_loop.h"
#include "network/store_client.h"

#include <map>
#include <string>

namespace bramleypitch {

/// What a mirror tells.
struct MirrorHooks
{
    std::function<void(const StoreChange &)> changed;
    /// What is held was complete at this time by this node's clock.
    std::function<void(TimePoint)> proven;
    /// All changes of a batch have been told; `complete` once everything was read.
    std::function<void()> settled;
    /// The store was lost or is back.
    std::function<void(bool reachable, const std::string &cause)> reachable;
};

/// Keeps a copy of all that the store holds, by one read and a chain of watches, and knows
/// how recent the copy is proven to be. A watch is short so that its end proves that nothing changed.
class StoreMirror
{
public:
    StoreMirror(EventLoop &loop, StoreClient &store, MirrorHooks hooks);

    void start();
    /// Whether everything has been read once.
    bool complete() const { return m_complete; }
    bool isReachable() const { return m_reachable; }
    /// Since when the store answers without a failure in between; epoch if it does not.
    TimePoint reachableSince() const { return m_reachableSince; }

private:
    void readAll();
    void readFrom(const std::string &after, TimePoint sentAt);
    void readDone(const StoreNews &news, TimePoint sentAt);
    void watch();
    void failed(const std::string &cause);
    void succeeded();
    void apply(const StoreChange &change);

    EventLoop &m_loop;
    StoreClient &m_store;
    MirrorHooks m_hooks;
    Timer m_retry;
    std::map<std::string, Revision> m_held;
    std::map<std::string, Revision> m_reading; ///< Keys seen by the read under way.
    Revision m_readStart; ///< The store's revision at the first page of the read under way.
    Revision m_asOf;
    Duration m_pause {0};
    bool m_complete = false;
    bool m_reachable = false;
    TimePoint m_reachableSince;
};

} // namespace bramleypitch
