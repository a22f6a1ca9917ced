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

/// What may be repeated after a request has been sent to a backend server.
enum class RequestKind {
    ResumableStream, ///< A stream of events that another server can go on with.
    Stream, ///< A stream that runs at most once.
    AtMostOnce,
    Repeatable,
};

/// One service of a route with its share of the route's requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/// Requests of a host below a path, and how they are served.
struct RouteSpec
{
    RouteId name;
    std::string host; ///< Lower case, without port.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    Duration timeout {0}; ///< Longest time from arrival to the end of the answer.
    Duration targetLatency {0}; ///< To the answer, for streams to the first event.
    Duration targetGap {0}; ///< Longest pause between events that still is on time.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services;
    std::uint32_t maxAttempts = 1; ///< Servers that one request may be sent to.
    bool keyless = false; ///< Needs no API key.
};

/// A model of an engine service and the groups of VMs that serve it.
struct ServedModel
{
    ModelId name;
    std::uint32_t span = 1; ///< VMs in a group.
    double share = 1; ///< Of the service's work at the start.
    double pace = 1; ///< Factor on all of a group's times.
    Duration loadTime {0}; ///< From the weight store.
    Duration warmTime {0}; ///< From the VM's own copy.
};

/// Published figures of the engines of a service.
struct EngineSpec
{
    std::uint32_t slots = 1; ///< Requests that a group runs at once.
    std::uint32_t stride = 1; ///< Steps in a pass.
    double stepMs = 0;
    double perSequenceMs = 0; ///< Added to a step for each writing request.
    double contextMsPerThousand = 0; ///< The same for each thousand tokens of its context.
    double msPerMillionPairs = 0; ///< Added to reading, by pairs of a token and an earlier one.
    double promptTokensPerMs = 1;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    double loadsPerSecond = 0; ///< Starts of loads that the weight store admits.
    std::uint32_t loadsAtOnce = 1; ///< Loads that the weight store serves at full speed.
    std::uint32_t keptModels = 1; ///< Whose weights a VM keeps beside those that it runs.
    std::vector<ServedModel> models;
};

/// A service: engines in groups, or plain backend servers.
struct ServedService
{
    ServiceId name;
    std::uint32_t maxConnections = 0; ///< That one server accepts from all callers; 0: no limit.
    double coldPerSecond = 0; ///< Requests a second that a cold server bears; 0: no limit.
    std::optional<EngineSpec> engine;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    Duration headerTimeout {3'000};
    Duration idleTimeout {15'000};
};

/// An organisation as routing needs it.
struct ServedOrganisation
{
    OrganisationId name;
    std::optional<int> priority; ///< Goes before the route's.
};

/// One accepted configuration of routes, services, organisations and limits.
struct ServingConfiguration
{
    std::uint64_t version = 0;
    std::vector<RouteSpec> routes;
    std::map<ServiceId, ServedService> services;
    std::vector<ServedOrganisation> organisations;
    std::unordered_map<std::string, std::size_t> keys; ///< API key to index of its organisation.
    CallerLimits limits;

    /// The route with the longest prefix of `path` among those of `host`, or null.
    const RouteSpec *findRoute(const std::string &host, const std::string &path) const;
    /// The organisation that holds a key, or null.
    const ServedOrganisation *findKey(const std::string &key) const;
    /// The engine figures of a service, or null for plain services and unknown ones.
    const EngineSpec *engineOf(const ServiceId &service) const;
    /// A model of a service, or null.
    const ServedModel *findModel(const ServiceId &service, const ModelId &model) const;
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace bramleypitch
