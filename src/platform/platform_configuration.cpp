#include "core/error_type.h"
#include "platform/platform_dialect.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

constexpr double millisecondsPerSecond = 1'000;

Duration seconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * millisecondsPerSecond));
}

/// The list of that name. Throws Failure for a value of another type, which is not an empty list.
const json &listAt(const json &object, const char *name)
{
    const json &list = object.at(name);
    if (!list.is_array())
        throw Failure(ErrorCode::PlatformProtocol, std::string(name) + ": is no list");
    return list;
}

RequestKind readKind(const json &route)
{
    const std::string kind = route.at("route_type").get<std::string>();
    if (kind == "streaming")
        return route.value("resumable", false) ? RequestKind::ResumableStream : RequestKind::Stream;
    if (kind == "idempotent")
        return RequestKind::Repeatable;
    if (kind == "non_idempotent")
        return RequestKind::AtMostOnce;
    throw Failure(ErrorCode::PlatformProtocol, "route_type: \"" + kind + "\" is not known");
}

RouteSpec readRoute(const json &item)
{
    RouteSpec route;
    route.name = RouteId(item.at("name").get<std::string>());
    route.host = item.at("host").get<std::string>();
    std::transform(route.host.begin(), route.host.end(), route.host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    route.pathPrefix = item.at("path_prefix").get<std::string>();
    route.kind = readKind(item);
    route.timeout = Duration(item.at("timeout_ms").get<std::int64_t>());
    route.targetLatency = Duration(item.value("target_latency_ms", 0));
    route.targetGap = Duration(item.value("target_gap_ms", 0));
    route.priority = item.value("priority", 0);
    route.maxAttempts = item.value("max_attempts", 1U);
    route.keyless = item.value("auth_exempt", false);
    if (item.contains("weighted_services")) {
        for (const json &weighted : listAt(item, "weighted_services")) {
            const auto weight = weighted.at("weight").get<double>();
            if (weight > 0)
                route.services.push_back(
                    {ServiceId(weighted.at("service").get<std::string>()), weight});
        }
    } else if (item.contains("service")) {
        route.services.push_back({ServiceId(item.at("service").get<std::string>()), 1});
    }
    return route;
}

ServedModel readModel(const json &item)
{
    ServedModel model;
    model.name = ModelId(item.at("name").get<std::string>());
    model.span = item.value("size", 1U); // "size" is the number of VMs in a group.
    model.share = item.value("share", 1.0);
    model.pace = item.value("pace", 1.0);
    model.loadTime = seconds(item.value("load_s", 0.0));
    model.warmLoadTime = seconds(item.value("warm_s", 0.0));
    return model;
}

EngineSpec readEngine(const json &item)
{
    EngineSpec engine;
    engine.slots = item.value("slots", 1U);
    engine.stride = item.value("stride", 1U);
    engine.stepMs = item.value("step_ms", 0.0);
    engine.perSequenceMs = item.value("per_seq_ms", 0.0);
    engine.contextMsPerThousand = item.value("context_per_k", 0.0);
    engine.prefillMsPerMillionPairs = item.value("pairs_per_m", 0.0);
    engine.promptTokensPerMs = item.value("read_per_s", 1'000.0) / millisecondsPerSecond;
    if (item.contains("usual")) {
        engine.typicalPromptTokens = item["usual"].value("prompt", 0.0);
        engine.typicalCompletionTokens = item["usual"].value("answer", 0.0);
    }
    engine.maxLoadsPerSecond = item.value("loads_per_s", 0.0);
    engine.maxConcurrentLoads = item.value("loads_at_once", 1U);
    // "cached_prefixes" is the number of models whose weights a host keeps.
    engine.maxKeptModels = std::max(item.value("cached_prefixes", 1U), 1U);
    if (item.contains("models")) {
        for (const json &model : listAt(item, "models"))
            engine.models.push_back(readModel(model));
    }
    return engine;
}

ServedService readService(const json &item)
{
    ServedService service;
    service.name = ServiceId(item.at("name").get<std::string>());
    service.maxConnections = item.value("max_connections", 0U);
    service.maxColdRequestsPerSecond = item.value("cold_per_s", 0.0);
    if (item.contains("engine") && item["engine"].is_object())
        service.engine = readEngine(item["engine"]);
    return service;
}

CallerLimits readLimits(const json &item)
{
    CallerLimits limits;
    limits.maxHeaderBytes = item.value("max_header_bytes", limits.maxHeaderBytes);
    limits.maxBodyBytes = item.value("max_body_bytes", limits.maxBodyBytes);
    limits.headerTimeout = Duration(item.value("header_timeout_ms", limits.headerTimeout.count()));
    limits.idleTimeout = Duration(item.value("idle_timeout_ms", limits.idleTimeout.count()));
    return limits;
}

} // namespace

ServingConfiguration readConfiguration(const std::string &text)
{
    try {
        const json body = json::parse(text);
        ServingConfiguration configuration;
        configuration.version = body.at("version").get<std::uint64_t>();
        for (const json &route : listAt(body, "routes"))
            configuration.routes.push_back(readRoute(route));
        for (const json &item : listAt(body, "services")) {
            ServedService service = readService(item);
            const ServiceId name = service.name;
            configuration.services.emplace(name, std::move(service));
        }
        if (body.contains("limits"))
            configuration.limits = readLimits(body["limits"]);
        configuration.requiresKeys = body.contains("tenants"); // A tenant is an organisation.
        if (configuration.requiresKeys) {
            for (const json &tenant : listAt(body, "tenants")) {
                ServedOrganisation organisation;
                organisation.name = OrganisationId(tenant.at("name").get<std::string>());
                if (tenant.contains("priority"))
                    organisation.priority = tenant["priority"].get<int>();
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
