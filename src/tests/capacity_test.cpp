// Replays of demand against group formation: whether capacity is where the demand is, and how many
// conversions that takes.

#include "capacity_replay.h"
#include "formation/target_split.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numbers>

namespace bramleypitch {

namespace {

const ReplayShape firstShape;
const ReplayShape secondShape {9, 18, 2, 20, 147, 467};

double wave(double seconds, double size, double phase)
{
    constexpr double period = 13;
    return 1 + size * std::sin(2 * std::numbers::pi * (seconds / period + phase));
}

void print(const char *name, const CapacityReplay &replay, const ReplayResult &result)
{
    std::printf(
        "%-24s all %.3f large %.3f small %.3f worst second %.3f conversions %zu (to large %zu) "
        "loads %zu groups %zu/%zu\n",
        name, result.allShare, result.largeShare, result.smallShare, result.worstShare,
        result.conversions, result.toLarge, result.loads, replay.openGroups(replay.names[0]),
        replay.openGroups(replay.names[1]));
}

CapacityReplay::Factor riseAt(double start)
{
    return [start](double at) { return at >= start && at < start + 3 ? 1.8 : 1.0; };
}

using ReplaySetup = std::function<void(CapacityReplay &)>;

/// The mean result of a load over several random seeds.
ReplayResult replayLoad(const char *name, const ReplayShape &shape, double seconds,
                        const ReplaySetup &setup)
{
    constexpr std::uint32_t seeds = 5;
    ReplayResult sum;
    sum.worstShare = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CapacityReplay replay(shape, seed);
        setup(replay);
        const ReplayResult result = replay.run(seconds);
        print(name, replay, result);
        sum.allShare += result.allShare / seeds;
        sum.largeShare += result.largeShare / seeds;
        sum.smallShare += result.smallShare / seeds;
        sum.worstShare += result.worstShare / seeds;
        sum.conversions += result.conversions;
        sum.loads += result.loads;
    }
    sum.conversions /= seeds;
    sum.loads /= seeds;
    return sum;
}

void setWaves(CapacityReplay &replay, double phaseOfSmall)
{
    replay.largeFactor = [](double at) { return wave(at, 0.55, 0); };
    replay.smallFactor = [phaseOfSmall](double at) { return wave(at, 0.55, phaseOfSmall); };
}

TEST(CapacityTest, SteadyDemandMovesFewGroups)
{
    // Guards against conversions forth and back for demand that does not change.
    for (const ReplayShape &shape : {firstShape, secondShape}) {
        const ReplayResult result = replayLoad("steady", shape, 40, [](CapacityReplay &) {});
        EXPECT_LE(result.conversions, 1U);
        EXPECT_GE(result.allShare, 0.999);
    }
}

TEST(CapacityTest, ShortRiseTakesNothingFromTheOtherModel)
{
    // Guards against conversions for a rise that is over before the new groups serve: the model
    // that gave its groups was short instead.
    const ReplaySetup ofSmall = [](CapacityReplay &replay) { replay.smallFactor = riseAt(20); };
    const ReplaySetup ofLarge = [](CapacityReplay &replay) { replay.largeFactor = riseAt(20); };
    const ReplayResult first = replayLoad("rise of small", firstShape, 40, ofSmall);
    EXPECT_GE(first.largeShare, 0.995);
    EXPECT_GE(first.smallShare, 0.97);
    EXPECT_LE(first.conversions, 5U);
    EXPECT_GE(replayLoad("rise of small", secondShape, 40, ofSmall).allShare, 0.99);
    EXPECT_GE(replayLoad("rise of large", firstShape, 40, ofLarge).smallShare, 0.995);
    EXPECT_GE(replayLoad("rise of large", secondShape, 40, ofLarge).smallShare, 0.995);
}

TEST(CapacityTest, WaveMovesNoGroupsForthAndBack)
{
    // Guards against conversions with each wave: every one takes groups out of service and loads
    // weights, and comes too late for the wave that caused it.
    for (const double phase : {0.0, 0.5}) {
        const auto setup = [phase](CapacityReplay &replay) { setWaves(replay, phase); };
        const ReplayResult first = replayLoad("first, waves", firstShape, 65, setup);
        EXPECT_LE(first.conversions, 3U);
        EXPECT_GE(first.allShare, 0.967);
        EXPECT_GE(first.largeShare, 0.985);
        EXPECT_GE(first.worstShare, 0.82);
        const ReplayResult second = replayLoad("second, waves", secondShape, 65, setup);
        EXPECT_LE(second.conversions, 4U);
        EXPECT_GE(second.largeShare, 0.975);
        EXPECT_GE(second.smallShare, 0.99);
    }
}

TEST(CapacityTest, AfterTheFirstWavesAtMostOneConversionPerDirectionAndWave)
{
    for (const ReplayShape &shape : {firstShape, secondShape}) {
        for (const double phase : {0.0, 0.25, 0.5}) {
            CapacityReplay replay(shape);
            setWaves(replay, phase);
            replay.run(26);
            for (int i = 0; i < 4; ++i) {
                const ReplayResult result = replay.run(13);
                EXPECT_LE(result.toLarge, 1U) << phase;
                EXPECT_LE(result.conversions - result.toLarge, 1U) << phase;
            }
        }
    }
}

TEST(CapacityTest, GroupsThatLoseMembersAreFormedAgain)
{
    // Guards against repairs that wait for the wanted split: small groups complete a large one that
    // lost a member.
    const ReplaySetup losses = [](CapacityReplay &replay) {
        replay.lossInterval = Duration(3'000);
    };
    EXPECT_GE(replayLoad("first, losses", firstShape, 60, losses).largeShare, 0.998);
    EXPECT_GE(replayLoad("second, losses", secondShape, 60, losses).largeShare, 0.996);
    const ReplaySetup both = [&losses](CapacityReplay &replay) {
        losses(replay);
        setWaves(replay, 0);
    };
    const ReplayResult first = replayLoad("first, wave and losses", firstShape, 65, both);
    EXPECT_GE(first.allShare, 0.957);
    EXPECT_LE(first.conversions, 6U);
    EXPECT_GE(replayLoad("second, wave and losses", secondShape, 65, both).largeShare, 0.9);
}

TEST(CapacityTest, QueueCountsOnlyAsShortage)
{
    // Guards against demand that a queue overstates.
    DemandEstimate estimate;
    const ModelId model("m");
    TimePoint now = timePoint(1'000'000);
    for (int i = 0; i < 300; ++i, now += Duration(100))
        estimate.update({{model, 400}}, {{model, 100}}, now);
    EXPECT_TRUE(estimate.isMeasured(now));
    EXPECT_LE(estimate.peak(model), 116);
    EXPECT_LE(estimate.lasting(model), 116);
}

TEST(CapacityTest, RiseIsSeenAtOnceAndForgottenAfterAWave)
{
    DemandEstimate estimate;
    const ModelId model("m");
    const std::map<ModelId, double> capacity {{model, 1'000}};
    TimePoint now = timePoint(1'000'000);
    const auto run = [&](double slots, int milliseconds) {
        for (int passed = 0; passed < milliseconds; passed += 100, now += Duration(100))
            estimate.update({{model, slots}}, capacity, now);
    };
    run(100, 10'000);
    EXPECT_FALSE(estimate.isMeasured(now)); // It may be the low part of a wave.
    run(100, 10'000);
    EXPECT_NEAR(estimate.lasting(model), 100, 1);
    run(180, 300);
    EXPECT_GE(estimate.peak(model), 125);
    run(180, 2'700);
    EXPECT_GE(estimate.peak(model), 178);
    run(100, 13'000);
    EXPECT_GE(estimate.peak(model), 178);
    EXPECT_NEAR(estimate.lasting(model), 100, 4); // The rise was short.
    run(100, 5'000);
    EXPECT_NEAR(estimate.peak(model), 100, 4);
    run(180, 7'000);
    EXPECT_GE(estimate.lasting(model), 150);
}

/// A conversion of one group of `donor` to one of `receiver`, both wanted to change by one.
double gainOf(double donorLasting, double donorPeak, double receiverLasting)
{
    ModelDemand donor;
    donor.groups = donor.openGroups = 10;
    donor.lastingWork = donorLasting;
    donor.peakWork = donorPeak;
    ModelDemand receiver;
    receiver.groups = receiver.openGroups = 10;
    receiver.lastingWork = receiver.peakWork = receiverLasting;
    SplitChange change {&donor, &receiver, 1};
    change.donorTarget = 9;
    change.receiverTarget = 11;
    return targetGain(change);
}

TEST(CapacityTest, OnlyModelsWithHeadroomGive)
{
    EXPECT_GT(gainOf(5, 6, 9), 0);
    EXPECT_EQ(gainOf(5, 6, 7), 0); // The receiver is not short.
    EXPECT_EQ(gainOf(5, 9.5, 9), 0); // The donor needs all its groups in its peaks.
    EXPECT_GT(gainOf(5, 9.5, 11), 0); // The receiver is worse off.
    EXPECT_EQ(gainOf(8, 8, 9), 0); // The difference is no larger than the variation of demand.
}

RC_GTEST_PROP(CapacityProperty, WantedSplitFitsAndEachModelKeepsAGroup, ())
{
    ReplayShape shape;
    shape.domains = *rc::gen::inRange<std::size_t>(2, 6);
    shape.vmsPerDomain = *rc::gen::element<std::size_t>(18, 19, 27);
    shape.smallSpan = *rc::gen::element<std::uint32_t>(2, 4);
    shape.largeSlots = *rc::gen::inRange(10, 400);
    shape.smallSlots = *rc::gen::inRange(10, 800);
    CapacityReplay replay(shape, *rc::gen::inRange<std::uint32_t>(0, 1'000));
    const ReplayResult first = replay.run(24);
    const ReplayResult later = replay.run(16);
    const double vms = static_cast<double>(shape.domains * shape.vmsPerDomain);
    double wanted = 0;
    for (const ModelSplit &model : replay.system().split()) {
        wanted += model.wanted * (model.model == replay.names[0] ? 8.0 : shape.smallSpan);
        RC_ASSERT(model.wanted >= 1U);
    }
    RC_ASSERT(wanted <= vms);
    for (const ModelId &model : replay.names)
        RC_ASSERT(replay.openGroups(model) >= 1U);
    // Steady demand: nothing moves forth and back, and no model loses what it had.
    RC_ASSERT(later.conversions <= first.conversions + 2);
    RC_ASSERT(later.allShare >= first.allShare - 0.02);
}

} // namespace

} // namespace bramleypitch
