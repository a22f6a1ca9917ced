#pragma once

#include "request/request_system.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bramleypitch {

constexpr const char *apiKey = "key-1";
constexpr std::uint32_t slots = 4;
constexpr Duration longSilence {1'300}; ///< A sound server may send nothing for a second or so.

/// A route of host shop.example to one service.
inline RouteSpec makeRoute(const std::string &prefix, RequestKind kind, const std::string &service)
{
    RouteSpec spec;
    spec.name = RouteId("r" + prefix);
    spec.host = "shop.example";
    spec.pathPrefix = prefix;
    spec.kind = kind;
    spec.timeout = Duration(6'000);
    spec.targetLatency = Duration(400);
    spec.services = {{ServiceId(service), 1}};
    spec.maxAttempts = kind == RequestKind::AtMostOnce ? 1 : 2;
    return spec;
}

/// Routes /ask/ to engines, and /pay/ and /read/ to plain servers, for one organisation.
inline ServingConfiguration validConfiguration()
{
    ServingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = {makeRoute("/ask/", RequestKind::ResumableStream, "engines"),
                            makeRoute("/pay/", RequestKind::AtMostOnce, "till"),
                            makeRoute("/read/", RequestKind::Repeatable, "till")};
    ServedService engines;
    engines.name = ServiceId("engines");
    engines.maxColdRequestsPerSecond = 10;
    engines.engine.emplace();
    engines.engine->slots = slots;
    ServedModel model;
    model.name = ModelId("m");
    model.span = 2;
    engines.engine->models = {model};
    configuration.services[engines.name] = engines;
    ServedService till;
    till.name = ServiceId("till");
    configuration.services[till.name] = till;
    configuration.organisations = {{OrganisationId("chain"), std::nullopt}};
    configuration.keys[apiKey] = 0;
    return configuration;
}

/// A plain server.
inline BackendReport serverReport(const std::string &id)
{
    BackendReport report;
    report.id = VmId(id);
    report.service = ServiceId("till");
    report.address = Address("127.0.0.1:1");
    report.zone = ZoneId("za");
    report.slots = slots;
    return report;
}

/// A member of an open group; rank 0 is its head.
inline BackendReport memberReport(const std::string &id, const std::string &group,
                                  std::uint32_t rank)
{
    BackendReport report = serverReport(id);
    report.service = ServiceId("engines");
    report.model = ModelId("m");
    report.group.name = GroupId(group);
    report.group.generation = Generation(1);
    report.group.rank = rank;
    report.group.state = rank == 0 ? MemberState::Open : MemberState::Ready;
    return report;
}

/// The options of a node with retries to spare.
inline RequestOptions nodeOptions()
{
    RequestOptions options;
    options.node = NodeId("n1");
    options.zone = ZoneId("za");
    options.retries.slack = 100;
    return options;
}

/// The actions of one type.
template<typename Action>
std::vector<Action> actionsOf(const RequestActions &actions)
{
    std::vector<Action> matches;
    for (const RequestAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            matches.push_back(*match);
    }
    return matches;
}

/// A request system with one node and no servers yet.
class RequestTest : public testing::Test
{
protected:
    RequestTest()
        : m_system(nodeOptions(), m_backends)
    {
        m_system.setConfiguration(std::make_shared<ServingConfiguration>(validConfiguration()));
        m_system.setConfigurationProof(m_now);
    }

    void addGroup(const std::string &name)
    {
        m_backends.update(memberReport(name + "-head", name, 0), m_now);
        m_backends.update(memberReport(name + "-2", name, 1), m_now);
    }

    /// A new request of a caller.
    RequestArrival makeArrival(const std::string &path, const std::string &bearerToken = apiKey)
    {
        RequestArrival arrival;
        arrival.request = RequestId(++m_lastRequestId);
        arrival.traceId = "t" + std::to_string(m_lastRequestId);
        arrival.host = "shop.example";
        arrival.path = path;
        arrival.key = bearerToken;
        if (path.find("/ask/") == 0)
            arrival.model = ModelId("m");
        return arrival;
    }

    RequestActions sendArrival(const RequestArrival &arrival)
    {
        RequestActions actions;
        m_system.onRequestArrived(arrival, m_now, actions);
        return actions;
    }

    RequestActions sendRequest(const std::string &path, const std::string &bearerToken = apiKey)
    {
        return sendArrival(makeArrival(path, bearerToken));
    }

    /// Sends a request for a stream. The server of its attempt forwards an event.
    DispatchAttempt startStream()
    {
        DispatchAttempt attempt = actionsOf<DispatchAttempt>(sendRequest("/ask/x")).at(0);
        m_system.onStreamStarted(attempt.request, attempt.attempt, m_now);
        m_system.onEventForwarded(attempt.request, attempt.attempt, m_now);
        return attempt;
    }

    RequestActions failAttempt(const DispatchAttempt &attempt, AttemptFailure failure)
    {
        RequestActions actions;
        m_system.onAttemptFailed(attempt.request, attempt.attempt, failure, VmId(), m_now, actions);
        return actions;
    }

    RequestActions tickAfter(Duration duration)
    {
        m_now += duration;
        RequestActions actions;
        m_system.tick(m_now, actions);
        return actions;
    }

    /// Lets time pass with all checks of a node, and returns its actions.
    RequestActions pass(Duration duration)
    {
        RequestActions actions;
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += Duration(25);
            m_system.setConfigurationProof(m_now);
            m_system.tick(m_now, actions);
        }
        return actions;
    }

    /// Replaces the configuration in force by a changed one.
    void configure(const std::function<void(ServingConfiguration &)> &change)
    {
        ServingConfiguration configuration = *m_system.configuration();
        ++configuration.version;
        change(configuration);
        m_system.setConfiguration(std::make_shared<ServingConfiguration>(configuration));
    }

    TimePoint m_now = timePoint(1'000'000);
    BackendTable m_backends;
    RequestSystem m_system;
    std::uint64_t m_lastRequestId = 0;
};

} // namespace bramleypitch
