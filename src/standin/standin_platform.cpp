#include "standin/standin_platform.h"

#include "network/base64_func.h"

namespace bramleypitch::standin {

using nlohmann::json;

namespace {

constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;
constexpr Duration expiryInterval {100};
constexpr int millisecondsPerSecond = 1'000;

/// Returns an integer field, which may be encoded as a string as in etcd's JSON, or 0 if absent.
std::int64_t integerField(const json &body, const char *field)
{
    if (!body.contains(field))
        return 0;
    return body[field].is_string() ? std::stoll(body[field].get<std::string>())
                                   : body[field].get<std::int64_t>();
}

/// Returns a base64-encoded field decoded, or an empty string if absent.
std::string base64Field(const json &body, const char *field)
{
    return body.contains(field) ? decodeBase64(body[field].get<std::string>()) : std::string();
}

json entryJson(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {{"key", encodeBase64(key)},
            {"value", encodeBase64(value)},
            {"mod_revision", std::to_string(revision)}};
}

} // namespace

Platform::Platform(EventLoop &loop, const Address &address)
    : m_loop(loop)
    , m_server(loop, maxBodyBytes)
    , m_leaseExpiryTimer(loop, [this] { expireLeases(); })
    , m_vms({{"vms", json::array()}})
{
    m_server.setRequestHook([this](const HttpRequest &request) { onRequest(request); });
    m_server.setDisconnectHook([this](ExchangeId exchange) {
        std::erase_if(m_watches, [&](const Watch &watch) { return watch.exchange == exchange; });
    });
    m_server.listen(address);
    m_leaseExpiryTimer.startRepeating(expiryInterval);
}

json Platform::header() const
{
    return {{"revision", std::to_string(m_revision)}};
}

void Platform::onRequest(const HttpRequest &request)
{
    const bool isControl =
        request.path == "/fault" || request.path == "/calls" || request.method == "PUT";
    if (!isControl) {
        ++m_callCounts[request.path];
        if (m_outage)
            return; // The call is not answered, so that it fails by the caller's timeout.
    }
    if (isControl || m_delay == Duration(0)) {
        handle(request);
        return;
    }
    m_delayTimers.push_back(std::make_unique<Timer>(m_loop, [this, request] { handle(request); }));
    m_delayTimers.back()->startOnce(m_delay);
}

void Platform::handle(const HttpRequest &request)
{
    const json body = request.body.empty() ? json::object() : json::parse(request.body);
    json reply = json::object();
    bool isWrite = false;
    if (request.path == "/v3/kv/range") {
        reply = range(body);
    } else if (request.path == "/v3/kv/txn") {
        reply = transaction(body);
        isWrite = true;
    } else if (request.path == "/v3/kv/put") {
        reply = put(body);
        isWrite = true;
    } else if (request.path == "/v3/lease/grant") {
        reply = grant(body);
    } else if (request.path == "/v3/lease/keepalive") {
        reply = keepAlive(body);
    } else if (request.path == "/v3/lease/revoke") {
        reply = revoke(body);
    } else if (request.path == "/v3/watch") {
        watch(request, body);
        return;
    } else if (request.path == "/vms") {
        if (request.method == "PUT")
            m_vms = body;
        reply = m_vms;
    } else if (request.path == "/fault") {
        setFaults(body);
    } else if (request.path == "/calls") {
        reply = m_callCounts;
    }
    if (isWrite && m_repliesToLose > 0) {
        --m_repliesToLose;
        return;
    }
    m_server.reply(request.exchange, 200, "application/json", reply.dump());
}

void Platform::setFaults(const json &body)
{
    m_outage = body.value("outage", m_outage);
    m_delay = Duration(body.value("delay_ms", m_delay.count()));
    m_repliesToLose = body.value("lose_replies", m_repliesToLose);
}

json Platform::range(const json &body) const
{
    const std::string from = base64Field(body, "key");
    const std::string to = base64Field(body, "range_end");
    const std::int64_t minRevision = integerField(body, "min_mod_revision");
    json kvs = json::array();
    for (auto it = m_entries.lower_bound(from); it != m_entries.end(); ++it) {
        if (to.empty() ? it->first != from : it->first >= to)
            break;
        if (it->second.revision >= minRevision)
            kvs.push_back(entryJson(it->first, it->second.value, it->second.revision));
    }
    return {{"header", header()}, {"kvs", kvs}, {"count", std::to_string(kvs.size())}};
}

json Platform::transaction(const json &body)
{
    const json &compare = body.at("compare").at(0);
    const auto found = m_entries.find(base64Field(compare, "key"));
    const std::int64_t held = found == m_entries.end() ? 0 : found->second.revision;
    if (held != integerField(compare, "mod_revision"))
        return {{"header", header()}};
    put(body.at("success").at(0).at("request_put"));
    return {{"header", header()}, {"succeeded", true}};
}

json Platform::put(const json &body)
{
    const std::string key = base64Field(body, "key");
    Entry &entry = m_entries[key];
    entry.value = base64Field(body, "value");
    entry.revision = ++m_revision;
    entry.lease = integerField(body, "lease");
    notify(key, entry);
    return {{"header", header()}};
}

void Platform::notify(const std::string &key, const Entry &entry)
{
    const json event {{"result",
                       {{"header", header()},
                        {"events", {{{"kv", entryJson(key, entry.value, entry.revision)}}}}}}};
    const std::string line = event.dump() + "\n";
    const std::vector<Watch> watches = m_watches;
    for (const Watch &watch : watches) {
        if (key >= watch.from && key < watch.to)
            m_server.sendChunk(watch.exchange, line);
    }
}

void Platform::watch(const HttpRequest &request, const json &body)
{
    const json &create = body.at("create_request");
    const Watch watch {request.exchange, base64Field(create, "key"),
                       base64Field(create, "range_end")};
    m_watches.push_back(watch);
    m_server.startStream(request.exchange, 200, "application/json");
    const json created {{"result", {{"header", header()}, {"created", true}}}};
    m_server.sendChunk(request.exchange, created.dump() + "\n");
}

json Platform::grant(const json &body)
{
    const std::int64_t seconds = integerField(body, "TTL");
    const Duration timeToLive(seconds * millisecondsPerSecond);
    m_leases[++m_lastLeaseId] = {timeToLive, m_loop.now() + timeToLive};
    return {{"header", header()},
            {"ID", std::to_string(m_lastLeaseId)},
            {"TTL", std::to_string(seconds)}};
}

json Platform::keepAlive(const json &body)
{
    const std::int64_t id = integerField(body, "ID");
    const auto found = m_leases.find(id);
    json result {{"ID", std::to_string(id)}};
    if (found != m_leases.end()) {
        found->second.expiresAt = m_loop.now() + found->second.timeToLive;
        result["TTL"] = std::to_string(found->second.timeToLive.count() / millisecondsPerSecond);
    }
    return {{"result", result}};
}

json Platform::revoke(const json &body)
{
    removeLease(integerField(body, "ID"));
    return {{"header", header()}};
}

void Platform::removeLease(std::int64_t lease)
{
    m_leases.erase(lease);
    const std::size_t dropped = std::erase_if(
        m_entries, [&](const auto &entry) { return entry.second.lease == lease && lease; });
    if (dropped > 0)
        ++m_revision;
}

void Platform::expireLeases()
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (m_loop.now() >= lease.expiresAt)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        removeLease(id);
}

} // namespace bramleypitch::standin
