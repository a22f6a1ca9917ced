#pragma once

#include "core/time_type.h"
#include "network/event_loop.h"
#include "network/http_server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleypitch::standin {

/// How the engines of one stand-in process behave.
struct EngineOptions
{
    Duration loadTime {300}; ///< For weights that are not held.
    Duration tokenInterval {5};
    Duration coldTokenInterval {10};
    std::uint32_t slots = 8; ///< Streams that run at once; others wait.
    std::uint32_t coldBears = 1; ///< Above this a cold engine falls over.
    std::uint32_t warmAfter = 4;
    bool checksFencing = true;
};

/// One engine of a group on its own address. Frames name request, attempt and index. Orders carry
/// fencing numbers. POST /fault: {"frozen": bool, "cold": true, "reboot": true, "slow": factor,
/// "cut_after": n, "garbage": bool, "cross": bool, "checks_fencing": bool}. GET /ledger lists what
/// it ran.
class Engine
{
public:
    /// Finds another engine of this process by address, or null.
    using PeerHook = std::function<Engine *(const std::string &address)>;

    Engine(EventLoop &loop, std::string address, EngineOptions options, PeerHook peers);

    /// Whether this engine serves as a member of the group in this generation.
    bool serves(const std::string &group, std::uint64_t generation) const;

private:
    struct Stream
    {
        ExchangeId exchange;
        std::string request;
        std::uint32_t attempt = 0;
        std::uint32_t next = 0;
        std::uint32_t last = 0;
        std::uint64_t seed = 0;
        int priority = 0;
        bool running = false;
        std::unique_ptr<Timer> timer;
    };

    void requestCame(const HttpRequest &request);
    void order(const HttpRequest &request);
    void generate(const HttpRequest &request);
    void fault(const HttpRequest &request);
    nlohmann::json state() const;
    void startNext();
    void step(ExchangeId exchange);
    void end(ExchangeId exchange, bool whole);
    void reboot(bool keepOrder);
    bool isCold() const { return m_completed < m_options.warmAfter; }
    std::uint32_t running() const;
    bool wholeGroup() const;
    Duration interval() const;
    void noteCompleted();

    EventLoop &m_loop;
    std::string m_address;
    EngineOptions m_options;
    PeerHook m_peers;
    HttpServer m_server;
    Timer m_loading;
    Timer m_fetch;
    std::map<ExchangeId, Stream> m_streams;
    std::string m_group;
    std::uint64_t m_generation = 0;
    std::vector<std::string> m_members;
    std::string m_heldModel;
    std::string m_fetching; ///< Weights on their way to a free engine.
    std::string m_state = "empty";
    std::uint64_t m_boots = 1;
    std::uint32_t m_completed = 0;
    nlohmann::json m_ledger = nlohmann::json::array();
    std::uint64_t m_fellOver = 0;
    bool m_frozen = false;
    double m_slow = 1;
    int m_cutAfter = -1;
    bool m_garbage = false;
    bool m_cross = false;
};

} // namespace bramleypitch::standin
