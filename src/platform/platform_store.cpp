#include "platform/platform_store.h"

#include "core/error_type.h"
#include "network/base64_func.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <memory>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;
/// The store responds within milliseconds; the timeout is ten times a slow response.
constexpr Duration callLimit {1'000};

std::string queryValue(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), std::free);
    return encoded.get();
}

StoreChange readItem(const json &item)
{
    StoreChange change;
    change.key = item.at("key").get<std::string>();
    change.revision = Revision(item.at("revision").get<std::int64_t>());
    change.deleted = item.value("deleted", false);
    if (!change.deleted)
        change.value = decodeBase64(item.at("value").get<std::string>());
    return change;
}

/// Parses the response to a range read or a watch; `field` is the name of its list.
StoreNews readNews(const HttpAnswer &answer, const char *field)
{
    StoreNews news;
    if (answer.status == gone) {
        news.outcome = StoreNews::Outcome::HistoryGone;
        return news;
    }
    if (answer.status != ok) {
        news.cause = "status " + std::to_string(answer.status);
        return news;
    }
    try {
        const json body = json::parse(answer.body);
        for (const json &item : body.at(field))
            news.changes.push_back(readItem(item));
        news.asOf = Revision(body.at("as_of").get<std::int64_t>());
        news.more = body.value("more_pages", false);
        news.outcome = StoreNews::Outcome::Read;
    } catch (const json::exception &error) {
        news = StoreNews();
        news.cause = error.what();
    } catch (const Failure &failure) {
        news = StoreNews();
        news.cause = failure.what();
    }
    return news;
}

HttpHooks newsHooks(const char *field, const std::function<void(const StoreNews &)> &done)
{
    HttpHooks hooks;
    hooks.answered = [field, done](const HttpAnswer &answer) { done(readNews(answer, field)); };
    hooks.broken = [done](const HttpBreak &broken) {
        StoreNews news;
        news.cause = broken.timedOut ? "timeout" : "connection";
        done(news);
    };
    return hooks;
}

std::int64_t field(const std::string &body, const char *name)
{
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains(name) && parsed[name].is_number_integer()
        ? parsed[name].get<std::int64_t>()
        : 0;
}

HttpHooks leaseHooks(std::int64_t known, const std::function<void(const StoreLease &)> &done)
{
    HttpHooks hooks;
    hooks.answered = [known, done](const HttpAnswer &answer) {
        StoreLease lease;
        lease.ok = answer.status == ok || answer.status == notFound;
        if (answer.status == ok) {
            lease.id = known != 0 ? known : field(answer.body, "lease");
            lease.timeToLive = Duration(field(answer.body, "ttl_ms"));
        }
        done(lease);
    };
    hooks.broken = [done](const HttpBreak &) { done(StoreLease()); };
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
    call.timeLimit = callLimit;
    if (!body.empty())
        call.headers.emplace_back("Content-Type", "application/json");
    return call;
}

void PlatformStore::readPage(const std::string &prefix, const std::string &after,
                             const std::function<void(const StoreNews &)> &done)
{
    std::string path = "/v1/kv-range?path_prefix=" + queryValue(prefix);
    if (!after.empty())
        path += "&after=" + queryValue(after);
    m_http.send(call("GET", path), newsHooks("entries", done));
}

void PlatformStore::watch(const std::string &prefix, Revision above, Duration wait,
                          const std::function<void(const StoreNews &)> &done)
{
    HttpCall request =
        call("GET",
             "/v1/kv-watch?path_prefix=" + queryValue(prefix) + "&after="
                 + std::to_string(above.value()) + "&wait_ms=" + std::to_string(wait.count()));
    request.timeLimit = wait + callLimit;
    m_http.send(request, newsHooks("events", done));
}

void PlatformStore::compareAndSwap(const std::string &key, Revision expected,
                                   const std::string &value, std::int64_t lease,
                                   const std::function<void(const StoreSwap &)> &done)
{
    json put {{"key", key}, {"value", encodeBase64(value)}};
    if (lease != 0)
        put["lease"] = lease;
    const json body {{"expected", json::array({{{"key", key}, {"revision", expected.value()}}})},
                     {"puts", json::array({put})},
                     {"remove", json::array()}};
    HttpHooks hooks;
    hooks.answered = [done](const HttpAnswer &answer) {
        StoreSwap swap;
        if (answer.status == ok) {
            swap.outcome = StoreSwapOutcome::Written;
            swap.revision = Revision(field(answer.body, "revision"));
        } else if (answer.status == preconditionFailed || answer.status == notFound
                   || answer.status == tooManyRequests || answer.status == unavailable) {
            swap.outcome = StoreSwapOutcome::Conflict;
        }
        done(swap);
    };
    hooks.broken = [done](const HttpBreak &) { done(StoreSwap()); };
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
    m_http.send(call("POST", "/v1/kv-keep/" + std::to_string(lease)), leaseHooks(lease, done));
}

void PlatformStore::revokeLease(std::int64_t lease, const std::function<void()> &done)
{
    HttpHooks hooks;
    hooks.answered = [done](const HttpAnswer &) { done(); };
    hooks.broken = [done](const HttpBreak &) { done(); };
    m_http.send(call("DELETE", "/v1/kv-lease-end/" + std::to_string(lease)), std::move(hooks));
}

} // namespace bramleypitch::platform
