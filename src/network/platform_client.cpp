#include "network/platform_client.h"

#include "core/error_type.h"
#include "network/base64_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

using nlohmann::json;

constexpr Duration callTimeout {1'500}; ///< A healthy store responds within milliseconds.
constexpr Duration watchTimeout {300'000}; ///< A watch is restarted after this time.
constexpr std::string_view eventsField = "\"events\""; ///< Occurs in messages with changes.
constexpr int statusOk = 200;
constexpr int millisecondsPerSecond = 1'000;

/// Reads a 64-bit integer of etcd, which encodes them as strings and omits zeros.
std::int64_t parseInteger(const json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::stoll(found->get<std::string>());
    return found->get<std::int64_t>();
}

/// The smallest key after all keys with this prefix, for the field range_end of etcd.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (!prefix.empty())
        prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

StoreRead parseRange(const HttpResponse &response)
{
    StoreRead read;
    if (response.status != statusOk)
        return read;
    try {
        const json body = json::parse(response.body);
        for (const json &item : body.value("kvs", json::array())) {
            SharedValue value;
            value.key = decodeBase64(item.at("key").get<std::string>());
            value.revision = Revision(parseInteger(item, "mod_revision"));
            value.value = decodeBase64(item.value("value", std::string()));
            read.values.push_back(std::move(value));
        }
        read.ok = true;
    } catch (const std::exception &) {
        return {}; // An invalid response counts as a failed read.
    }
    return read;
}

/// The fields of the reply to a transaction.
struct SwapReply
{
    bool readable = false; ///< Otherwise the outcome of the transaction is unknown.
    bool succeeded = false;
    Revision revision;
};

SwapReply parseSwapReply(const HttpResponse &response)
{
    if (response.status != statusOk)
        return {};
    try {
        const json body = json::parse(response.body);
        SwapReply reply;
        reply.succeeded = body.value("succeeded", false);
        if (reply.succeeded)
            reply.revision = Revision(parseInteger(body.at("header"), "revision"));
        reply.readable = true;
        return reply;
    } catch (const std::exception &) {
        return {};
    }
}

StoreLease parseLease(const HttpResponse &response)
{
    StoreLease lease;
    const json body = json::parse(response.body, nullptr, false);
    if (response.status != statusOk || !body.is_object())
        return lease;
    const json &result = body.contains("result") ? body["result"] : body;
    try {
        lease.id = parseInteger(result, "ID");
        lease.timeToLive = Duration(parseInteger(result, "TTL") * millisecondsPerSecond);
        lease.ok = true;
    } catch (const std::exception &) {
        return {};
    }
    return lease;
}

std::optional<std::vector<VmRecord>> parseVmList(const HttpResponse &response)
{
    if (response.status != statusOk)
        return std::nullopt;
    try {
        std::vector<VmRecord> vms;
        const json body = json::parse(response.body);
        for (const json &item : body.at("vms")) {
            VmRecord vm;
            item.at("id").get_to(vm.id);
            item.at("address").get_to(vm.address);
            item.at("availability_zone").get_to(vm.zone);
            const auto service = item.value("service", std::string());
            vm.domain = service.empty() ? DomainId(item.at("fabric_domain").get<std::string>())
                                        : DomainId("service/" + service);
            vm.leaving = item.value("leaving", false);
            vms.push_back(std::move(vm));
        }
        return vms;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

PlatformClient::PlatformClient(EventLoop &, HttpClient &http, Address address,
                               Address vmListAddress)
    : m_http(http)
    , m_address(std::move(address))
    , m_vmListAddress(std::move(vmListAddress))
{
}

HttpCall PlatformClient::makeStoreCall(const std::string &path, const std::string &body) const
{
    HttpCall call;
    call.address = m_address;
    call.method = "POST";
    call.path = path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body;
    call.timeLimit = callTimeout;
    return call;
}

void PlatformClient::range(const std::string &body,
                           const std::function<void(const StoreRead &)> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &response) { done(parseRange(response)); };
    hooks.onFailure = [done](const HttpFailure &) { done({}); };
    m_http.send(makeStoreCall("/v3/kv/range", body), std::move(hooks));
}

void PlatformClient::readPrefix(const std::string &prefix, Revision above,
                                const std::function<void(const StoreRead &)> &done)
{
    json body {{"key", encodeBase64(prefix)}, {"range_end", encodeBase64(prefixEnd(prefix))}};
    if (above.value() > 0)
        body["min_mod_revision"] = std::to_string(above.value() + 1);
    range(body.dump(), done);
}

void PlatformClient::readKey(const std::string &key,
                             const std::function<void(const StoreRead &)> &done)
{
    range(json({{"key", encodeBase64(key)}}).dump(), done);
}

void PlatformClient::compareAndSwap(const std::string &key, Revision expected,
                                    const std::string &value, std::int64_t lease,
                                    const std::function<void(const StoreSwapResult &)> &done)
{
    json put {{"key", encodeBase64(key)}, {"value", encodeBase64(value)}};
    if (lease != 0)
        put["lease"] = std::to_string(lease);
    const json body {{"compare",
                      {{{"key", encodeBase64(key)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected.value())}}}},
                     {"success", {{{"request_put", put}}}}};
    HttpHooks hooks;
    hooks.onResponse = [this, key, expected, value, done](const HttpResponse &response) {
        const SwapReply reply = parseSwapReply(response);
        if (reply.readable && reply.succeeded) {
            done({StoreSwapOutcome::Written, reply.revision, {}});
            return;
        }
        readBack(key, expected, value, !reply.readable, done);
    };
    hooks.onFailure = [this, key, expected, value, done](const HttpFailure &failure) {
        if (!failure.sent) {
            done({});
            return;
        }
        readBack(key, expected, value, true, done);
    };
    m_http.send(makeStoreCall("/v3/kv/txn", body.dump()), std::move(hooks));
}

void PlatformClient::readBack(const std::string &key, Revision expected, const std::string &value,
                              bool mayHaveBeenWritten,
                              const std::function<void(const StoreSwapResult &)> &done)
{
    readKey(key, [expected, value, mayHaveBeenWritten, done](const StoreRead &read) {
        if (!read.ok) {
            done({});
            return;
        }
        const bool present = !read.values.empty();
        const Revision revision = present ? read.values.front().revision : Revision(0);
        const std::string stored = present ? read.values.front().value : std::string();
        // Each value contains a nonce of its writer, so an equal value stems from this write.
        if (mayHaveBeenWritten && present && stored == value) {
            done({StoreSwapOutcome::Written, revision, {}});
            return;
        }
        // The outcome is unknown: a write whose reply was lost may have been overwritten since, or
        // may still reach the store.
        if (mayHaveBeenWritten || revision == expected) {
            done({});
            return;
        }
        done({StoreSwapOutcome::Conflict, revision, stored});
    });
}

void PlatformClient::grantLease(Duration timeToLive,
                                const std::function<void(const StoreLease &)> &done)
{
    const json body {{"TTL", std::to_string(timeToLive.count() / millisecondsPerSecond)},
                     {"ID", "0"}};
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &response) { done(parseLease(response)); };
    hooks.onFailure = [done](const HttpFailure &) { done({}); };
    m_http.send(makeStoreCall("/v3/lease/grant", body.dump()), std::move(hooks));
}

void PlatformClient::keepLeaseAlive(std::int64_t lease,
                                    const std::function<void(const StoreLease &)> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &response) { done(parseLease(response)); };
    hooks.onFailure = [done](const HttpFailure &) { done({}); };
    m_http.send(makeStoreCall("/v3/lease/keepalive", json({{"ID", std::to_string(lease)}}).dump()),
                std::move(hooks));
}

void PlatformClient::revokeLease(std::int64_t lease, const std::function<void()> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &) { done(); };
    hooks.onFailure = [done](const HttpFailure &) { done(); };
    m_http.send(makeStoreCall("/v3/lease/revoke", json({{"ID", std::to_string(lease)}}).dump()),
                std::move(hooks));
}

void PlatformClient::watchPrefix(const std::string &prefix, Revision above,
                                 const std::function<void()> &changed,
                                 const std::function<void()> &ended)
{
    const json createRequest {{"key", encodeBase64(prefix)},
                              {"range_end", encodeBase64(prefixEnd(prefix))},
                              {"start_revision", std::to_string(above.value() + 1)}};
    HttpCall call = makeStoreCall("/v3/watch", json({{"create_request", createRequest}}).dump());
    call.timeLimit = watchTimeout;
    call.useNewConnection = true;
    HttpHooks hooks;
    hooks.onChunk = [changed, tail = std::string()](std::string_view piece) mutable {
        tail.append(piece);
        const bool hasEvents = tail.find(eventsField) != std::string::npos;
        // The field's name may begin in this piece and end in the next one.
        tail.erase(0, tail.size() - std::min(tail.size(), eventsField.size() - 1));
        if (hasEvents)
            changed();
    };
    hooks.onResponse = [ended](const HttpResponse &) { ended(); };
    hooks.onFailure = [ended](const HttpFailure &) { ended(); };
    m_http.send(call, std::move(hooks));
}

void PlatformClient::readVmList(
    const std::function<void(const std::optional<std::vector<VmRecord>> &)> &done)
{
    HttpCall call;
    call.address = m_vmListAddress;
    call.path = "/vms";
    call.timeLimit = callTimeout;
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &response) { done(parseVmList(response)); };
    hooks.onFailure = [done](const HttpFailure &) { done(std::nullopt); };
    m_http.send(call, std::move(hooks));
}

} // namespace bramleypitch
