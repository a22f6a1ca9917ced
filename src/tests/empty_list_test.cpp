// Configurations that restrict by a list: a list that is there and empty admits nobody.

#include "core/error_type.h"
#include "platform/platform_dialect.h"
#include "request_fixture.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

namespace {

using nlohmann::json;

/// A configuration as the platform's store holds it: one organisation, one plain service.
json document()
{
    const json route {{"name", "r"},         {"host", "shop.example"},
                      {"path_prefix", "/"},  {"route_type", "idempotent"},
                      {"timeout_ms", 6'000}, {"service", "till"}};
    return {{"version", 2},
            {"routes", json::array({route})},
            {"services", json::array({{{"name", "till"}}})},
            {"tenants", json::array({{{"name", "chain"}, {"api_keys", json::array({apiKey})}}})}};
}

class EmptyListTest : public RequestTest
{
protected:
    EmptyListTest() { m_backends.update(serverReport("s1"), m_now); }

    /// Returns the error with which a request is refused, or nothing if it is sent to a server.
    std::optional<ErrorCode> refusal(const json &configuration, const std::string &key = apiKey)
    {
        m_system.setConfiguration(std::make_shared<ServingConfiguration>(
            platform::servingDialect().readConfiguration(configuration.dump())));
        const RequestActions actions = sendRequest("/read/x", key);
        EXPECT_NE(actionsOf<DispatchAttempt>(actions).empty(),
                  actionsOf<RefuseRequest>(actions).empty());
        if (actionsOf<RefuseRequest>(actions).empty())
            return std::nullopt;
        return actionsOf<RefuseRequest>(actions).front().code;
    }
};

TEST_F(EmptyListTest, KeysAreRequiredUnlessOrganisationsAreAbsent)
{
    // Guards against ROUTE: an empty list of organisations was taken for none and admitted any key.
    json configuration = document();
    EXPECT_EQ(refusal(configuration), std::nullopt);
    EXPECT_EQ(refusal(configuration, "other"), ErrorCode::Unauthorized);
    configuration["tenants"][0]["api_keys"] = json::array();
    EXPECT_EQ(refusal(configuration), ErrorCode::Unauthorized);
    configuration["tenants"] = json::array();
    EXPECT_EQ(refusal(configuration), ErrorCode::Unauthorized);
    EXPECT_EQ(refusal(configuration, ""), ErrorCode::Unauthorized);
    configuration.erase("tenants");
    EXPECT_EQ(refusal(configuration, ""), std::nullopt);
}

TEST_F(EmptyListTest, ListOfAnotherTypeIsNotTakenForAbsent)
{
    for (const json &value : {json(), json::object(), json(0), json(""), json(false)}) {
        json configuration = document();
        configuration["tenants"] = value;
        EXPECT_THROW(refusal(configuration), Failure) << value;
        configuration = document();
        configuration["tenants"][0]["api_keys"] = value;
        EXPECT_EQ(refusal(configuration), ErrorCode::Unauthorized) << value;
    }
    json configuration = document();
    configuration["tenants"][0]["api_keys"] = apiKey;
    EXPECT_EQ(refusal(configuration), ErrorCode::Unauthorized);
}

TEST_F(EmptyListTest, EmptyKeyAdmitsNobody)
{
    json configuration = document();
    configuration["tenants"][0]["api_keys"] = {"", apiKey};
    EXPECT_EQ(refusal(configuration, ""), ErrorCode::Unauthorized);
    EXPECT_EQ(refusal(configuration), std::nullopt);
}

TEST_F(EmptyListTest, RoutesAndServicesThatAreNotListedServeNobody)
{
    json configuration = document();
    configuration["services"] = json::array();
    EXPECT_EQ(refusal(configuration), ErrorCode::NoCapacity);
    configuration = document();
    configuration["routes"] = json::array();
    EXPECT_EQ(refusal(configuration), ErrorCode::UnknownPath);
    configuration = document();
    configuration["routes"][0]["weighted_services"] = json::array();
    EXPECT_EQ(refusal(configuration), ErrorCode::UnknownPath);
    configuration["routes"][0]["weighted_services"] = {{{"service", "till"}, {"weight", 0}}};
    EXPECT_EQ(refusal(configuration), ErrorCode::UnknownPath);
}

TEST_F(EmptyListTest, EngineWithoutModelsServesNobody)
{
    m_backends.update(memberReport("e1", "g", 0), m_now);
    json configuration = document();
    configuration["routes"][0]["service"] = "engines";
    configuration["services"] = {{{"name", "engines"}, {"engine", {{"models", json::array()}}}}};
    EXPECT_EQ(refusal(configuration), ErrorCode::NoCapacity);
    configuration["services"][0]["engine"] = json::object();
    EXPECT_EQ(refusal(configuration), ErrorCode::NoCapacity);
}

} // namespace

} // namespace bramleypitch
