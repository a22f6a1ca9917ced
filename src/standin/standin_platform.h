#pragma once

#include "core/time_type.h"
#include "network/event_loop.h"
#include "network/http_server.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace bramleypitch::standin {

/// A key-value service in etcd's v3 JSON form with one writer, leases and watches, and the VM
/// list. POST /fault: {"outage": bool, "delay_ms": n, "lose_replies": n}. GET /calls counts calls.
/// PUT /vms sets the VM list.
class Platform
{
public:
    Platform(EventLoop &loop, const Address &address);

private:
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
    struct Watch
    {
        ExchangeId exchange;
        std::string from;
        std::string to;
    };

    void requestCame(const HttpRequest &request);
    void handle(const HttpRequest &request);
    nlohmann::json range(const nlohmann::json &body) const;
    nlohmann::json transaction(const nlohmann::json &body);
    nlohmann::json put(const nlohmann::json &body);
    nlohmann::json grant(const nlohmann::json &body);
    nlohmann::json keepAlive(const nlohmann::json &body);
    nlohmann::json revoke(const nlohmann::json &body);
    void watch(const HttpRequest &request, const nlohmann::json &body);
    void notify(const std::string &key, const Entry &entry);
    void dropLease(std::int64_t lease);
    void expireLeases();
    nlohmann::json header() const;
    void setFaults(const nlohmann::json &body);

    EventLoop &m_loop;
    HttpServer m_server;
    Timer m_expiry;
    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_calls;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 1000;
    nlohmann::json m_vms;
    bool m_outage = false;
    Duration m_delay {0};
    int m_loseReplies = 0;
    std::vector<std::unique_ptr<Timer>> m_delayed;
};

} // namespace bramleypitch::standin
