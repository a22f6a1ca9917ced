#include "core/error_type.h"
#include "core/json_reader.h"
#include "platform/platform_dialect.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr double millisecondsPerSecond = 1'000;
constexpr int lowestPriority = 1'000'000;

Duration readMilliseconds(const JsonReader &item, const char *field)
{
    return Duration(static_cast<Duration::rep>(item.number(field, 0, JsonBounds::milliseconds, 0)));
}

/// The list of that name. Throws Failure for a value of another type, which is not an empty list.
const json &listAt(const json &object, const char *name)
{
    const json &list = object.at(name);
    if (!list.is_array())
        throw Failure(ErrorCode::PlatformProtocol, std::string(name) + ": is no list");
    return list;
}

Duration readSeconds(const JsonReader &item, const char *field)
{
    constexpr double maxSeconds = JsonBounds::milliseconds / millisecondsPerSecond;
    return Duration(
        static_cast<Duration::rep>(item.number(field, 0, maxSeconds, 0) * millisecondsPerSecond));
}

std::uint32_t readCount(const JsonReader &item, const char *field, std::int64_t minimum,
                        std::int64_t fallback)
{
    return static_cast<std::uint32_t>(item.integer(field, minimum, JsonBounds::count, fallback));
}

int readPriority(const JsonReader &item, const char *field)
{
    return static_cast<int>(item.integer(field, -lowestPriority, lowestPriority, 0));
}

double readFigure(const JsonReader &item, const char *field, double fallback)
{
    return item.number(field, 0, JsonBounds::number, fallback);
}

RequestKind readKind(const JsonReader &route)
{
    const std::string kind = route.name("route_type");
    if (kind == "streaming")
        return route.boolean("resumable", false) ? RequestKind::ResumableStream
                                                 : RequestKind::Stream;
    if (kind == "idempotent")
        return RequestKind::Repeatable;
    if (kind == "non_idempotent")
        return RequestKind::AtMostOnce;
    route.fail("route_type", "\"" + kind + "\" is not known");
}

RouteSpec readRoute(const JsonReader &item)
{
    RouteSpec route;
    route.name = RouteId(item.name("name"));
    route.host = item.text("host");
    std::transform(route.host.begin(), route.host.end(), route.host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    route.pathPrefix = item.text("path_prefix");
    route.kind = readKind(item);
    item.value("timeout_ms");
    route.timeout = readMilliseconds(item, "timeout_ms");
    route.targetLatency = readMilliseconds(item, "target_latency_ms");
    route.targetGap = readMilliseconds(item, "target_gap_ms");
    route.priority = readPriority(item, "priority");
    route.maxAttempts = readCount(item, "max_attempts", 0, 1);
    route.keyless = item.boolean("auth_exempt", false);
    if (item.has("weighted_services")) {
        for (const JsonReader &weighted : item.objects("weighted_services")) {
            const double weight = weighted.number("weight", 0, JsonBounds::number);
            if (weight > 0)
                route.services.push_back({ServiceId(weighted.name("service")), weight});
        }
    } else if (item.has("service")) {
        route.services.push_back({ServiceId(item.name("service")), 1});
    }
    return route;
}

ServedModel readModel(const JsonReader &item)
{
    ServedModel model;
    model.name = ModelId(item.name("name"));
    model.span = readCount(item, "size", 1, 1); // "size" is the number of VMs in a group.
    model.share = readFigure(item, "share", 1);
    model.pace = readFigure(item, "pace", 1);
    model.loadTime = readSeconds(item, "load_s");
    model.warmLoadTime = readSeconds(item, "warm_s");
    return model;
}

EngineSpec readEngine(const JsonReader &item)
{
    EngineSpec engine;
    engine.slots = readCount(item, "slots", 0, 1);
    engine.stride = readCount(item, "stride", 0, 1);
    engine.stepMs = readFigure(item, "step_ms", 0);
    engine.perSequenceMs = readFigure(item, "per_seq_ms", 0);
    engine.contextMsPerThousand = readFigure(item, "context_per_k", 0);
    engine.prefillMsPerMillionPairs = readFigure(item, "pairs_per_m", 0);
    engine.promptTokensPerMs = readFigure(item, "read_per_s", 1'000) / millisecondsPerSecond;
    if (item.has("usual")) {
        const JsonReader usual = item.object("usual");
        engine.typicalPromptTokens = readFigure(usual, "prompt", 0);
        engine.typicalCompletionTokens = readFigure(usual, "answer", 0);
    }
    engine.maxLoadsPerSecond = readFigure(item, "loads_per_s", 0);
    engine.maxConcurrentLoads = readCount(item, "loads_at_once", 0, 1);
    // "cached_prefixes" is the number of models whose weights a host keeps.
    engine.maxKeptModels = std::max(readCount(item, "cached_prefixes", 0, 1), 1U);
    for (const JsonReader &model : item.objects("models"))
        engine.models.push_back(readModel(model));
    return engine;
}

ServedService readService(const JsonReader &item)
{
    ServedService service;
    service.name = ServiceId(item.name("name"));
    service.maxConnections = readCount(item, "max_connections", 0, 0);
    service.maxColdRequestsPerSecond = readFigure(item, "cold_per_s", 0);
    if (item.has("engine"))
        service.engine = readEngine(item.object("engine"));
    return service;
}

CallerLimits readLimits(const JsonReader &item)
{
    constexpr std::int64_t maxBytes = std::int64_t {1} << 40U;
    CallerLimits limits;
    const auto bytes = [&](const char *field, std::size_t fallback) {
        return static_cast<std::size_t>(
            item.integer(field, 0, maxBytes, static_cast<std::int64_t>(fallback)));
    };
    const auto time = [&](const char *field, Duration fallback) {
        return item.has(field) ? readMilliseconds(item, field) : fallback;
    };
    limits.maxHeaderBytes = bytes("max_header_bytes", limits.maxHeaderBytes);
    limits.maxBodyBytes = bytes("max_body_bytes", limits.maxBodyBytes);
    limits.headerTimeout = time("header_timeout_ms", limits.headerTimeout);
    limits.idleTimeout = time("idle_timeout_ms", limits.idleTimeout);
    return limits;
}

} // namespace

ServingConfiguration readConfiguration(const std::string &text)
{
    try {
        const json body = parseJson(text);
        const JsonReader reader(body, "configuration");
        ServingConfiguration configuration;
        configuration.version =
            static_cast<std::uint64_t>(reader.integer("version", 0, JsonBounds::integer));
        reader.value("routes");
        for (const JsonReader &route : reader.objects("routes"))
            configuration.routes.push_back(readRoute(route));
        reader.value("services");
        for (const JsonReader &item : reader.objects("services")) {
            ServedService service = readService(item);
            const ServiceId name = service.name;
            configuration.services.emplace(name, std::move(service));
        }
        if (reader.has("limits"))
            configuration.limits = readLimits(reader.object("limits"));
        configuration.requiresKeys = body.contains("tenants"); // A tenant is an organisation.
        if (configuration.requiresKeys) {
            for (const json &tenant : listAt(body, "tenants")) {
                const JsonReader fields(tenant, "tenant");
                ServedOrganisation organisation;
                organisation.name = OrganisationId(fields.name("name"));
                if (fields.has("priority"))
                    organisation.priority = readPriority(fields, "priority");
                fields.value("api_keys");
                for (const json &key : listAt(tenant, "api_keys"))
                    configuration.keys[key.get<std::string>()] = configuration.organisations.size();
                configuration.organisations.push_back(std::move(organisation));
            }
        }
        return configuration;
    } catch (const json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, std::string("configuration: ") + error.what());
    }
}

} // namespace bramleypitch::platform
