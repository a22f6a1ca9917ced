// Tests of the environment document and of the operators' commands.

#include "coordination/environment_cmd.h"
#include "coordination/environment_func.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

nlohmann::json validDocument()
{
    return nlohmann::json::parse(R"({
      "environment": "e",
      "availability_zones": [{"name": "za", "region": "r"}, {"name": "zb", "region": "r"}],
      "organisations": [{"name": "o", "keys": ["k"], "weight": 2}],
      "model_groups": [{"name": "m", "model": "w", "span": 2, "fabric_domains": ["d"]}],
      "services": [{"name": "s", "once": [{"method": "POST", "path_prefix": "/pay"}]}]})");
}

/// Returns the validation errors of a document, each as "path: message".
std::vector<std::string> validationErrors(const std::string &text)
{
    std::vector<std::string> lines;
    try {
        parseEnvironment(text);
    } catch (const Failure &failure) {
        EXPECT_EQ(failure.code(), ErrorCode::DocumentInvalid);
        for (const Fault &fault : failure.faults())
            lines.push_back(fault.path + ": " + fault.message);
    }
    return lines;
}

/// Returns the code of the Failure that an action throws, or Internal if it throws none.
ErrorCode failureCode(const std::function<void()> &action)
{
    try {
        action();
    } catch (const Failure &failure) {
        return failure.code();
    }
    return ErrorCode::Internal;
}

ChangeOrigin origin(const std::string &nonce)
{
    return {"operator", WallTime(7), Nonce(nonce)};
}

const EnvironmentId environment("e");

StoredEnvelope storedEnvelope(const EnvelopeChange &change, std::int64_t revision)
{
    return {Revision(revision), change.envelope};
}

} // namespace

TEST(Environment, EveryErrorIsReportedWithItsPath)
{
    nlohmann::json document = validDocument();
    document["organisations"][0]["weight"] = -1;
    document["organisations"][0]["colour"] = "red";
    document["model_groups"][0].erase("model");
    document["model_groups"][0]["span"] = "two";
    document["services"].push_back(document["services"][0]);
    document["services"][1]["once"][0]["path_prefix"] = "pay";
    const std::vector<std::string> faults = validationErrors(document.dump());
    const std::vector<std::string> expected {
        "organisations[0].weight: must be from 0.001 to 1000.0",
        "organisations[0].colour: is not a known field",
        "model_groups[0].model: is missing",
        "model_groups[0].span: must be an integer",
        "services[1].once[0].path_prefix: must begin with /",
        "services[1].name: is a duplicate"};
    for (const std::string &line : expected)
        EXPECT_NE(std::find(faults.begin(), faults.end(), line), faults.end()) << line;
    EXPECT_EQ(faults.size(), expected.size());
}

TEST(Environment, BrokenAndHugeDocumentsAreRefused)
{
    EXPECT_EQ(validationErrors("{").size(), 1U);
    EXPECT_EQ(validationErrors("[]").empty(), false);
    EXPECT_EQ(validationErrors(std::string(maxDocumentBytes + 1, ' ')).size(), 1U);
}

TEST(Environment, TwoOrganisationsCannotShareAKey)
{
    nlohmann::json document = validDocument();
    document["organisations"].push_back({{"name", "p"}, {"keys", {"k"}}});
    EXPECT_EQ(validationErrors(document.dump()).size(), 1U);
}

TEST(Environment, EnvelopeSerializationRoundTrips)
{
    const EnvelopeChange change =
        applyDocument(environment, validDocument().dump(), {}, origin("n"));
    const std::string text = serializeEnvelope(change.envelope);
    EXPECT_EQ(serializeEnvelope(parseEnvelope(text)), text);
    EXPECT_EQ(failureCode([] { parseEnvelope("{}"); }), ErrorCode::PlatformProtocol);
}

TEST(Environment, PromotionNamesItsTrialAndKeepsDrainedZones)
{
    const EnvelopeChange trial =
        applyDocument(environment, validDocument().dump(), {}, origin("a"));
    const EnvelopeChange first = promoteTrial(storedEnvelope(trial, 5), {}, origin("b"));
    EXPECT_EQ(first.envelope.promotedFrom, Revision(5));
    const EnvelopeChange drained =
        changeZone(ZoneId("zb"), ZoneState::Out, storedEnvelope(first, 6), origin("c"));
    const EnvelopeChange again =
        promoteTrial(storedEnvelope(trial, 5), storedEnvelope(drained, 7), origin("d"));
    EXPECT_TRUE(isZoneOut(again.envelope, ZoneId("zb")));
    EXPECT_EQ(again.expected, Revision(7));
    EXPECT_EQ(again.envelope.audit.from, Revision(7));
}

TEST(Environment, CommandsAreRefusedWithTheirReason)
{
    const EnvelopeChange trial =
        applyDocument(environment, validDocument().dump(), {}, origin("a"));
    const StoredEnvelope production =
        storedEnvelope(promoteTrial(storedEnvelope(trial, 5), {}, origin("b")), 6);
    EXPECT_EQ(failureCode([] { promoteTrial({}, {}, origin("x")); }), ErrorCode::NothingToPromote);
    EXPECT_EQ(
        failureCode([&] { changeZone(ZoneId("zz"), ZoneState::Out, production, origin("x")); }),
        ErrorCode::UnknownZone);
    EXPECT_EQ(
        failureCode([&] { changeZone(ZoneId("za"), ZoneState::In, production, origin("x")); }),
        ErrorCode::ZoneStateUnchanged);
    EXPECT_EQ(failureCode([&] {
                  applyDocument(EnvironmentId("f"), validDocument().dump(), {}, origin("x"));
              }),
              ErrorCode::DocumentInvalid);
}

TEST(Environment, AuditListsChangesButNoKeys)
{
    const EnvelopeChange first =
        applyDocument(environment, validDocument().dump(), {}, origin("a"));
    nlohmann::json document = validDocument();
    document["organisations"][0]["weight"] = 3;
    document["organisations"][0]["keys"] = {"secret"};
    const EnvelopeChange second =
        applyDocument(environment, document.dump(), storedEnvelope(first, 5), origin("b"));
    ASSERT_EQ(second.envelope.audit.changes.size(), 1U);
    EXPECT_EQ(second.envelope.audit.changes[0], "organisations[0].weight: 2.0 -> 3.0");
}

} // namespace bramleypitch
