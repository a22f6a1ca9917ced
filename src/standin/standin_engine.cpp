#include "standin/standin_engine.h"

#include "core/rendezvous_func.h"

#include <unistd.h>

#include <algorithm>

namespace bramleypitch::standin {

using nlohmann::json;

namespace {

constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;
constexpr const char *jsonType = "application/json";
constexpr std::uint64_t vocabularySize = 10'000;

} // namespace

Engine::Engine(EventLoop &loop, std::string address, EngineOptions options, EngineLookup findEngine)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_options(options)
    , m_findEngine(std::move(findEngine))
    , m_server(loop, maxBodyBytes)
    , m_loadTimer(loop, [this] { m_state = "ready"; })
    , m_prefetchTimer(loop, [this] { m_heldModel = m_prefetchModel; })
{
    m_server.setRequestHook([this](const HttpRequest &request) { onRequest(request); });
    m_server.setDisconnectHook([this](ExchangeId exchange) {
        if (m_streams.erase(exchange) > 0)
            startQueuedStreams();
    });
    m_server.listen(Address(m_address));
}

bool Engine::serves(const std::string &group, std::uint64_t generation) const
{
    return m_state == "ready" && m_group == group && m_generation == generation && !m_frozen;
}

void Engine::onRequest(const HttpRequest &request)
{
    if (request.path == "/fault") {
        fault(request);
        return;
    }
    if (request.path == "/ledger") {
        m_server.reply(request.exchange, 200, jsonType,
                       json({{"ran", m_ledger}, {"fell_over", m_overloadRestarts}}).dump());
        return;
    }
    if (m_frozen)
        return;
    if (request.path == "/state")
        m_server.reply(request.exchange, 200, jsonType, state().dump());
    else if (request.path == "/order")
        order(request);
    else if (request.path == "/v1/generate")
        generate(request);
    else
        m_server.reply(request.exchange, 404, jsonType, "{}");
}

json Engine::state() const
{
    return {{"boot_id", std::to_string(getpid()) + "-" + std::to_string(m_bootCount)},
            {"state", m_state},
            {"group", m_group},
            {"generation", m_generation},
            {"held_model", m_heldModel},
            {"running", m_streams.size()},
            {"completed", m_completed}};
}

void Engine::order(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    const auto generation = body.at("generation").get<std::uint64_t>();
    if (m_options.checksFencing && generation < m_generation) {
        m_server.reply(request.exchange, 409, jsonType, state().dump());
        return;
    }
    if (body.at("order") == "prefetch") {
        m_prefetchModel = body.at("model").get<std::string>();
        m_prefetchTimer.startOnce(m_options.loadTime);
        m_server.reply(request.exchange, 200, jsonType, state().dump());
        return;
    }
    const bool load = body.at("order") == "load";
    const auto group = body.at("group").get<std::string>();
    if (!load || group != m_group || generation != m_generation) {
        while (!m_streams.empty())
            end(m_streams.begin()->first, false);
        m_loadTimer.stop();
        m_generation = generation;
        m_group = load ? group : "";
        m_members = body.at("members").get<std::vector<std::string>>();
        m_state = load ? "loading" : "empty";
        if (load) {
            const auto model = body.at("model").get<std::string>();
            m_loadTimer.startOnce(model == m_heldModel ? Duration(1) : m_options.loadTime);
            m_heldModel = model;
        }
    }
    m_server.reply(request.exchange, 200, jsonType, state().dump());
}

bool Engine::isGroupReady() const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const std::string &member) {
        const Engine *engine = m_findEngine(member);
        // The readiness of a member in another process is unknown here, so it counts as ready. The
        // ledger of that process shows its own view.
        return !engine || engine->serves(m_group, m_generation);
    });
}

std::uint32_t Engine::running() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_streams.begin(), m_streams.end(),
                      [](const auto &entry) { return entry.second.running; }));
}

void Engine::generate(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    const auto generation = body.at("generation").get<std::uint64_t>();
    const bool current = body.at("group") == m_group && generation == m_generation;
    if (m_state != "ready" || (m_options.checksFencing && !current)) {
        m_server.reply(request.exchange, 409, jsonType, state().dump());
        return;
    }
    m_ledger.push_back({{"request", body.at("request")},
                        {"attempt", body.at("attempt")},
                        {"group", m_group},
                        {"generation", m_generation},
                        {"cold", isCold()},
                        {"running_before", m_streams.size()},
                        {"whole", isGroupReady()}});
    if (isCold() && m_streams.size() >= m_options.maxColdStreams) {
        ++m_overloadRestarts;
        reboot(false);
        m_server.reply(request.exchange, 503, jsonType, "{}");
        return;
    }
    Stream &stream = m_streams[request.exchange];
    stream.exchange = request.exchange;
    stream.request = body.at("request").get<std::string>();
    stream.attempt = body.at("attempt").get<std::uint32_t>();
    stream.next = body.at("resume_from").get<std::uint32_t>();
    stream.last = body.at("max_tokens").get<std::uint32_t>();
    stream.seed = stableHash(body.at("prompt").get<std::string>());
    stream.priority = body.value("priority", 0);
    stream.timer = std::make_unique<Timer>(
        m_loop, [this, exchange = request.exchange] { sendNextFrame(exchange); });
    m_server.startStream(request.exchange, 200, "application/x-ndjson");
    startQueuedStreams();
}

Duration Engine::currentTokenInterval() const
{
    const Duration base = isCold() ? m_options.coldTokenInterval : m_options.tokenInterval;
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(base.count()) * m_slowdownFactor));
}

void Engine::startQueuedStreams()
{
    while (running() < m_options.slots) {
        Stream *next = nullptr;
        for (auto &[exchange, stream] : m_streams) {
            if (!stream.running && (!next || stream.priority > next->priority))
                next = &stream;
        }
        if (!next)
            return;
        next->running = true;
        next->timer->startOnce(currentTokenInterval());
    }
}

void Engine::sendNextFrame(ExchangeId exchange)
{
    Stream &stream = m_streams.at(exchange);
    if (m_frozen) {
        stream.timer->startOnce(currentTokenInterval());
        return;
    }
    if (m_sendsInvalidFrames) {
        m_server.sendChunk(exchange, "{\"request\":7,]\n");
        end(exchange, false);
        return;
    }
    if (m_sendsForeignFrames)
        m_server.sendChunk(exchange,
                           "{\"request\":\"other/1\",\"attempt\":1,\"index\":0,\"token\":\"x\"}\n");
    json frame {{"request", stream.request}, {"attempt", stream.attempt}};
    if (stream.next >= stream.last) {
        frame["end"] = true;
        frame["count"] = stream.next;
        m_server.sendChunk(exchange, frame.dump() + "\n");
        end(exchange, true);
        return;
    }
    if (m_cutAfter >= 0 && stream.next >= static_cast<std::uint32_t>(m_cutAfter)) {
        end(exchange, false);
        return;
    }
    const std::uint64_t word =
        stableHash(std::to_string(stream.next), stream.seed) % vocabularySize;
    frame["index"] = stream.next;
    frame["token"] = "w" + std::to_string(word) + " ";
    ++stream.next;
    m_server.sendChunk(exchange, frame.dump() + "\n");
    if (m_streams.count(exchange) > 0)
        stream.timer->startOnce(currentTokenInterval());
}

void Engine::end(ExchangeId exchange, bool whole)
{
    m_streams.erase(exchange);
    if (whole) {
        m_server.endStream(exchange);
        countCompletion();
        for (const std::string &member : m_members) {
            Engine *engine = m_findEngine(member);
            if (engine && engine != this)
                engine->countCompletion();
        }
    } else {
        m_server.abortConnection(exchange);
    }
    startQueuedStreams();
}

void Engine::countCompletion()
{
    ++m_completed;
}

void Engine::reboot(bool keepGroup)
{
    while (!m_streams.empty())
        end(m_streams.begin()->first, false);
    ++m_bootCount;
    m_completed = 0;
    if (keepGroup)
        return;
    m_loadTimer.stop();
    m_state = "empty";
    m_group.clear();
    m_generation = 0;
}

void Engine::fault(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    m_frozen = body.value("frozen", m_frozen);
    m_slowdownFactor = body.value("slow", m_slowdownFactor);
    m_cutAfter = body.value("cut_after", m_cutAfter);
    m_sendsInvalidFrames = body.value("garbage", m_sendsInvalidFrames);
    m_sendsForeignFrames = body.value("cross", m_sendsForeignFrames);
    m_options.checksFencing = body.value("checks_fencing", m_options.checksFencing);
    if (body.value("cold", false))
        reboot(true);
    if (body.value("reboot", false))
        reboot(false);
    m_server.reply(request.exchange, 200, jsonType, "{}");
}

} // namespace bramleypitch::standin
