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

/// Behaviour of the engines of a stand-in process.
struct EngineOptions
{
    Duration loadTime {300}; ///< Time to load weights that the engine does not hold yet.
    Duration tokenInterval {5}; ///< Time per token of a warm engine.
    Duration coldTokenInterval {10}; ///< Time per token of a cold engine.
    std::uint32_t slots = 8; ///< Streams that run concurrently; further ones are queued.
    std::uint32_t maxColdStreams = 1; ///< Streams above which a cold engine restarts.
    std::uint32_t warmAfter = 4; ///< Completed streams after which the engine is warm.
    bool checksFencing = true; ///< Rejects orders and requests with an outdated generation.
};

/// Simulated inference engine: one member of a model group, with a listening address of its own.
///
/// POST /v1/generate streams tokens; each frame carries the request, the attempt and the token
/// index. POST /order loads, unloads or prefetches a model; its generation is the fencing token.
/// GET /state reports the engine's state, and GET /ledger the requests that it executed.
///
/// POST /fault injects faults with a body of any of these fields:
///  - "frozen": bool, send no frames and answer only /fault and /ledger;
///  - "cold": true, restart but keep the assigned group and the loaded model;
///  - "reboot": true, restart without an assigned group;
///  - "slow": factor by which the time per token is multiplied;
///  - "cut_after": n, close the connection of each stream at token n; negative to disable;
///  - "garbage": bool, send invalid JSON instead of the next frame and close the connection;
///  - "cross": bool, precede each frame by a frame of another request;
///  - "checks_fencing": bool, see EngineOptions::checksFencing.
class Engine
{
public:
    /// Returns the engine of this process that listens on the address, or null.
    using EngineLookup = std::function<Engine *(const std::string &address)>;

    Engine(EventLoop &loop, std::string address, EngineOptions options, EngineLookup findEngine);

    /// Returns whether this engine is ready as a member of the group in the given generation.
    bool serves(const std::string &group, std::uint64_t generation) const;

private:
    /// A token stream, either running or queued for a slot.
    struct Stream
    {
        ExchangeId exchange;
        std::string request;
        std::uint32_t attempt = 0;
        std::uint32_t next = 0; ///< Index of the next token.
        std::uint32_t last = 0; ///< Index at which the stream ends, exclusive.
        std::uint64_t seed = 0; ///< Derived from the prompt; determines the tokens.
        int priority = 0;
        bool running = false;
        std::unique_ptr<Timer> timer; ///< Sends the next frame.
    };

    void onRequest(const HttpRequest &request);
    void order(const HttpRequest &request);
    void generate(const HttpRequest &request);
    void fault(const HttpRequest &request);
    nlohmann::json state() const;
    /// Starts queued streams while slots are free, those of the highest priority first.
    void startQueuedStreams();
    /// Sends the next frame of a stream, or injects the configured fault.
    void sendNextFrame(ExchangeId exchange);
    /// Completes the stream if `whole` is set; otherwise closes its connection midway.
    void end(ExchangeId exchange, bool whole);
    /// Closes all streams and starts cold under a new boot id. `keepGroup` retains the assigned
    /// group and the loaded model.
    void reboot(bool keepGroup);
    bool isCold() const { return m_completed < m_options.warmAfter; }
    std::uint32_t running() const;
    /// Returns whether every member of the group that runs in this process is ready.
    bool isGroupReady() const;
    /// Returns the current time per token.
    Duration currentTokenInterval() const;
    void countCompletion();

    EventLoop &m_loop;
    std::string m_address;
    EngineOptions m_options;
    EngineLookup m_findEngine;
    HttpServer m_server;
    Timer m_loadTimer; ///< Ends the loading of the ordered model.
    Timer m_prefetchTimer; ///< Ends the prefetch of model weights.
    std::map<ExchangeId, Stream> m_streams;
    std::string m_group;
    std::uint64_t m_generation = 0;
    std::vector<std::string> m_members;
    std::string m_heldModel;
    std::string m_prefetchModel; ///< Model whose weights are being prefetched.
    std::string m_state = "empty";
    std::uint64_t m_bootCount = 1; ///< Part of the boot id.
    std::uint32_t m_completed = 0; ///< Streams that its groups completed since the last boot.
    nlohmann::json m_ledger = nlohmann::json::array(); ///< Every request that was executed.
    std::uint64_t m_overloadRestarts = 0; ///< Restarts due to too many streams while cold.
    bool m_frozen = false;
    double m_slowdownFactor = 1;
    int m_cutAfter = -1;
    bool m_sendsInvalidFrames = false;
    bool m_sendsForeignFrames = false;
};

} // namespace bramleypitch::standin
