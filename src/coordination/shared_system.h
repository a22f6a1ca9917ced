#pragma once

#include "coordination/event_type.h"
#include "coordination/node_state.h"

namespace bramleypitch {

/// Keeps the shared values, the membership and this node's lease up to date.
///
/// A few nodes of each zone read the platform; every heartbeat carries the digest of the shared
/// values, and a node that is behind pulls from the peer. So the platform's calls grow with the
/// zones, not with the nodes.
class SharedSystem
{
public:
    explicit SharedSystem(NodeState &state);

    /// Returns the keys that changed.
    std::vector<std::string> sharedRead(const SharedRead &read);
    /// News: the values are read at once.
    void sharedWatched(const SharedWatched &watched, TimePoint now, Actions &actions);
    std::vector<std::string> sharedPulled(const SharedPulled &pulled);
    void leaseRenewed(const LeaseRenewed &renewed, Actions &actions);
    /// Takes a heartbeat or its reply in; pulls if the peer is ahead.
    void heartbeat(const HeartbeatReceived &received, TimePoint now, Actions &actions);
    void tick(TimePoint now, Actions &actions);
    /// The heartbeat to send now, or to reply with.
    Heartbeat ownHeartbeat(TimePoint now) const;

private:
    bool isWatcher() const;
    void renewLease(TimePoint now, Actions &actions);
    void sendHeartbeats(TimePoint now, Actions &actions);
    void readShared(TimePoint now, Actions &actions);

    NodeState &m_state;
    OperationId m_readOperation;
    Revision m_readAbove;
    TimePoint m_readAt;
    TimePoint m_renewAt;
    TimePoint m_heartbeatAt;
    bool m_watching = false;
    bool m_started = false;
};

} // namespace bramleypitch
