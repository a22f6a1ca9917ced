#pragma once

#include "network/event_loop.h"
#include "network/http_server.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace bramleypitch::standin {

/// Simulated backend server of a plain service. It executes and records every call that it
/// receives.
///
/// GET /state reports the server's state, and GET /ledger the calls that it executed.
///
/// POST /fault injects faults with a body of any of these fields:
///  - "frozen": bool, do not answer any request other than /fault and /ledger;
///  - "delay_ms": n, execution time of a call;
///  - "cut": bool, execute the call, then close the connection instead of replying.
class Service
{
public:
    Service(EventLoop &loop, const Address &address);

private:
    void onRequest(const HttpRequest &request);
    void run(const HttpRequest &request);

    EventLoop &m_loop;
    HttpServer m_server;
    nlohmann::json m_ledger = nlohmann::json::array(); ///< Every call that was executed.
    std::vector<std::unique_ptr<Timer>> m_delayTimers; ///< Timers that end the running calls.
    std::uint32_t m_running = 0;
    std::uint32_t m_completed = 0;
    Duration m_delay {2}; ///< Execution time of a call.
    bool m_frozen = false;
    bool m_cutsConnections = false;
};

} // namespace bramleypitch::standin
