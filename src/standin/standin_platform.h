#pragma once

#include "core/time_type.h"
#include "network/event_loop.h"
#include "network/http_server.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace bramleypitch::standin {

/// Simulated platform: a key-value store with the JSON API of etcd v3 (a single writer, leases and
/// watches) and the VM list.
///
/// GET /vms returns the VM list, PUT /vms replaces it. GET /calls returns the number of calls by
/// path, without those to /fault and /calls and without PUT requests.
///
/// POST /fault injects faults with a body of any of these fields:
///  - "outage": bool, do not answer any call;
///  - "delay_ms": n, handle each call n milliseconds after it arrived;
///  - "lose_replies": n, execute the next n writes without replying to them.
class Platform
{
public:
    Platform(EventLoop &loop, const Address &address);

private:
    /// A stored value; `lease` is 0 if it does not expire.
    struct Entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        Duration timeToLive {0};
        TimePoint expiresAt;
    };
    /// A streaming watch of the keys in [from, to).
    struct Watch
    {
        ExchangeId exchange;
        std::string from;
        std::string to;
    };

    void onRequest(const HttpRequest &request);
    void handle(const HttpRequest &request);
    nlohmann::json range(const nlohmann::json &body) const;
    nlohmann::json transaction(const nlohmann::json &body);
    nlohmann::json put(const nlohmann::json &body);
    nlohmann::json grant(const nlohmann::json &body);
    nlohmann::json keepAlive(const nlohmann::json &body);
    nlohmann::json revoke(const nlohmann::json &body);
    void watch(const HttpRequest &request, const nlohmann::json &body);
    /// Sends a changed entry to the watches that cover its key.
    void notify(const std::string &key, const Entry &entry);
    /// Removes the lease and the entries that are attached to it.
    void removeLease(std::int64_t lease);
    void expireLeases();
    nlohmann::json header() const;
    void setFaults(const nlohmann::json &body);

    EventLoop &m_loop;
    HttpServer m_server;
    Timer m_leaseExpiryTimer;
    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_callCounts; ///< Number of calls by path.
    std::int64_t m_revision = 1;
    std::int64_t m_lastLeaseId = 1000;
    nlohmann::json m_vms;
    bool m_outage = false;
    Duration m_delay {0};
    int m_repliesToLose = 0; ///< Writes still to be executed without a reply.
    std::vector<std::unique_ptr<Timer>> m_delayTimers; ///< Timers of delayed calls.
};

} // namespace bramleypitch::standin
