#pragma once

#include "coordination/event_type.h"
#include "network/platform_client.h"

#include <functional>

namespace bramleypitch {

/// Maintains this node's lease, and its record under the lease, in the platform's store.
class LeaseKeeper
{
public:
    using RenewedHook = std::function<void(const LeaseRenewed &)>;

    LeaseKeeper(EventLoop &loop, PlatformClient &platform, std::string key, Duration timeToLive,
                RenewedHook hook);

    /// Acquires the lease and writes the node's record, or keeps the lease alive. The hook receives
    /// the result. Does nothing while an earlier renewal is in progress.
    void renew(const RenewLease &renew);
    /// Revokes the lease, so that the other nodes do not have to wait for it to expire.
    void release(const std::function<void()> &done);

private:
    void grant(const RenewLease &renew, TimePoint sentAt);
    void writeRecord(const RenewLease &renew, TimePoint sentAt);
    void keepAlive(const RenewLease &renew, TimePoint sentAt);
    void report(const RenewLease &renew, bool ok, TimePoint sentAt);

    EventLoop &m_loop;
    PlatformClient &m_platform;
    std::string m_key;
    Duration m_timeToLive;
    RenewedHook m_hook;
    std::int64_t m_lease = 0; ///< Id of the lease; 0 if none is held.
    Incarnation m_incarnation; ///< Revision of the record; 0 until it has been written.
    bool m_renewing = false; ///< A renewal is in progress.
};

/// Parses node records read from the store and skips invalid ones. The incarnation of a node is the
/// revision at which its record was written.
std::vector<NodeRecord> parseNodeRecords(const StoreRead &read);

} // namespace bramleypitch
