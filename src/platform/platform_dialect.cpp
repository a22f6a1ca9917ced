#include "platform/platform_dialect.h"

#include "core/rendezvous_func.h"
#include "network/decimal_func.h"
#include "network/retry_after_func.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_set>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr const char *requestIdHeader = "X-Request-Id";
/// Remaining time in milliseconds.
constexpr const char *deadlineHeader = "X-Request-Deadline";
/// The only server that may execute the request.
constexpr const char *expectInstanceHeader = "X-Expect-Instance";
constexpr const char *expectVersionHeader = "X-Expect-Version";
constexpr const char *organisationHeader = "X-Tenant-Id";
constexpr const char *lastEventIdHeader = "Last-Event-Id";
constexpr const char *modelHeader = "X-Model-Name";
/// Number of prompt tokens and maximum number of response tokens.
constexpr const char *tokenCountHeader = "X-Token-Count";
/// Number of response tokens that the caller expects.
constexpr const char *lengthHintHeader = "X-Length-Hint";
/// The parts of the prompt in order: ID:TOKENS, comma-separated.
constexpr const char *promptPartsHeader = "X-Prompt-Prefix";
constexpr const char *notExecutedHeader = "X-Not-Executed";
/// Between nodes: the attempts that are left, for a request that one passes on to another.
constexpr const char *forwardedHeader = "X-Bramleypitch-Attempts";
/// Between nodes: shows that such a request comes from a node. Each node has its own key, which the
/// others read in the store.
constexpr const char *forwardKeyHeader = "X-Bramleypitch-Key";
/// To servers: 0 to 9. They start requests with lower numbers first, and assume 5 without it.
constexpr const char *priorityHeader = "X-Request-Priority";
constexpr const char *faultyServerHeader = "At-Server";
constexpr const char *instanceHeader = "X-Instance-Id"; ///< The server that responded.
constexpr const char *leavingHeader = "Server-Leaving"; ///< "1": the server that responded leaves.
constexpr const char *retryAfterHeader = "Retry-After";
/// Requests per second that the server that responded takes from all nodes together.
constexpr const char *limitHeader = "Server-Limit";
constexpr int misdirectedRequest = 421;
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;
constexpr std::size_t maxLoggedValueBytes = 64;
constexpr std::string_view bearerPrefix = "Bearer ";

/// Headers of a caller's request that are not forwarded: they are consumed here or replaced.
constexpr std::array<std::string_view, 9> reservedHeaders {"authorization",
                                                           "x-tenant-id",
                                                           "x-expect-instance",
                                                           "x-request-deadline",
                                                           "x-request-priority",
                                                           "content-length",
                                                           "expect",
                                                           "x-bramleypitch-attempts",
                                                           "x-bramleypitch-key"};

bool isReserved(std::string_view name)
{
    return std::any_of(reservedHeaders.begin(), reservedHeaders.end(),
                       [&](std::string_view reserved) { return sameHeader(reserved, name); });
}

/// Parses the number at `index` of a comma-separated list. Returns 0 if there is no such element or
/// if it is not a number from 0 to maxNumber.
double parseNumberAt(std::string_view text, std::size_t index)
{
    constexpr double maxNumber = 1e9; // Far above any number of tokens or milliseconds.
    for (; index > 0; --index) {
        const std::size_t comma = text.find(',');
        if (comma == std::string_view::npos)
            return 0;
        text.remove_prefix(comma + 1);
    }
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value >= 0 && value <= maxNumber ? value : 0; // Excludes values that are not finite.
}

/// Removes the port and converts the host name to lower case.
std::string normalizeHost(std::string host)
{
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

/// Hashes of the ids of all parts of the prompt but the last, which belongs to the request or to
/// its session. None is left out, as a harmful part may come after many. A malformed entry is
/// hashed like any other, as it is not known what servers make of it.
std::vector<std::uint64_t> readPromptParts(const MessageHead &head)
{
    constexpr std::string_view blanks = " \t";
    std::vector<std::uint64_t> parts;
    for (const auto &[name, value] : head.headers) {
        if (!sameHeader(name, promptPartsHeader))
            continue;
        for (std::size_t start = 0; start <= value.size();) {
            const std::size_t end = std::min(value.find(',', start), value.size());
            std::string id = value.substr(start, std::min(value.find(':', start), end) - start);
            start = end + 1;
            id.erase(0, std::min(id.find_first_not_of(blanks), id.size()));
            id.erase(id.find_last_not_of(blanks) + 1);
            std::transform(id.begin(), id.end(), id.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            parts.push_back(stableHash(id));
        }
    }
    if (parts.empty())
        return parts;
    parts.pop_back();
    std::unordered_set<std::uint64_t> seen;
    std::erase_if(parts, [&](std::uint64_t part) { return !seen.insert(part).second; });
    return parts;
}

std::optional<RequestArrival> readArrival(const MessageHead &head)
{
    RequestArrival arrival;
    arrival.traceId = head.value(requestIdHeader);
    if (arrival.traceId.empty())
        return std::nullopt;
    arrival.host = normalizeHost(head.value("host"));
    arrival.path = head.target.substr(0, head.target.find('?'));
    const std::string authorization = head.value("authorization");
    if (authorization.compare(0, bearerPrefix.size(), bearerPrefix) == 0)
        arrival.key = authorization.substr(bearerPrefix.size());
    arrival.model = ModelId(head.value(modelHeader));
    arrival.expectsVersion = head.find(expectVersionHeader) != nullptr;
    arrival.promptParts = readPromptParts(head);
    for (const auto &[name, value] : head.headers) {
        if (sameHeader(name, promptPartsHeader))
            arrival.prompt = stableHash(value, arrival.prompt);
    }
    const std::string tokens = head.value(tokenCountHeader);
    arrival.promptTokens = parseNumberAt(tokens, 0);
    arrival.completionTokens = parseNumberAt(tokens, 1);
    if (const std::string *expected = head.find(lengthHintHeader))
        arrival.completionTokens = std::min(parseNumberAt(*expected, 0), arrival.completionTokens);
    if (const std::string *attempts = head.find(forwardedHeader)) {
        arrival.attemptsLeft = static_cast<std::uint32_t>(parseNumberAt(*attempts, 0));
        arrival.forwardKey = head.value(forwardKeyHeader);
    }
    if (const std::string *remainingTime = head.find(deadlineHeader)) {
        const double value = parseNumberAt(*remainingTime, 0);
        if (value > 0)
            arrival.timeLimit = Duration(static_cast<Duration::rep>(value));
    }
    return arrival;
}

std::string writeAttempt(const MessageHead &head, const DispatchAttempt &dispatch,
                         std::size_t bodyLength, const std::string &lastEvent)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    const auto add = [&](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    for (const auto &[name, value] : head.headers) {
        if (isReserved(name) || isHopByHop(head, name)
            || (!lastEvent.empty() && sameHeader(name, lastEventIdHeader)))
            continue;
        add(name, value);
    }
    if (!lastEvent.empty())
        add(lastEventIdHeader, lastEvent);
    add(deadlineHeader, std::to_string(dispatch.timeLeft.count()));
    if (!dispatch.node.value().empty()) {
        // The other node checks the key again, and chooses the server.
        add(forwardedHeader, std::to_string(dispatch.attemptsLeft));
        if (!dispatch.forwardKey.empty())
            add(forwardKeyHeader, dispatch.forwardKey);
        if (const std::string *key = head.find("authorization"))
            add("Authorization", *key);
    } else {
        add(expectInstanceHeader, dispatch.server.value());
        if (dispatch.priority)
            add(priorityHeader, std::to_string(*dispatch.priority));
    }
    if (!dispatch.organisation.value().empty())
        add(organisationHeader, dispatch.organisation.value());
    if (bodyLength > 0 || head.find("content-length") || head.find("transfer-encoding"))
        add("Content-Length", std::to_string(bodyLength));
    text += "\r\n";
    return text;
}

/// Reads what a response says of the limit of its server.
void readLimit(const MessageHead &head, ResponseDetails &details)
{
    LimitStatement statement;
    statement.isRefusal = details.notExecuted || head.status == misdirectedRequest
        || head.status == tooManyRequests || head.status == serviceUnavailable;
    if (const std::string *value = head.find(limitHeader)) {
        const std::optional<double> limit = parseDecimal(*value);
        if (!limit) {
            details.invalidLimit = "\"" + value->substr(0, maxLoggedValueBytes) + "\"";
            return;
        }
        statement.perSecond =
            std::clamp(*limit, LimitBounds::minPerSecond, LimitBounds::maxPerSecond);
    } else if (head.status == misdirectedRequest && details.notice.server.value().empty()) {
        return; // Another server may have responded, so that the absence tells nothing.
    }
    details.notice.limit = statement;
}

ResponseDetails readResponse(const MessageHead &head)
{
    ResponseDetails details;
    details.notExecuted = head.find(notExecutedHeader) != nullptr;
    details.faultyServer = VmId(head.value(faultyServerHeader));
    details.notice.server = VmId(head.value(instanceHeader));
    details.notice.leaving = head.value(leavingHeader) == "1";
    readLimit(head, details);
    const std::string *retryAfter = head.find(retryAfterHeader);
    if (head.status != serviceUnavailable || !retryAfter)
        return details;
    const RetryAfter parsed = parseRetryAfter(*retryAfter);
    details.notice.pause = parsed.delay;
    if (parsed.remark) {
        details.invalidRetryAfter = retryAfter->substr(0, maxLoggedValueBytes);
        details.invalidRetryAfterCause = parsed.remark;
    }
    return details;
}

HttpCall writeOrder(const SendGroupOrder &order)
{
    // The fencing token is the generation of the plan. The epoch, set below, is that of the group.
    json body {{"fencing_token", order.fence.value()}};
    switch (order.kind) {
    case GroupOrderKind::Join: {
        json members = json::array();
        for (const VmId &member : order.members)
            members.push_back(member);
        body["operation"] = "join";
        body["model"] = order.model;
        body["members"] = std::move(members);
        break;
    }
    case GroupOrderKind::Open:
        body["operation"] = "open";
        break;
    case GroupOrderKind::CloseAfterQueue:
        body["operation"] = "close";
        body["close_mode"] = "queue";
        break;
    case GroupOrderKind::Leave:
        body["operation"] = "leave";
        break;
    case GroupOrderKind::Stage:
        body["operation"] = "phase"; // Loads a model's weights onto the host.
        body["model"] = order.model;
        break;
    }
    if (order.kind != GroupOrderKind::Stage) {
        body["group"] = order.group;
        body["epoch"] = order.generation.value();
    }
    HttpCall call;
    call.address = order.address;
    call.method = "POST";
    call.path = "/v1/order";
    call.headers = {{"Content-Type", "application/json"}, {expectInstanceHeader, order.vm.value()}};
    call.body = body.dump();
    return call;
}

HttpCall writeProbe(const ProbeMember &probe)
{
    HttpCall call;
    call.address = probe.address;
    call.path = "/v1/report";
    call.headers = {{expectInstanceHeader, probe.vm.value()}};
    return call;
}

GroupOrderOutcome readOrderStatus(int status)
{
    constexpr int statusOk = 200;
    constexpr int statusAccepted = 202;
    constexpr int firstServerError = 500;
    if (status == statusOk || status == statusAccepted)
        return GroupOrderOutcome::Accepted;
    return status < firstServerError ? GroupOrderOutcome::Refused : GroupOrderOutcome::Unknown;
}

ZoneId readDirectoryQuery(const std::string &query)
{
    evkeyvalq parameters {};
    if (evhttp_parse_query_str(query.c_str(), &parameters) != 0)
        return ZoneId();
    const char *zone = evhttp_find_header(&parameters, "zone");
    ZoneId result(zone ? zone : "");
    evhttp_clear_headers(&parameters);
    return result;
}

std::string writeDirectory(const std::vector<Address> &entries, Duration timeToLive)
{
    constexpr std::size_t maxAddresses = 64; // Callers ignore further addresses.
    constexpr double millisecondsPerSecond = 1'000;
    json addresses = json::array();
    for (std::size_t i = 0; i < std::min(entries.size(), maxAddresses); ++i)
        addresses.push_back(entries[i]);
    return json {{"addresses", std::move(addresses)},
                 {"ttl_s", static_cast<double>(timeToLive.count()) / millisecondsPerSecond}}
        .dump();
}

} // namespace

RelayDialect relayDialect()
{
    RelayDialect dialect;
    dialect.readArrival = readArrival;
    dialect.writeAttempt = writeAttempt;
    dialect.readResponse = readResponse;
    dialect.traceHeader = requestIdHeader;
    dialect.lastEventHeader = lastEventIdHeader;
    dialect.notExecutedHeader = notExecutedHeader;
    return dialect;
}

ServingDialect servingDialect()
{
    ServingDialect dialect;
    dialect.configurationKey = "op/config";
    dialect.serverPrefix = "servers/";
    dialect.zoneOutPrefix = "op/evacuate/";
    dialect.ownPrefix = "bramleypitch/";
    dialect.readConfiguration = readConfiguration;
    dialect.readServer = readServer;
    dialect.writeOrder = writeOrder;
    dialect.readOrderStatus = readOrderStatus;
    dialect.writeProbe = writeProbe;
    dialect.readyPath = "/v1/readiness";
    dialect.directoryPath = "/v1/resolve";
    dialect.readDirectoryQuery = readDirectoryQuery;
    dialect.writeDirectory = writeDirectory;
    dialect.metricsPath = "/metrics";
    dialect.relay = relayDialect();
    return dialect;
}

} // namespace bramleypitch::platform
