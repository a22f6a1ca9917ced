#pragma once

#include "network/event_loop.h"
#include "network/http_server.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace bramleypitch::standin {

/// One plain backend server. It runs every call it gets and keeps a record of it. POST /fault:
/// {"frozen": bool, "delay_ms": n, "cut": bool}: cut runs the call and breaks the connection.
/// GET /ledger lists what it ran.
class Service
{
public:
    Service(EventLoop &loop, const Address &address);

private:
    void requestCame(const HttpRequest &request);
    void run(const HttpRequest &request);

    EventLoop &m_loop;
    HttpServer m_server;
    nlohmann::json m_ledger = nlohmann::json::array();
    std::vector<std::unique_ptr<Timer>> m_delayed;
    std::uint32_t m_running = 0;
    std::uint32_t m_completed = 0;
    Duration m_delay {2};
    bool m_frozen = false;
    bool m_cut = false;
};

} // namespace bramleypitch::standin
