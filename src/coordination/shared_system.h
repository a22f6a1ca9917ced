#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

namespace bramleypitch {

/// Keeps the shared values, the membership table and this node's lease up to date.
///
/// Only a few nodes in each availability zone, the watchers, read the shared values from the
/// platform. Every heartbeat carries the newest revision of its sender, and a node that is behind
/// pulls the missing values from that peer. Therefore the load on the platform depends on the
/// number of zones and not on the number of nodes.
class SharedSystem
{
public:
    explicit SharedSystem(NodeState &state);

    /// Merges values read from the platform and returns the keys that changed.
    std::vector<std::string> onSharedRead(const SharedRead &read);
    /// Handles a notification of the platform watch by reading the values immediately.
    void onSharedWatched(const SharedWatchUpdated &watched, TimePoint now, Actions &actions);
    /// Merges values pulled from a peer and returns the keys that changed.
    std::vector<std::string> onSharedPulled(const SharedPulled &pulled);
    /// Updates this node's lease after a renewal, and its incarnation if the lease is a new one.
    void onLeaseRenewed(const LeaseRenewed &renewed, Actions &actions);
    /// Handles a heartbeat or the reply to one, and pulls values if the peer has newer ones.
    void heartbeat(const HeartbeatReceived &received, TimePoint now, Actions &actions);
    /// Renews the lease, reads the shared values and sends heartbeats as they fall due.
    void tick(TimePoint now, Actions &actions);
    /// Creates the heartbeat to send or to reply with.
    Heartbeat createHeartbeat(TimePoint now) const;

private:
    /// Whether this node is one of those that read the platform for their zone.
    bool isWatcher() const;
    void renewLease(TimePoint now, Actions &actions);
    void sendHeartbeats(TimePoint now, Actions &actions);
    void readShared(TimePoint now, Actions &actions);

    NodeState &m_state;
    OperationId m_readOperation; ///< The last read of the shared values.
    Revision m_readAbove; ///< It requested the values above this revision.
    TimePoint m_readAt; ///< When it was sent.
    TimePoint m_renewAt; ///< When the last lease renewal was sent.
    TimePoint m_heartbeatAt; ///< When the last heartbeats were sent.
    bool m_watching = false; ///< A watch on the platform is open.
    bool m_started = false; ///< The first tick is over.
};

} // namespace bramleypitch
