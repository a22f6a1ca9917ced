// Property tests of the ten promises of the product: random sequences of failures and operators'
// changes on several simulated nodes, checked by external behaviour only. RC_PARAMS sets the seed
// and the number of cases:
//   RC_PARAMS="seed=7 max_success=500" build/src/tests/promises_test

#include "world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <iostream>

namespace bramleypitch::test {

namespace {

constexpr const char *defaultParameters = "seed=20261203 max_success=25 max_size=14 noshrink=1";

/// Generates steps of the given kinds, each with a random target and duration.
rc::Gen<std::vector<Step>> generateSteps(std::vector<StepKind> kinds)
{
    return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
        rc::gen::set(&Step::kind, rc::gen::elementOf(std::move(kinds))),
        rc::gen::set(&Step::target, rc::gen::inRange<std::uint32_t>(0, 90)),
        rc::gen::set(&Step::durationMs, rc::gen::inRange<std::uint32_t>(100, 6'000))));
}

std::vector<StepKind> allKinds()
{
    std::vector<StepKind> kinds;
    kinds.reserve(static_cast<std::size_t>(StepKind::Count));
    for (int kind = 0; kind < static_cast<int>(StepKind::Count); ++kind)
        kinds.push_back(static_cast<StepKind>(kind));
    return kinds;
}

/// Runs the steps, logs every violation and fails if there is any, or if no completion was answered
/// or no payment executed.
void checkPromises(const std::vector<Step> &steps, WorldOptions options)
{
    World world(options);
    world.run(steps);
    RC_LOG() << "world seed " << options.seed << ", dispatches " << world.dispatchCount()
             << ", completions answered " << world.completionsAnswered() << "\n";
    for (const Step &step : steps)
        RC_LOG() << "step " << static_cast<int>(step.kind) << " on " << step.target << " for "
                 << step.durationMs << " ms\n";
    for (const Violation &violation : world.violations())
        RC_LOG() << violation.promise << ": " << violation.what << "\n";
    RC_ASSERT(world.violations().empty());
    RC_ASSERT(world.completionsAnswered() > 0U);
    RC_ASSERT(world.paymentsExecuted() > 0U);
}

/// Checks the promises on a random sequence of steps and a random seed of the simulation.
void checkRandomRun(const std::vector<StepKind> &kinds, WorldOptions options)
{
    const auto steps = *generateSteps(kinds);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    checkPromises(steps, options);
}

WorldOptions defaultOptions()
{
    return {};
}

WorldOptions highLoad()
{
    WorldOptions options;
    options.requestInterval = Duration(15);
    return options;
}

WorldOptions withoutFencing()
{
    WorldOptions options;
    options.checksFencing = false;
    return options;
}

WorldOptions withShortSteps()
{
    WorldOptions options;
    options.maxExtraStepDelay = Duration(600);
    options.requestInterval = Duration(15);
    return options;
}

WorldOptions withLateMessages()
{
    WorldOptions options;
    options.lateMessageShare = 0.05;
    return options;
}

/// No server becomes warm, so each group and server always has exactly one home node.
WorldOptions alwaysCold()
{
    WorldOptions options;
    options.warmAfter = 100'000;
    options.requestInterval = Duration(15);
    return options;
}

} // namespace

RC_GTEST_PROP(Promises, HoldWithoutFailures, ())
{
    checkRandomRun({StepKind::Wait, StepKind::ChangeDocument, StepKind::DrainZone,
                    StepKind::RestoreZone, StepKind::StopNode},
                   defaultOptions());
}

RC_GTEST_PROP(Promises, HoldWhenNodesFail, ())
{
    checkRandomRun({StepKind::KillNode, StepKind::PauseNode, StepKind::StopNode, StepKind::KillVm,
                    StepKind::CutNodePeers, StepKind::CutNodePlatform},
                   highLoad());
}

RC_GTEST_PROP(Promises, HoldWhenNodesAreIsolated, ())
{
    checkRandomRun({StepKind::IsolateNode, StepKind::DrainZone, StepKind::RestoreZone,
                    StepKind::ChangeSpan, StepKind::LeaveVm},
                   defaultOptions());
}

RC_GTEST_PROP(Promises, HoldWhenVmsFail, ())
{
    checkRandomRun({StepKind::KillVm, StepKind::PauseVm, StepKind::KillDomain, StepKind::RestartVm,
                    StepKind::LeaveVm, StepKind::CutNodeEngines},
                   highLoad());
}

RC_GTEST_PROP(Promises, HoldWhenVmsFailWithoutFencing, ())
{
    checkRandomRun({StepKind::KillVm, StepKind::PauseVm, StepKind::KillDomain, StepKind::KillNode,
                    StepKind::LeaveVm, StepKind::CutNodeEngines, StepKind::PauseNode,
                    StepKind::ChangeSpan},
                   withoutFencing());
}

RC_GTEST_PROP(Promises, HoldWhenThePlatformFails, ())
{
    checkRandomRun({StepKind::PlatformOutage, StepKind::LoseReplies, StepKind::CutNodePlatform,
                    StepKind::KillNode, StepKind::ChangeDocument, StepKind::KillVm},
                   defaultOptions());
}

RC_GTEST_PROP(Promises, HoldWhenMessagesAreLate, ())
{
    checkRandomRun({StepKind::ChangeDocument, StepKind::IsolateNode, StepKind::CutNodePlatform,
                    StepKind::ChangeSpan, StepKind::KillVm, StepKind::PauseNode},
                   withLateMessages());
}

RC_GTEST_PROP(Promises, HoldWhenServersAreCold, ())
{
    checkRandomRun({StepKind::PauseNode, StepKind::KillNode, StepKind::IsolateNode,
                    StepKind::CutNodePlatform, StepKind::StopNode, StepKind::LoseReplies},
                   alwaysCold());
}

RC_GTEST_PROP(Promises, HoldWhenHomesAreLost, ())
{
    checkRandomRun({StepKind::LoseHome, StepKind::Wait, StepKind::KillNode}, alwaysCold());
}

RC_GTEST_PROP(Promises, HoldWhenGroupsChangeUnseen, ())
{
    checkRandomRun({StepKind::IsolateNode, StepKind::ChangeSpan}, withShortSteps());
}

RC_GTEST_PROP(Promises, HoldWhenAnythingFails, ())
{
    checkRandomRun(allKinds(), highLoad());
}

} // namespace bramleypitch::test

int main(int argc, char **argv)
{
    setenv("RC_PARAMS", bramleypitch::test::defaultParameters, 0);
    std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << "\n";
    testing::InitGoogleTest(&argc, argv);
    const int result = RUN_ALL_TESTS();
    // A filter that matches no property must not count as a passed test.
    return testing::UnitTest::GetInstance()->test_to_run_count() == 0 ? 1 : result;
}
