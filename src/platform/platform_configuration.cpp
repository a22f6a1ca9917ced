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
constexpr double maxTokens = 1e15; ///< Larger sizes of memory count as this one.

Duration readMilliseconds(const JsonReader &item, const char *field)
{
    return Duration(static_cast<Duration::rep>(item.number(field, 0, JsonBounds::milliseconds, 0)));
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

/// Reads which requests a route is for.
void readRoutePath(const JsonReader &item, RouteSpec &route)
{
    route.host = item.text("host");
    std::transform(route.host.begin(), route.host.end(), route.host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    route.pathPrefix = item.text("path_prefix");
}

RouteSpec readRoute(const JsonReader &item)
{
    RouteSpec route;
    route.name = RouteId(item.name("name"));
    readRoutePath(item, route);
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
    engine.memoryTokens =
        static_cast<std::uint64_t>(std::min(readFigure(item, "kv_capacity_tokens", 0), maxTokens));
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

/// Limit on the places of unreadable items that are kept; all are counted.
constexpr std::size_t maxUnreadablePlaces = 16;

/// Reads a part of a configuration. Returns whether that failed, which is noted in it.
template<typename Read>
bool noteFailure(ServingConfiguration &configuration, const Read &read)
{
    try {
        read();
        return false;
    } catch (const Failure &failure) {
        ++configuration.unreadableItems;
        if (configuration.unreadablePlaces.size() < maxUnreadablePlaces)
            configuration.unreadablePlaces.emplace_back(failure.what());
        return true;
    }
}

/// Reads each item of a list by itself. Throws Failure if it is no list.
template<typename Read>
void readItems(const JsonReader &reader, const char *list, ServingConfiguration &configuration,
               const Read &read)
{
    std::size_t index = 0;
    for (const json *item : reader.elements(list)) {
        const std::string path = reader.path(list) + "[" + std::to_string(index++) + "]";
        noteFailure(configuration, [&] { read(*item, path); });
    }
}

/// Adds a route. One that cannot be read, but for its host and path, is added without services, so
/// that no shorter prefix takes its requests. Throws Failure for it all the same.
void addRoute(const JsonReader &item, std::vector<RouteSpec> &routes)
{
    try {
        routes.push_back(readRoute(item));
    } catch (const Failure &) {
        RouteSpec route;
        route.isReadable = false;
        readRoutePath(item, route);
        routes.push_back(std::move(route));
        throw;
    }
}

/// Adds a service. Of one that cannot be read the name is noted, if it has one. Throws Failure for
/// it all the same.
void addService(const json &item, const std::string &path, ServingConfiguration &configuration)
{
    try {
        ServedService service = readService(JsonReader(item, path));
        const ServiceId name = service.name;
        configuration.services.emplace(name, std::move(service));
    } catch (const Failure &) {
        const auto name = item.is_object() ? item.find("name") : item.end();
        if (name != item.end() && name->is_string() && isName(name->get_ref<const std::string &>()))
            configuration.unreadableServices.insert(ServiceId(name->get<std::string>()));
        else
            configuration.hasUnnamedService = true;
        throw;
    }
}

/// Adds an organisation and its keys. Throws Failure, so that it holds no key, if its name or the
/// list of its keys cannot be read.
void addOrganisation(const json &item, const std::string &path, ServingConfiguration &configuration)
{
    const JsonReader fields(item, path);
    ServedOrganisation organisation;
    organisation.name = OrganisationId(fields.name("name"));
    if (fields.has("priority"))
        organisation.priority = readPriority(fields, "priority");
    fields.value("api_keys");
    readItems(fields, "api_keys", configuration, [&](const json &key, const std::string &keyPath) {
        if (!key.is_string())
            throw Failure(ErrorCode::PlatformProtocol, keyPath + ": must be a string");
        configuration.keys[key.get<std::string>()] = configuration.organisations.size();
    });
    configuration.organisations.push_back(std::move(organisation));
}

} // namespace

bool isConfiguration(const std::string &text)
{
    try {
        const json document = parseJson(text);
        return document.is_object() && document.contains("routes") && document.contains("services");
    } catch (const Failure &) {
        return false;
    }
}

ServingConfiguration readConfiguration(const std::string &text)
{
    const json body = parseJson(text);
    const JsonReader reader(body, "configuration");
    ServingConfiguration configuration;
    configuration.version =
        static_cast<std::uint64_t>(reader.integer("version", 0, JsonBounds::integer));
    reader.value("routes");
    readItems(reader, "routes", configuration, [&](const json &item, const std::string &path) {
        addRoute(JsonReader(item, path), configuration.routes);
    });
    reader.value("services");
    readItems(reader, "services", configuration, [&](const json &item, const std::string &path) {
        addService(item, path, configuration);
    });
    if (reader.has("limits")) {
        configuration.limitsUnreadable = noteFailure(
            configuration, [&] { configuration.limits = readLimits(reader.object("limits")); });
    }
    configuration.requiresKeys = body.contains("tenants"); // A tenant is an organisation.
    if (configuration.requiresKeys) {
        reader.value("tenants"); // Null is not a list that is absent.
        readItems(reader, "tenants", configuration, [&](const json &item, const std::string &path) {
            addOrganisation(item, path, configuration);
        });
    }
    return configuration;
}

} // namespace bramleypitch::platform
