#include "platform/platform_dialect.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr const char *deadlineHeader = "X-Request-Deadline"; // Remaining time in milliseconds.
constexpr const char *expectHeader = "X-Expect-Instance"; // The only server that may execute it.
constexpr const char *organisationHeader = "X-Tenant-Id";
constexpr const char *lastEventHeader = "Last-Event-Id";
constexpr const char *modelHeader = "X-Model-Name";
constexpr const char *tokensHeader = "X-Token-Count"; // Prompt tokens, maximum response tokens.
constexpr const char *lengthHeader = "X-Length-Hint"; // Response tokens that the caller expects.
constexpr const char *notExecutedHeader = "X-Not-Executed";
constexpr const char *faultyServerHeader = "At-Server";
constexpr std::string_view bearer = "Bearer ";

/// Headers of a caller's request that are not forwarded: they are consumed here or replaced.
constexpr std::array<std::string_view, 7> ownHeaders {"authorization",
                                                      "x-tenant-id",
                                                      "x-expect-instance",
                                                      "x-request-deadline",
                                                      "x-request-priority",
                                                      "content-length",
                                                      "expect"};

bool isOwn(std::string_view name)
{
    return std::any_of(ownHeaders.begin(), ownHeaders.end(),
                       [&](std::string_view own) { return sameHeader(own, name); });
}

double numberAt(std::string_view text, std::size_t index)
{
    for (; index > 0 && !text.empty(); --index)
        text.remove_prefix(std::min(text.find(',') + 1, text.size()));
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string lowerHost(std::string host)
{
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

std::optional<RequestArrival> readArrival(const MessageHead &head)
{
    RequestArrival arrival;
    arrival.traceId = head.value(requestIdHeader);
    if (arrival.traceId.empty())
        return std::nullopt;
    arrival.host = lowerHost(head.value("host"));
    arrival.path = head.target.substr(0, head.target.find('?'));
    const std::string authorization = head.value("authorization");
    if (authorization.compare(0, bearer.size(), bearer) == 0)
        arrival.key = authorization.substr(bearer.size());
    arrival.model = ModelId(head.value(modelHeader));
    const std::string tokens = head.value(tokensHeader);
    arrival.promptTokens = numberAt(tokens, 0);
    arrival.answerTokens = numberAt(tokens, 1);
    if (const std::string *expected = head.find(lengthHeader))
        arrival.answerTokens = std::min(numberAt(*expected, 0), arrival.answerTokens);
    if (const std::string *limit = head.find(deadlineHeader)) {
        const double value = numberAt(*limit, 0);
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
        if (isOwn(name) || isHopByHop(head, name)
            || (!lastEvent.empty() && sameHeader(name, lastEventHeader)))
            continue;
        add(name, value);
    }
    if (!lastEvent.empty())
        add(lastEventHeader, lastEvent);
    add(deadlineHeader, std::to_string(dispatch.timeLeft.count()));
    add(expectHeader, dispatch.server.value());
    if (!dispatch.organisation.value().empty())
        add(organisationHeader, dispatch.organisation.value());
    if (bodyLength > 0 || head.find("content-length") || head.find("transfer-encoding"))
        add("Content-Length", std::to_string(bodyLength));
    text += "\r\n";
    return text;
}

AnswerSigns readAnswer(const MessageHead &head)
{
    AnswerSigns signs;
    signs.notExecuted = head.find(notExecutedHeader) != nullptr;
    signs.faultyServer = VmId(head.value(faultyServerHeader));
    return signs;
}

HttpCall writeOrder(const SendGroupOrder &order)
{
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
    call.headers = {{"Content-Type", "application/json"}, {expectHeader, order.vm.value()}};
    call.body = body.dump();
    return call;
}

HttpCall writeProbe(const ProbeMember &probe)
{
    HttpCall call;
    call.address = probe.address;
    call.path = "/v1/report";
    call.headers = {{expectHeader, probe.vm.value()}};
    return call;
}

GroupOrderOutcome readOrderStatus(int status)
{
    constexpr int done = 200;
    constexpr int begun = 202;
    constexpr int firstServerError = 500;
    if (status == done || status == begun)
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

std::string writeDirectory(const std::vector<Address> &entries, Duration keep)
{
    constexpr std::size_t mostEntries = 64; // Callers ignore further addresses.
    constexpr double millisecondsPerSecond = 1'000;
    json addresses = json::array();
    for (std::size_t i = 0; i < std::min(entries.size(), mostEntries); ++i)
        addresses.push_back(entries[i]);
    return json {{"addresses", std::move(addresses)},
                 {"ttl_s", static_cast<double>(keep.count()) / millisecondsPerSecond}}
        .dump();
}

} // namespace

RelayDialect relayDialect()
{
    RelayDialect dialect;
    dialect.readArrival = readArrival;
    dialect.writeAttempt = writeAttempt;
    dialect.readAnswer = readAnswer;
    dialect.traceHeader = requestIdHeader;
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
