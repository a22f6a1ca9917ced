// Tests that bytes written by others are either understood or skipped: no exception other than
// Failure leaves a reader, and no connection to an odd address ends the event loop.

#include "core/error_type.h"
#include "network/backend_connections.h"
#include "network/event_loop.h"
#include "network/http_client.h"
#include "platform/platform_dialect.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

namespace {

using nlohmann::json;

const std::vector<std::string> oddAddresses {"",
                                             ":",
                                             ":8080",
                                             "10.0.0.1",
                                             "10.0.0.1:",
                                             "10.0.0.1:0",
                                             "10.0.0.1:65536",
                                             "10.0.0.1:99999",
                                             "10.0.0.1:-1",
                                             "10.0.0.1:8080 ",
                                             "10.0.0.1:99999999999999999999",
                                             "10.0.0.256:80",
                                             "10.0.0.1\r\nX: 1:80",
                                             std::string("10.0.0.1\0.9:80", 14),
                                             "[::1]:8080",
                                             "::1:8080",
                                             "till-7:8080",
                                             std::string(5'000, '9')};

/// A sound entry of a server with an engine.
json soundServer()
{
    return {{"service", "llm"},
            {"address", "127.0.0.1:8080"},
            {"zone", "za"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 250},
            {"seq_num", 3},
            {"born", 1'700'000'000'000},
            {"domain", "d1"},
            {"staged", {"small", "large"}},
            {"models", {{{"name", "small"}, {"version", 1}, {"adapters", json::array()}}}},
            {"group", {{"name", "g1"}, {"epoch", 4}, {"rank", 1}, {"state", "ready"}}}};
}

class OddAddressTest : public testing::TestWithParam<std::string>
{
protected:
    static void SetUpTestSuite() { std::signal(SIGPIPE, SIG_IGN); }

    /// Handles events until a condition holds, at most for a second.
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const TimePoint end = m_loop.now() + Duration(1'000);
        while (!condition() && m_loop.now() < end)
            event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }

    EventLoop m_loop;
};

} // namespace

// Guards against FAULT: one entry with an address that cannot be read ended every node.
TEST_P(OddAddressTest, NamesNoServer)
{
    json entry = soundServer();
    EXPECT_EQ(platform::readServer(VmId("s"), entry.dump()).address, Address("127.0.0.1:8080"));
    entry["address"] = GetParam();
    EXPECT_THROW(platform::readServer(VmId("s"), entry.dump()), Failure);
}

TEST_P(OddAddressTest, RequestFailsUnsent)
{
    BackendConnections connections(m_loop, "X-Request-Id", LinkHooks());
    std::optional<bool> sent;
    BackendHooks hooks;
    hooks.onFailure = [&](bool wasSent) { sent = wasSent; };
    BackendRequest request;
    request.server = VmId("s");
    request.address = Address(GetParam());
    request.head = "GET / HTTP/1.1\r\n\r\n";
    ASSERT_NO_THROW(connections.send(request, hooks));
    EXPECT_FALSE(sent.has_value()); // The sender does not know the attempt yet.
    runUntil([&] { return sent.has_value(); });
    EXPECT_EQ(sent, std::optional(false));
}

TEST_P(OddAddressTest, CallFails)
{
    HttpClient client(m_loop);
    std::optional<HttpFailure> failure;
    HttpHooks hooks;
    hooks.onResponse = [](const HttpResponse &) { ADD_FAILURE() << "there is no server"; };
    hooks.onFailure = [&](const HttpFailure &failed) { failure = failed; };
    HttpCall call;
    call.address = Address(GetParam());
    call.path = "/v1/report";
    call.timeLimit = Duration(100);
    ASSERT_NO_THROW(client.send(call, hooks));
    runUntil([&] { return failure.has_value(); });
    ASSERT_TRUE(failure.has_value());
    EXPECT_FALSE(failure->sent);
}

INSTANTIATE_TEST_SUITE_P(ForeignEntry, OddAddressTest, testing::ValuesIn(oddAddresses));

} // namespace bramleypitch
