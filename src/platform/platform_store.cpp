#include "platform/platform_store.h"

#include "core/error_type.h"
#include "core/json_reader.h"
#include "network/base64_func.h"
#include "network/http_message.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <optional>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
/// The store responds within milliseconds; the timeout is ten times a slow response. A list may
/// take longer as long as it arrives.
constexpr Duration callTimeout {1'000};
constexpr Duration listTimeout {4'000};

std::string encodeQueryValue(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), std::free);
    return encoded.get();
}

/// Generations of plans are multiples of the era, and have to stay exact in JSON.
constexpr std::int64_t maxEra = 1'000'000'000;

/// The era that a response of the store names; 0 if it names none.
StoreEra readEra(const HttpResponse &response)
{
    std::int64_t era = 0;
    for (const auto &[name, value] : response.headers) {
        if (!sameHeader(name, "Store-Era"))
            continue;
        const char *end = value.data() + value.size();
        const auto [parsed, error] = std::from_chars(value.data(), end, era);
        if (error != std::errc() || parsed != end || era < 0 || era > maxEra)
            return StoreEra();
    }
    return StoreEra(era);
}

/// Decodes a value. One that cannot be decoded becomes an empty value, which no reader accepts.
std::string decodeValue(const JsonReader &item)
{
    try {
        return decodeBase64(item.text("value", JsonBounds::documentBytes));
    } catch (const Failure &) {
        return {};
    }
}

/// Adds an item of a list to a reply. An item without a usable key or revision is left out.
void addItem(const json &value, StoreReply &reply)
{
    try {
        const JsonReader item(value, "item");
        StoreChange change;
        change.key = item.text("key");
        reply.lastKey = change.key;
        change.revision = Revision(item.integer("revision", 1, JsonBounds::integer));
        change.deleted = item.boolean("deleted", false);
        if (!change.deleted)
            change.value = decodeValue(item);
        reply.changes.push_back(std::move(change));
    } catch (const Failure &) {
        ++reply.skipped;
    }
}

/// The calls that return a list. Only a range read comes in pages.
enum class ListCall { Range, Watch };

StoreReply parseReply(const HttpResponse &response, ListCall call)
{
    const bool isRange = call == ListCall::Range;
    StoreReply reply;
    if (response.status == statusGone) {
        reply.outcome = StoreReply::Outcome::Compacted;
        return reply;
    }
    if (response.status != statusOk) {
        reply.cause = "status " + std::to_string(response.status);
        return reply;
    }
    try {
        const json document = parseJson(response.body);
        const JsonReader body(document, "reply");
        const char *list = isRange ? "entries" : "events";
        body.value(list);
        for (const json *item : body.elements(list))
            addItem(*item, reply);
        reply.storeRevision = Revision(body.integer("as_of", 1, JsonBounds::integer));
        reply.more = isRange && body.boolean("more_pages");
        reply.outcome = StoreReply::Outcome::Read;
    } catch (const Failure &failure) {
        reply = StoreReply();
        reply.cause = failure.what();
    }
    return reply;
}

HttpHooks replyHooks(ListCall call, const std::function<void(const StoreReply &)> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [call, done](const HttpResponse &response) {
        StoreReply reply = parseReply(response, call);
        reply.era = readEra(response);
        done(reply);
    };
    hooks.onFailure = [done](const HttpFailure &failure) {
        StoreReply reply;
        reply.cause = failure.timedOut ? "timeout" : "connection";
        if (failure.tooLong)
            reply.outcome = StoreReply::Outcome::TooLong;
        done(reply);
    };
    return hooks;
}

std::optional<std::int64_t> integerField(const std::string &body, const char *name)
{
    try {
        const json document = parseJson(body);
        return JsonReader(document, "reply").integer(name, 0, JsonBounds::integer);
    } catch (const Failure &) {
        return std::nullopt;
    }
}

/// Parses the response to granting a lease (`knownLease` 0) or renewing one.
StoreLease parseLease(const HttpResponse &response, std::int64_t knownLease)
{
    StoreLease lease;
    if (response.status == statusNotFound) {
        lease.ok = knownLease != 0;
        return lease;
    }
    const auto id = knownLease != 0 ? knownLease : integerField(response.body, "lease");
    const auto timeToLive = integerField(response.body, "ttl_ms");
    if (response.status != statusOk || id.value_or(0) == 0 || !timeToLive)
        return lease;
    lease.ok = true;
    lease.id = *id;
    lease.timeToLive = Duration(std::min(*timeToLive, JsonBounds::milliseconds));
    return lease;
}

HttpHooks leaseHooks(std::int64_t knownLease, const std::function<void(const StoreLease &)> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [knownLease, done](const HttpResponse &response) {
        StoreLease lease = parseLease(response, knownLease);
        lease.era = readEra(response);
        done(lease);
    };
    hooks.onFailure = [done](const HttpFailure &) { done(StoreLease()); };
    return hooks;
}

} // namespace

PlatformStore::PlatformStore(HttpClient &http, Address address)
    : m_http(http)
    , m_address(std::move(address))
{
}

HttpCall PlatformStore::call(const std::string &method, const std::string &path,
                             const std::string &body) const
{
    HttpCall call;
    call.address = m_address;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeLimit = callTimeout;
    if (!body.empty())
        call.headers.emplace_back("Content-Type", "application/json");
    return call;
}

void PlatformStore::readPage(const std::string &prefix, const std::string &after,
                             const std::function<void(const StoreReply &)> &done)
{
    std::string path = "/v1/kv-range?path_prefix=" + encodeQueryValue(prefix);
    if (!after.empty())
        path += "&after=" + encodeQueryValue(after);
    HttpCall request = call("GET", path);
    request.timeLimit = listTimeout;
    request.pauseLimit = callTimeout;
    request.isRepeatable = true;
    m_http.send(request, replyHooks(ListCall::Range, done));
}

void PlatformStore::watch(const std::string &prefix, Revision above, Duration wait,
                          std::size_t maxBytes, const std::function<void(const StoreReply &)> &done)
{
    HttpCall request =
        call("GET",
             "/v1/kv-watch?path_prefix=" + encodeQueryValue(prefix) + "&after="
                 + std::to_string(above.value()) + "&wait_ms=" + std::to_string(wait.count()));
    request.timeLimit = wait + listTimeout;
    request.pauseLimit = wait + callTimeout;
    request.maxBodyBytes = maxBytes;
    request.isRepeatable = true;
    m_http.send(request, replyHooks(ListCall::Watch, done));
}

void PlatformStore::compareAndSwap(const std::string &key, Revision expected,
                                   const std::string &value, std::int64_t lease,
                                   const std::function<void(const StoreSwapResult &)> &done)
{
    transact({{key, expected, value}}, lease, done);
}

void PlatformStore::writeAll(const std::vector<StoreWrite> &writes,
                             const std::function<void(const StoreSwapResult &)> &done)
{
    transact(writes, 0, done);
}

void PlatformStore::transact(const std::vector<StoreWrite> &writes, std::int64_t lease,
                             const std::function<void(const StoreSwapResult &)> &done)
{
    json expected = json::array();
    json puts = json::array();
    for (const StoreWrite &write : writes) {
        expected.push_back({{"key", write.key}, {"revision", write.expected.value()}});
        json put {{"key", write.key}, {"value", encodeBase64(write.value)}};
        if (lease != 0)
            put["lease"] = lease;
        puts.push_back(std::move(put));
    }
    const json body {
        {"expected", std::move(expected)}, {"puts", std::move(puts)}, {"remove", json::array()}};
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &response) {
        StoreSwapResult swap;
        swap.era = readEra(response);
        if (response.status == statusOk) {
            const std::int64_t revision = integerField(response.body, "revision").value_or(0);
            if (revision > 0) {
                swap.outcome = StoreSwapOutcome::Written;
                swap.revision = Revision(revision);
            }
        } else if (response.status == statusPreconditionFailed
                   || response.status == statusNotFound) {
            swap.outcome = StoreSwapOutcome::Conflict;
        } else if (response.status == statusTooManyRequests
                   || response.status == statusUnavailable) {
            swap.outcome = StoreSwapOutcome::Refused;
        }
        done(swap);
    };
    hooks.onFailure = [done](const HttpFailure &) { done(StoreSwapResult()); };
    m_http.send(call("POST", "/v1/kv-txn", body.dump()), std::move(hooks));
}

void PlatformStore::grantLease(Duration timeToLive,
                               const std::function<void(const StoreLease &)> &done)
{
    const json body {{"ttl_ms", timeToLive.count()}};
    m_http.send(call("POST", "/v1/kv-lease", body.dump()), leaseHooks(0, done));
}

void PlatformStore::keepLeaseAlive(std::int64_t lease,
                                   const std::function<void(const StoreLease &)> &done)
{
    HttpCall request = call("POST", "/v1/kv-keep/" + std::to_string(lease));
    request.isRepeatable = true;
    m_http.send(request, leaseHooks(lease, done));
}

void PlatformStore::revokeLease(std::int64_t lease, const std::function<void()> &done)
{
    HttpHooks hooks;
    hooks.onResponse = [done](const HttpResponse &) { done(); };
    hooks.onFailure = [done](const HttpFailure &) { done(); };
    m_http.send(call("DELETE", "/v1/kv-lease-end/" + std::to_string(lease)), std::move(hooks));
}

} // namespace bramleypitch::platform
