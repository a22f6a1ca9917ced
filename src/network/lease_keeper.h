#pragma once

#include "coordination/event_type.h"
#include "network/platform_client.h"

#include <functional>

namespace bramleypitch {

/// Holds this node's lease and its record in the platform's store.
class LeaseKeeper
{
public:
    using RenewedHook = std::function<void(const LeaseRenewed &)>;

    LeaseKeeper(EventLoop &loop, PlatformClient &platform, std::string key, Duration timeToLive,
                RenewedHook hook);

    /// Takes the lease, or keeps it alive; the hook tells what became of it.
    void renew(const RenewLease &renew);
    /// Gives the lease up, so that the others need not wait for it to run out.
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
    std::int64_t m_lease = 0;
    Incarnation m_incarnation; ///< Revision of the record; 0 until it is written.
    bool m_busy = false;
};

/// Reads the node records of a prefix; the revision that wrote each is its incarnation.
std::vector<NodeRecord> parseNodeRecords(const StoreRead &read);

} // namespace bramleypitch
