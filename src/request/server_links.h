#pragma once

#include "request/backend_base.h"

#include <map>
#include <vector>

namespace bramleypitch {

/// Tells whether this node reaches the backend servers at all. One server that is silent, or that
/// refuses connections, may have ended. A node whose connections to several servers fail, while
/// other nodes hear from the same servers and no new connection of its own gets an answer, has lost
/// its links. Connections that were open before may go on, and count for nothing here.
class ServerLinks
{
public:
    explicit ServerLinks(const BackendTable &backends);

    /// A connection could not be opened, or ended or stayed silent without any answer.
    void onFailed(const VmId &server, TimePoint now);
    /// A server answered on a connection that was opened at the given time.
    void onAnswered(TimePoint openedAt);
    /// Evaluates the failures. `isWaiting` tells that a request has been without an answer for a
    /// while. Returns whether the result of isCut() changed.
    bool check(bool isWaiting, TimePoint now);

    /// This node reaches no server.
    bool isCut() const { return m_isCut; }
    /// Whether several servers failed and none sends anything, on any connection.
    bool isInDoubt() const { return m_isCut || (m_isQuiet && haveSeveralFailed()); }
    /// Servers to open a connection to now, to find out.
    std::vector<VmId> takeProbes(TimePoint now);

private:
    struct Failures
    {
        TimePoint firstAt; ///< Since the last answer on a new connection.
        TimePoint lastAt;
    };

    bool haveSeveralFailed() const;
    /// Whether other nodes have heard from a server since the given time.
    bool isHeardElsewhere(const VmId &server, TimePoint since) const;

    const BackendTable &m_backends;
    std::map<VmId, Failures> m_failures; ///< Of servers that failed since that answer.
    TimePoint m_failingSince; ///< The first of these failures.
    bool m_isQuiet = false; ///< No server has sent anything for a while.
    bool m_isWaiting = false; ///< In that time one should have.
    bool m_isCut = false;
    TimePoint m_probedAt;
};

} // namespace bramleypitch
