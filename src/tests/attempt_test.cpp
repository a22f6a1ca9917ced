// Tests of the end of attempts: what an answer that a sound server would have completed must
// survive.

#include "request_fixture.h"

#include <rapidcheck/gtest.h>

namespace bramleypitch {

namespace {

constexpr Duration longSilence {1'300}; // A sound server may send nothing for a second or so.

class AttemptTest : public RequestTest
{
protected:
    /// Sends a request for a stream. The server of its attempt forwards an event.
    DispatchAttempt startStream()
    {
        const DispatchAttempt attempt = actionsOf<DispatchAttempt>(sendRequest("/ask/x")).at(0);
        m_system.onStreamStarted(attempt.request, attempt.attempt, m_now);
        m_system.onEventForwarded(attempt.request, attempt.attempt, m_now);
        return attempt;
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

    void configure(const std::function<void(ServingConfiguration &)> &change)
    {
        ServingConfiguration configuration = *m_system.configuration();
        ++configuration.version;
        change(configuration);
        m_system.setConfiguration(std::make_shared<ServingConfiguration>(configuration));
    }
};

TEST_F(AttemptTest, SilenceOfTheOnlyServerDoesNotBreakItsStream)
{
    addGroup("a");
    const DispatchAttempt attempt = startStream();
    const RequestActions actions = pass(longSilence);
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
    EXPECT_TRUE(actionsOf<AbandonAttempt>(actions).empty());
    RequestActions ended;
    m_system.onEventForwarded(attempt.request, attempt.attempt, m_now);
    m_system.onStreamEnded(attempt.request, attempt.attempt, m_now, ended);
    EXPECT_EQ(m_system.open(), 0U);
}

TEST_F(AttemptTest, SilenceBeforeTheFirstEventDoesNotRefuseTheRequest)
{
    addGroup("a");
    sendRequest("/ask/x");
    const RequestActions actions = pass(longSilence);
    EXPECT_TRUE(actionsOf<RefuseRequest>(actions).empty());
    EXPECT_TRUE(actionsOf<AbandonAttempt>(actions).empty());
}

TEST_F(AttemptTest, SilenceDoesNotBreakAStreamWhoseAttemptsAreUsedUp)
{
    configure([](ServingConfiguration &changed) { changed.routes[0].maxAttempts = 1; });
    addGroup("a");
    addGroup("b");
    startStream();
    const RequestActions actions = pass(longSilence);
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
    EXPECT_TRUE(actionsOf<AbandonAttempt>(actions).empty());
}

TEST_F(AttemptTest, SilenceOfASecondServerDoesNotBreakTheStream)
{
    addGroup("a");
    addGroup("b");
    startStream();
    RequestActions actions = pass(longSilence + longSilence);
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
    EXPECT_EQ(actionsOf<DispatchAttempt>(actions).size(), 1U);
}

TEST_F(AttemptTest, SilenceDoesNotBreakAStreamWithoutRetryBudget)
{
    RequestOptions none = options();
    none.retries.slack = 0;
    none.retries.ratio = 0;
    RequestSystem system(none, m_backends);
    system.setConfiguration(m_system.configuration());
    system.setConfigurationProof(m_now);
    addGroup("a");
    addGroup("b");
    RequestArrival arrival;
    arrival.request = RequestId(1);
    arrival.traceId = "t";
    arrival.host = "shop.example";
    arrival.path = "/ask/x";
    arrival.key = apiKey;
    arrival.model = ModelId("m");
    RequestActions actions;
    system.onRequestArrived(arrival, m_now, actions);
    system.onStreamStarted(RequestId(1), AttemptNumber(1), m_now);
    system.onEventForwarded(RequestId(1), AttemptNumber(1), m_now);
    system.tick(m_now + longSilence, actions);
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
}

TEST_F(AttemptTest, StreamThatWaitsToBeResumedSurvivesAChangeOfItsRoute)
{
    addGroup("a");
    addGroup("b");
    const DispatchAttempt attempt = startStream();
    // The other group is full, so that the stream waits after its server broke it off.
    std::vector<DispatchAttempt> others;
    for (std::uint32_t i = 0; i < 2 * slots - 1; ++i) {
        for (const auto &other : actionsOf<DispatchAttempt>(sendRequest("/ask/x")))
            others.push_back(other);
    }
    EXPECT_TRUE(actionsOf<BreakResponse>(failAttempt(attempt, AttemptFailure::Broken)).empty());
    configure([](ServingConfiguration &changed) { changed.routes.erase(changed.routes.begin()); });
    RequestActions actions;
    for (const DispatchAttempt &other : others) {
        if (other.server != attempt.server)
            m_system.onStreamEnded(other.request, other.attempt, m_now, actions);
    }
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
    EXPECT_EQ(actionsOf<DispatchAttempt>(actions).size(), 1U);
}

TEST_F(AttemptTest, StreamThatWaitsToBeResumedSurvivesAnOldProofOfTheConfiguration)
{
    addGroup("a");
    addGroup("b");
    const DispatchAttempt attempt = startStream();
    m_now += Duration(4'500);
    const RequestActions actions = failAttempt(attempt, AttemptFailure::Broken);
    EXPECT_TRUE(actionsOf<BreakResponse>(actions).empty());
    EXPECT_EQ(actionsOf<DispatchAttempt>(actions).size(), 1U);
}

TEST_F(AttemptTest, RepeatThatIsRefusedAfterAChangeIsNotReportedAsNotRun)
{
    m_backends.update(serverReport("s1"), m_now);
    const auto attempt = actionsOf<DispatchAttempt>(sendRequest("/read/x")).at(0);
    m_backends.update(serverReport("s2"), m_now);
    configure([](ServingConfiguration &changed) { changed.keys.clear(); });
    const auto refusals = actionsOf<RefuseRequest>(failAttempt(attempt, AttemptFailure::Broken));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals[0].run, RunOutcome::MayHaveRun);
    EXPECT_EQ(refusals[0].code, ErrorCode::BackendFailed);
    EXPECT_FALSE(refusals[0].retryAfter.has_value());
}

} // namespace

} // namespace bramleypitch
