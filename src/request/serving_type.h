#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleypitch {

using RouteId = StrongType<struct RouteIdTag, std::string>;
using ModelId = StrongType<struct ModelIdTag, std::string>;

/// What may be retried after a request was sent to a backend server.
enum class RequestKind {
    ResumableStream, ///< A stream of events that another server can resume.
    Stream, ///< A stream that is executed at most once.
    AtMostOnce,
    Repeatable,
};

/// A service of a route, weighted by its share of the requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/// A route: the requests of a host below a path prefix, and how they are handled.
struct RouteSpec
{
    RouteId name;
    std::string host; ///< Lower case, without port.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout {0}; ///< Maximum time from arrival to the end of the response.
    Duration targetLatency {0}; ///< Target time to the response, for streams to the first event.
    Duration targetGap {0}; ///< Target for the longest pause between two events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services; ///< All weights are positive.
    std::uint32_t maxAttempts = 1; ///< Number of servers to which one request may be sent.
    bool keyless = false; ///< Requests need no API key.
    bool isReadable = true; ///< Otherwise only host and path are known, and it serves nobody.
};

/// A model of a service with engines, and the properties of the groups of VMs that serve it.
struct ServedModel
{
    ModelId name;
    std::uint32_t span = 1; ///< Number of VMs in a group.
    double share = 1; ///< Published share of the work of the service.
    double pace = 1; ///< Factor on all execution times of a group.
    Duration loadTime {0}; ///< Time to load the weights from the weight store.
    Duration warmLoadTime {0}; ///< Time to load the weights from the copy on the VM.
};

/// Published performance figures of the engines of a service.
struct EngineSpec
{
    std::uint32_t slots = 1; ///< Requests that a group runs concurrently.
    std::uint32_t stride = 1; ///< Decoding steps per pass.
    double stepMs = 0; ///< Base duration of a decoding step.
    double perSequenceMs = 0; ///< Additional step time per request that is being decoded.
    double contextMsPerThousand = 0; ///< Additional step time per thousand tokens of its context.
    /// Additional prefill time per million pairs of a prompt token and an earlier one (attention).
    double prefillMsPerMillionPairs = 0;
    double promptTokensPerMs = 1; ///< Prefill speed.
    double typicalPromptTokens = 0; ///< Typical prompt length.
    double typicalCompletionTokens = 0; ///< Typical completion length.
    /// Tokens of prompts and completions that a group holds at most. 0 if it is not published.
    std::uint64_t memoryTokens = 0;
    double maxLoadsPerSecond = 0; ///< Rate of load starts that the weight store admits.
    std::uint32_t maxConcurrentLoads =
        1; ///< Concurrent loads that the weight store serves at full speed.
    std::uint32_t maxKeptModels = 1; ///< Models whose weights a VM keeps besides the current one.
    std::vector<ServedModel> models;
};

/// A service, provided either by engines in groups of VMs or by plain backend servers.
struct ServedService
{
    ServiceId name;
    std::uint32_t maxConnections = 0; ///< Connections that a server accepts. 0 means no limit.
    double maxColdRequestsPerSecond = 0; ///< Request rate limit of a cold server. 0 means no limit.
    std::optional<EngineSpec> engine; ///< Empty for plain services.
};

/// Limits on the size of requests of callers, and on the time to receive them.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    Duration headerTimeout {3'000};
    Duration idleTimeout {15'000};
};

/// The properties of an organisation that routing needs.
struct ServedOrganisation
{
    OrganisationId name;
    std::optional<int> priority; ///< Overrides the priority of the route.
};

/// An accepted configuration of routes, services, organisations and limits. An item that could not
/// be read grants nothing and changes no other.
struct ServingConfiguration
{
    std::uint64_t version = 0;
    std::vector<RouteSpec> routes;
    std::map<ServiceId, ServedService> services;
    std::set<ServiceId> unreadableServices; ///< Listed, but only their names are known.
    bool hasUnnamedService = false; ///< One is listed whose name cannot be read either.
    /// Requests need an API key, unless their route is keyless. False only if the configuration
    /// does not list organisations at all: an empty list admits nobody.
    bool requiresKeys = true;
    std::vector<ServedOrganisation> organisations;
    std::unordered_map<std::string, std::size_t>
        keys; ///< Maps API keys to indexes of organisations.
    CallerLimits limits;
    bool limitsUnreadable = false;
    std::size_t unreadableItems = 0;
    std::vector<std::string> unreadablePlaces; ///< With reasons, of the first of these items.

    /// Takes services and limits that cannot be read from the configuration that was in force
    /// before; null if there was none. They only restrict what routes and organisations grant.
    void keepReadable(const ServingConfiguration *previous);
    /// Whether `services` has each service that is listed.
    bool knowsAllServices() const { return unreadableServices.empty() && !hasUnnamedService; }
    /// The route of `host` with the longest matching path prefix, or null.
    const RouteSpec *findRoute(const std::string &host, const std::string &path) const;
    /// The organisation that holds a key, or null. None holds the empty key.
    const ServedOrganisation *findKey(const std::string &key) const;
    /// The engine figures of a service, or null for plain and unknown services.
    const EngineSpec *engineOf(const ServiceId &service) const;
    /// A model of a service, or null.
    const ServedModel *findModel(const ServiceId &service, const ModelId &model) const;
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace bramleypitch
