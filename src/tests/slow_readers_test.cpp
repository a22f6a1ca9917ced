// Tests of what is held for callers that read slowly, and of what servers are sent at once.

#include "network/memory_account.h"
#include "network/memory_shedding.h"
#include "platform/platform_dialect.h"
#include "platform/platform_settings.h"
#include "request/server_memory.h"
#include "request_fixture.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <list>
#include <map>
#include <tuple>

namespace bramleypitch {

namespace {

const TimePoint start = timePoint(50'000);

HeldResponse held(std::size_t bytes, ResponseWorth worth, Duration unread)
{
    return {bytes, worth, start - unread};
}

TEST(MemorySheddingTest, ResponseThatCannotBeHadAgainIsGivenUpLast)
{
    // Guards against giving up the response of a payment while a stream could be resumed.
    const std::vector<HeldResponse> all {
        held(100, ResponseWorth::FinishedOnly, Duration(9'000)),
        held(100, ResponseWorth::UnfinishedOnly, Duration(8'000)),
        held(100, ResponseWorth::FinishedRepeatable, Duration(7'000)),
        held(100, ResponseWorth::Replaceable, Duration(10)),
    };
    EXPECT_EQ(responsesToGiveUp(all, 400), (std::vector<std::size_t> {3, 2, 1, 0}));
    EXPECT_EQ(responsesToGiveUp(all, 301), (std::vector<std::size_t> {3, 2, 1, 0}));
    EXPECT_EQ(responsesToGiveUp(all, 300), (std::vector<std::size_t> {3, 2, 1}));
    EXPECT_EQ(responsesToGiveUp(all, 1), (std::vector<std::size_t> {3}));
    EXPECT_TRUE(responsesToGiveUp(all, 0).empty());
    EXPECT_EQ(responsesToGiveUp(all, 9'999).size(), all.size());
}

TEST(MemorySheddingTest, CallerThatHasReadNothingForLongestIsGivenUpFirst)
{
    const std::vector<HeldResponse> all {
        held(100, ResponseWorth::Replaceable, Duration(10)),
        held(0, ResponseWorth::Replaceable, Duration(9'000)),
        held(100, ResponseWorth::Replaceable, Duration(3'000)),
        held(200, ResponseWorth::Replaceable, Duration(3'000)),
    };
    EXPECT_EQ(responsesToGiveUp(all, 1'000), (std::vector<std::size_t> {3, 2, 0}));
}

TEST(MemorySheddingTest, WorthFollowsFromWhatTheCallerCouldDo)
{
    EXPECT_EQ(responseWorth(false, true), ResponseWorth::Replaceable);
    EXPECT_EQ(responseWorth(true, true), ResponseWorth::FinishedRepeatable);
    EXPECT_EQ(responseWorth(false, false), ResponseWorth::UnfinishedOnly);
    EXPECT_EQ(responseWorth(true, false), ResponseWorth::FinishedOnly);
}

RC_GTEST_PROP(MemoryShedding, NothingOfMoreWorthGoesBeforeWhatIsOfLess, ())
{
    std::vector<HeldResponse> all;
    const auto count = *rc::gen::inRange(0, 20);
    std::size_t total = 0;
    for (int i = 0; i < count; ++i) {
        all.push_back(held(*rc::gen::inRange<std::size_t>(0, 50),
                           static_cast<ResponseWorth>(*rc::gen::inRange(0, 4)),
                           Duration(*rc::gen::inRange(0, 5))));
        total += all.back().bytes;
    }
    const auto bytes = *rc::gen::inRange<std::size_t>(0, 600);
    const std::vector<std::size_t> given = responsesToGiveUp(all, bytes);
    std::size_t freed = 0;
    for (std::size_t i = 0; i < given.size(); ++i) {
        RC_ASSERT(freed < bytes); // No more than needed.
        freed += all[given[i]].bytes;
        RC_ASSERT(std::count(given.begin(), given.end(), given[i]) == 1);
    }
    RC_ASSERT(freed >= std::min(bytes, total));
    for (std::size_t kept = 0; kept < all.size(); ++kept) {
        if (std::count(given.begin(), given.end(), kept) > 0 || all[kept].bytes == 0)
            continue;
        for (const std::size_t gone : given)
            RC_ASSERT(std::tuple(all[gone].worth, all[gone].readAt)
                      <= std::tuple(all[kept].worth, all[kept].readAt));
    }
}

RC_GTEST_PROP(MemoryShedding, AccountIsExactAndWithinItsBoundInAnyOrder, ())
{
    constexpr std::size_t limit = 1'000;
    struct Item
    {
        MemoryAccount::Holding holding;
        ResponseWorth worth;
        TimePoint readAt;
    };
    MemoryAccount account;
    account.setResponseLimit(limit);
    account.setReserve(true);
    std::list<Item> open;
    const auto makeRoom = [&](std::size_t more) {
        std::vector<HeldResponse> all;
        std::vector<std::list<Item>::iterator> items;
        for (auto item = open.begin(); item != open.end(); ++item) {
            all.push_back({item->holding.size(), item->worth, item->readAt});
            items.push_back(item);
        }
        for (const std::size_t position : responsesToGiveUp(all, account.excess(more)))
            open.erase(items[position]);
    };
    const auto steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        const auto bytes = *rc::gen::inRange<std::size_t>(1, limit + 1);
        const auto action = *rc::gen::inRange(0, 4);
        const VmId server(std::string(1, *rc::gen::element('a', 'b')));
        const HeldKind kind =
            *rc::gen::element(HeldKind::Unsent, HeldKind::ResponseBody, HeldKind::UnfinishedEvent);
        if (action <= 1 || open.empty()) {
            makeRoom(bytes);
            open.push_back({MemoryAccount::Holding(account, kind, server),
                            static_cast<ResponseWorth>(*rc::gen::inRange(0, 4)),
                            start + Duration(step)});
            open.back().holding.resize(bytes);
        } else {
            auto chosen = open.begin();
            std::advance(chosen, *rc::gen::inRange<std::size_t>(0, open.size()));
            if (action == 2)
                chosen->holding.resize(chosen->holding.size() / 2); // Its caller reads a part.
            else
                open.erase(chosen);
        }
        std::size_t sum = 0;
        for (const Item &item : open)
            sum += item.holding.size();
        RC_ASSERT(account.responseBytes() == sum);
        RC_ASSERT(sum <= limit);
        RC_ASSERT(sum <= account.roomLimit() || !account.hasRoom(VmId("c")));
    }
}

TEST(MemoryReserveTest, ServersAreReadMoreSlowlyBeforeAnythingIsGivenUp)
{
    constexpr std::size_t limit = 4'000;
    MemoryAccount account;
    account.setResponseLimit(limit);
    MemoryAccount::Holding unsent(account, HeldKind::Unsent);
    unsent.resize(limit);
    EXPECT_TRUE(account.hasRoom(VmId("a"))); // As before without a reserve.
    account.setReserve(true);
    EXPECT_FALSE(account.hasRoom(VmId("a")));
    EXPECT_EQ(account.excess(0), 0U);
    EXPECT_EQ(account.excess(5), 5U);
    unsent.resize(account.roomLimit());
    EXPECT_TRUE(account.hasRoom(VmId("a")));
    EXPECT_EQ(account.excess(1), 0U);
}

TEST(CallerAllowanceTest, TypicalStreamsToCallersThatReadNothingAreReadToTheirEnd)
{
    // Guards against a server that cuts off its response since nobody reads it.
    constexpr std::size_t longStream = 58 * (480 + 16);
    for (const std::size_t limit : {std::size_t(100'000), std::size_t(20) << 20U})
        EXPECT_GE(callerAllowance(limit).first, longStream);
    const CallerAllowance allowance {300'000, 64'000};
    const Duration pause(1'000);
    EXPECT_EQ(nextAllowance(allowance, 64'000, start, true, start + pause - Duration(1)), 64'000U);
    EXPECT_EQ(nextAllowance(allowance, 64'000, start, true, start + pause), 128'000U);
    EXPECT_EQ(nextAllowance(allowance, 64'000, start, false, start + 5 * pause), 64'000U);
    EXPECT_EQ(nextAllowance(allowance, 290'000, start, true, start + pause), 300'000U);
    EXPECT_EQ(nextAllowance(allowance, 400'000, start, true, start + pause), 400'000U);
}

/// A node that bounds what its servers hold. A group has memory for 10,000 tokens.
class ServerMemoryTest : public RequestTest
{
protected:
    ServerMemoryTest()
    {
        RequestOptions options = nodeOptions();
        options.boundsServerMemory = true;
        options.maxUnsentPerServer = 1'000;
        m_system.setOptions(options);
        configure([](ServingConfiguration &configuration) {
            EngineSpec &engine = *configuration.services.at(ServiceId("engines")).engine;
            engine.memoryTokens = 10'000;
            engine.promptTokensPerMs =
                50; // Else their first events would come too late to wait for.
            engine.typicalPromptTokens = 900;
            engine.typicalCompletionTokens = 100;
        });
    }

    RequestActions send(const std::string &path, double tokens, std::size_t bodyBytes = 0)
    {
        RequestArrival arrival = makeArrival(path);
        arrival.promptTokens = tokens;
        arrival.bodyBytes = bodyBytes;
        return sendArrival(arrival);
    }
};

TEST_F(ServerMemoryTest, RequestGoesToTheGroupThatHasMemory)
{
    // Guards against a group that crashes as its requests exceed its memory.
    addGroup("a");
    addGroup("b");
    const auto first = actionsOf<DispatchAttempt>(send("/ask/x", 6'000)).at(0);
    const auto second = actionsOf<DispatchAttempt>(send("/ask/x", 6'000)).at(0);
    EXPECT_NE(first.server, second.server);
    const RequestActions third = send("/ask/x", 6'000);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(third).empty());
    EXPECT_TRUE(actionsOf<RefuseRequest>(third).empty()); // It waits.
    RequestActions actions;
    m_system.onStreamEnded(first.request, first.attempt, m_now, actions);
    const auto dispatched = actionsOf<DispatchAttempt>(actions);
    ASSERT_EQ(dispatched.size(), 1U);
    EXPECT_EQ(dispatched[0].server, first.server);
    EXPECT_EQ(m_backends.find(first.server)->ownTokens, 6'000U);
}

TEST_F(ServerMemoryTest, RequestThatWaitsForMemoryLetsOthersGoFirst)
{
    addGroup("a");
    EXPECT_EQ(actionsOf<DispatchAttempt>(send("/ask/x", 6'000)).size(), 1U);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(send("/ask/x", 6'000)).empty());
    EXPECT_EQ(actionsOf<DispatchAttempt>(send("/ask/x", 100)).size(), 1U);
    EXPECT_EQ(m_system.waiting(), 1U);
}

TEST_F(ServerMemoryTest, RequestsOfOtherNodesCountByTheTypicalNumber)
{
    addGroup("a");
    m_backends.setPeerRunning(NodeId("n2"), {{VmId("a-head"), 3}});
    const Backend &backend = *m_backends.find(VmId("a-head"));
    const EngineSpec &engine = *m_system.configuration()->engineOf(ServiceId("engines"));
    EXPECT_EQ(heldTokens(backend, engine), 3'000U);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(send("/ask/x", 6'001)).empty());
    EXPECT_EQ(actionsOf<DispatchAttempt>(send("/ask/x", 6'000)).size(), 1U);
}

TEST_F(ServerMemoryTest, RequestLargerThanAnyGroupIsRefusedAtOnce)
{
    addGroup("a");
    EXPECT_EQ(actionsOf<DispatchAttempt>(send("/ask/x", 10'000)).size(), 1U);
    for (const double tokens : {10'000.5, 1e300}) {
        const auto refused = actionsOf<RefuseRequest>(send("/ask/x", tokens));
        ASSERT_EQ(refused.size(), 1U);
        EXPECT_EQ(refused[0].code, ErrorCode::RequestTooLarge);
        EXPECT_EQ(refused[0].run, RunOutcome::NotRun);
        EXPECT_FALSE(refused[0].retryAfter); // No other try can succeed.
    }
}

TEST_F(ServerMemoryTest, NothingIsBoundedWithoutTheOption)
{
    m_system.setOptions(nodeOptions());
    addGroup("a");
    m_backends.update(serverReport("s"), m_now);
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(actionsOf<DispatchAttempt>(send("/ask/x", 20'000)).size(), 1U);
        EXPECT_EQ(actionsOf<DispatchAttempt>(send("/read/x", 0, 5'000)).size(), 1U);
    }
    EXPECT_EQ(m_backends.find(VmId("a-head"))->ownTokens, 0U);
}

TEST_F(ServerMemoryTest, ServerThatReadsSlowlyIsSentLittleAtOnce)
{
    // Guards against bodies that pile up for a server that reads none, while another one does.
    m_backends.update(serverReport("s"), m_now);
    m_backends.update(serverReport("t"), m_now);
    const auto first = actionsOf<DispatchAttempt>(send("/read/x", 0, 5'000)).at(0);
    const auto second = actionsOf<DispatchAttempt>(send("/read/x", 0, 900)).at(0);
    EXPECT_NE(first.server, second.server);
    const auto third = actionsOf<DispatchAttempt>(send("/read/x", 0, 100)).at(0);
    EXPECT_EQ(third.server, second.server);
    EXPECT_TRUE(actionsOf<DispatchAttempt>(send("/read/x", 0, 1)).empty());
    m_system.onRequestSent(first.request, first.attempt);
    EXPECT_EQ(m_backends.find(first.server)->ownUnsentBytes, 0U);
    EXPECT_EQ(actionsOf<DispatchAttempt>(tickAfter(Duration(25))).at(0).server, first.server);
    m_system.onRequestSent(first.request, first.attempt);
    EXPECT_EQ(m_backends.find(first.server)->ownUnsentBytes, 1U);
    failAttempt(third, AttemptFailure::Broken);
    EXPECT_LE(m_backends.find(second.server)->ownUnsentBytes, 900U);
}

RC_GTEST_PROP(ServerMemory, TokensOfAGroupAreExactAndNeverExceedItsMemory, ())
{
    ServingConfiguration configuration = validConfiguration();
    constexpr std::uint64_t memory = 1'000;
    configuration.services.at(ServiceId("engines")).engine->memoryTokens = memory;
    BackendTable backends;
    RequestOptions options = nodeOptions();
    options.boundsServerMemory = true;
    RequestSystem system(options, backends);
    TimePoint now = timePoint(1'000'000);
    system.setConfiguration(std::make_shared<ServingConfiguration>(configuration));
    system.setConfigurationProof(now);
    for (const char *group : {"a", "b"}) {
        backends.update(memberReport(std::string(group) + "-head", group, 0), now);
        backends.update(memberReport(std::string(group) + "-2", group, 1), now);
    }
    std::map<RequestId, std::uint64_t> sizes;
    std::map<std::uint64_t, DispatchAttempt> running; // By request.
    const auto take = [&](const RequestActions &actions) {
        for (const RequestAction &action : actions) {
            if (const auto *dispatch = std::get_if<DispatchAttempt>(&action))
                running.insert_or_assign(dispatch->request.value(), *dispatch);
            else if (const auto *refused = std::get_if<RefuseRequest>(&action))
                running.erase(refused->request.value());
            else if (const auto *abandoned = std::get_if<AbandonAttempt>(&action))
                running.erase(abandoned->request.value());
        }
    };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 1; step <= steps; ++step) {
        now += Duration(*rc::gen::inRange(1, 40));
        RequestActions actions;
        const auto action = *rc::gen::inRange(0, 4);
        if (action <= 1 || running.empty()) {
            RequestArrival arrival;
            arrival.request = RequestId(static_cast<std::uint64_t>(step));
            arrival.traceId = "t" + std::to_string(step);
            arrival.host = "shop.example";
            arrival.path = "/ask/x";
            arrival.key = apiKey;
            arrival.model = ModelId("m");
            sizes[arrival.request] = *rc::gen::inRange<std::uint64_t>(1, memory + 100);
            arrival.promptTokens = static_cast<double>(sizes[arrival.request]);
            system.onRequestArrived(arrival, now, actions);
        } else {
            auto chosen = running.begin();
            std::advance(chosen, *rc::gen::inRange<std::size_t>(0, running.size()));
            const DispatchAttempt attempt = chosen->second;
            running.erase(chosen);
            if (action == 2)
                system.onStreamEnded(attempt.request, attempt.attempt, now, actions);
            else
                system.onCallerDisconnected(attempt.request, now, actions);
        }
        take(actions);
        for (const char *head : {"a-head", "b-head"}) {
            std::uint64_t sum = 0;
            for (const auto &[id, attempt] : running) {
                if (attempt.server == VmId(head))
                    sum += sizes.at(attempt.request);
            }
            RC_ASSERT(backends.find(VmId(head))->ownTokens == sum);
            RC_ASSERT(sum <= memory);
        }
    }
}

TEST(SlowReaderSettingsTest, OnlyTheirContractBoundsThem)
{
    const auto options = [](const std::string &line) {
        return platform::servingOptions(
            platform::SettingsFile::parse("ip=127.0.0.1\ninternal_ports=1\nnode_name=n\nzone=z\n"
                                          "listen.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\n"
                                          "listen.directory=127.0.0.1:3\n"
                                          + line),
            0);
    };
    for (const char *line :
         {"", "contracts=\n", "contracts=pressures,other\n", "pressure=true\n"}) {
        EXPECT_FALSE(options(line).boundsSlowReaders) << line;
        EXPECT_FALSE(options(line).requests.boundsServerMemory) << line;
    }
    for (const char *line : {"contracts=pressure\n", "contracts=a, pressure ,b\n"}) {
        EXPECT_TRUE(options(line).boundsSlowReaders) << line;
        EXPECT_TRUE(options(line).requests.boundsServerMemory) << line;
    }
}

TEST(SlowReaderSettingsTest, MemoryOfGroupsIsRead)
{
    const auto memory = [](const std::string &field) {
        const ServingConfiguration configuration = platform::servingDialect().readConfiguration(
            R"({"version":1,"routes":[],"tenants":[],"services":[{"name":"e","engine":{"slots":2)"
            + field + R"(,"models":[{"name":"m","size":2}]}}]})");
        return configuration.engineOf(ServiceId("e"))->memoryTokens;
    };
    EXPECT_EQ(memory(R"(,"kv_capacity_tokens":1400000)"), 1'400'000U);
    EXPECT_EQ(memory(""), 0U);
}

} // namespace

} // namespace bramleypitch
