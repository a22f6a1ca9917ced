#include "network/lease_keeper.h"

#include "network/address_func.h"
#include "network/log.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

using nlohmann::json;

LeaseKeeper::LeaseKeeper(EventLoop &loop, PlatformClient &platform, std::string key,
                         Duration timeToLive, RenewedHook hook)
    : m_loop(loop)
    , m_platform(platform)
    , m_key(std::move(key))
    , m_timeToLive(timeToLive)
    , m_hook(std::move(hook))
{
}

void LeaseKeeper::renew(const RenewLease &renew)
{
    if (m_renewing)
        return;
    m_renewing = true;
    const TimePoint sentAt = m_loop.now();
    if (m_lease == 0)
        grant(renew, sentAt);
    else if (m_incarnation.value() == 0)
        writeRecord(renew, sentAt);
    else
        keepAlive(renew, sentAt);
}

void LeaseKeeper::grant(const RenewLease &renew, TimePoint sentAt)
{
    m_platform.grantLease(m_timeToLive, [this, renew, sentAt](const StoreLease &lease) {
        if (!lease.ok || lease.id == 0) {
            report(renew, false, sentAt);
            return;
        }
        m_lease = lease.id;
        m_timeToLive = lease.timeToLive;
        writeRecord(renew, sentAt);
    });
}

void LeaseKeeper::writeRecord(const RenewLease &renew, TimePoint sentAt)
{
    const json record {{"node", renew.self.node},
                       {"entry_address", renew.self.entryAddress},
                       {"peer_address", renew.self.peerAddress},
                       {"availability_zone", renew.self.zone},
                       {"lease", m_lease}};
    // Written only if the record is absent: an earlier process of this node may still hold a lease.
    m_platform.compareAndSwap(
        m_key, Revision(0), record.dump(), m_lease,
        [this, renew, sentAt](const StoreSwapResult &swap) {
            if (swap.outcome == StoreSwapOutcome::Written)
                m_incarnation = Incarnation(swap.revision.value());
            else
                m_lease = 0; // It expires by itself; the next renewal requests a new lease.
            report(renew, swap.outcome == StoreSwapOutcome::Written, sentAt);
        });
}

void LeaseKeeper::keepAlive(const RenewLease &renew, TimePoint sentAt)
{
    m_platform.keepLeaseAlive(m_lease, [this, renew, sentAt](const StoreLease &lease) {
        const bool expired = lease.ok && lease.timeToLive <= Duration(0);
        if (expired) {
            m_lease = 0;
            m_incarnation = Incarnation(0);
        }
        report(renew, lease.ok && !expired, sentAt);
    });
}

void LeaseKeeper::report(const RenewLease &renew, bool ok, TimePoint sentAt)
{
    m_renewing = false;
    m_hook({renew.operation, ok, m_incarnation, sentAt, m_timeToLive});
}

void LeaseKeeper::release(const std::function<void()> &done)
{
    if (m_lease == 0) {
        done();
        return;
    }
    m_platform.revokeLease(m_lease, done);
    m_lease = 0;
}

std::vector<NodeRecord> parseNodeRecords(const StoreRead &read)
{
    std::vector<NodeRecord> records;
    for (const SharedValue &value : read.values) {
        try {
            const json body = json::parse(value.value);
            NodeRecord record;
            record.node = NodeId(body.value("node", std::string()));
            record.incarnation = Incarnation(value.revision.value());
            record.entryAddress = Address(body.value("entry_address", std::string()));
            record.peerAddress = Address(body.value("peer_address", std::string()));
            record.zone = ZoneId(body.value("availability_zone", std::string()));
            parseAddress(record.entryAddress);
            parseAddress(record.peerAddress);
            records.push_back(std::move(record));
        } catch (const std::exception &error) {
            logLine(LogLevel::Warning, "value_unreadable",
                    {{"key", value.key}, {"reason", error.what()}});
        }
    }
    return records;
}

} // namespace bramleypitch
