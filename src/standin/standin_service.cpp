#include "standin/standin_service.h"

#include <unistd.h>

namespace bramleypitch::standin {

using nlohmann::json;

namespace {

constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;
constexpr const char *jsonType = "application/json";

} // namespace

Service::Service(EventLoop &loop, const Address &address)
    : m_loop(loop)
    , m_server(loop, maxBodyBytes)
{
    m_server.setRequestHook([this](const HttpRequest &request) { onRequest(request); });
    m_server.listen(address);
}

void Service::onRequest(const HttpRequest &request)
{
    if (request.path == "/fault") {
        const json body = json::parse(request.body);
        m_frozen = body.value("frozen", m_frozen);
        m_cutsConnections = body.value("cut", m_cutsConnections);
        m_delay = Duration(body.value("delay_ms", m_delay.count()));
        m_server.reply(request.exchange, 200, jsonType, "{}");
        return;
    }
    if (request.path == "/ledger") {
        m_server.reply(request.exchange, 200, jsonType, json({{"ran", m_ledger}}).dump());
        return;
    }
    if (m_frozen)
        return;
    if (request.path == "/state") {
        m_server.reply(request.exchange, 200, jsonType,
                       json({{"boot_id", std::to_string(getpid())},
                             {"state", "ready"},
                             {"running", m_running},
                             {"completed", m_completed}})
                           .dump());
        return;
    }
    run(request);
}

void Service::run(const HttpRequest &request)
{
    const std::string key = request.header("Idempotency-Key");
    m_ledger.push_back({{"key", key},
                        {"method", request.method},
                        {"path", request.path},
                        {"running_before", m_running},
                        {"completed_before", m_completed}});
    ++m_running;
    const std::size_t number = m_ledger.size();
    const json reply {{"ran", true}, {"number", number}, {"key", key}};
    m_delayTimers.push_back(
        std::make_unique<Timer>(m_loop, [this, exchange = request.exchange, text = reply.dump()] {
            --m_running;
            ++m_completed;
            if (m_cutsConnections)
                m_server.abortConnection(exchange);
            else
                m_server.reply(exchange, 200, jsonType, text);
        }));
    m_delayTimers.back()->startOnce(m_delay);
}

} // namespace bramleypitch::standin
