// Tests of the ledger: its pure functions, and two owners that work on one store at the same time.

#include "coordination/ledger_func.h"
#include "coordination/ledger_owner.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace bramleypitch {

namespace {

LedgerRequest makeRequest(LedgerVerb verb, const std::string &key, const std::string &claim)
{
    LedgerRequest result;
    result.verb = verb;
    result.key = LedgerKey(key);
    result.digest = "d";
    result.claim = ClaimId(claim);
    result.when = WallTime(1'000);
    result.outcome.status = 200;
    result.outcome.body = claim;
    return result;
}

LedgerAnswer applyRequest(SegmentHead &head, const LedgerRequest &ledgerRequest)
{
    const LedgerBatch batch = applyRequests(head, {}, {ledgerRequest}, {});
    head = batch.head;
    return batch.replies.front().answer;
}

TEST(LedgerTest, AbandonedClaimStaysAbandonedInTheStore)
{
    // Guards against a failure found by code review: an abandoned claim was stored as one with an
    // unknown outcome, and its key answered "in progress" until it expired.
    SegmentHead head;
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "c1")), LedgerAnswer::Granted);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Abandon, "k", "c1")),
              LedgerAnswer::Recorded);
    SegmentHead stored = parseHead(serializeHead(head));
    EXPECT_EQ(applyRequest(stored, makeRequest(LedgerVerb::Claim, "k", "c2")),
              LedgerAnswer::Granted);
}

/// A store that executes the reads and writes of several owners, with conflicts and lost replies.
class FakeStore
{
public:
    void perform(const Actions &actions, LedgerOwner &owner, TimePoint now, bool loseReply,
                 Actions &next)
    {
        for (const Action &action : actions) {
            if (const auto *read = std::get_if<ReadKey>(&action)) {
                const auto &[revision, value] = m_values[read->key];
                owner.onKeyRead({read->operation, true, Revision(revision), value}, now, next);
            } else if (const auto *swap = std::get_if<CompareAndSwap>(&action)) {
                auto &[revision, value] = m_values[swap->key];
                const bool matches = revision == swap->expected.value();
                if (matches) {
                    revision = ++m_revision;
                    value = swap->value;
                }
                const SwapOutcome outcome = loseReply ? SwapOutcome::Unknown
                    : matches                         ? SwapOutcome::Written
                                                      : SwapOutcome::Conflict;
                owner.onSwapDone({swap->operation, outcome, Revision(revision), value}, now, next);
            }
        }
    }

private:
    std::map<std::string, std::pair<std::int64_t, std::string>> m_values;
    std::int64_t m_revision = 0;
};

/// A segment owner, with the replies that it has sent and its pending actions.
struct OwnerUnderTest
{
    explicit OwnerUnderTest(const std::string &name, LedgerLimits limits)
        : owner("ledger/", name, limits, [this] { return OperationId(++operations); })
    {
        owner.setReplyHook([this](OperationId operation, const LedgerReply &reply) {
            replies[operation.value()] = reply.answer;
        });
    }
    std::uint64_t operations = 1'000'000;
    LedgerOwner owner;
    std::map<std::uint64_t, LedgerAnswer> replies;
    Actions pendingActions;
};

} // namespace

TEST(Ledger, ClaimRecordRepeat)
{
    SegmentHead head;
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a")), LedgerAnswer::Granted);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a")), LedgerAnswer::Granted);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "b")),
              LedgerAnswer::InProgress);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Record, "k", "b")),
              LedgerAnswer::Recorded);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "b")),
              LedgerAnswer::InProgress);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Record, "k", "a")),
              LedgerAnswer::Recorded);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "b")), LedgerAnswer::Repeat);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Abandon, "k", "a")),
              LedgerAnswer::Recorded);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "c")), LedgerAnswer::Repeat);
}

TEST(Ledger, AbandonedKeyIsFreeAndOnlyItsOwnerMayAbandon)
{
    SegmentHead head;
    applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a"));
    applyRequest(head, makeRequest(LedgerVerb::Claim, "l", "a"));
    applyRequest(head, makeRequest(LedgerVerb::Abandon, "k", "b"));
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "c")),
              LedgerAnswer::InProgress);
    applyRequest(head, makeRequest(LedgerVerb::Abandon, "k", "a"));
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "c")), LedgerAnswer::Granted);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "l", "c")),
              LedgerAnswer::InProgress);
}

TEST(Ledger, ClaimThatComesAfterItsAbandonmentIsNotGranted)
{
    SegmentHead head;
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Abandon, "k", "a")),
              LedgerAnswer::Recorded);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a")),
              LedgerAnswer::InProgress);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "b")), LedgerAnswer::Granted);
    EXPECT_EQ(applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a")),
              LedgerAnswer::InProgress);
    EXPECT_EQ(parseHead(serializeHead(head)), head);
}

TEST(Ledger, ReuseOfAKeyByAnotherCallIsReported)
{
    SegmentHead head;
    applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a"));
    LedgerRequest other = makeRequest(LedgerVerb::Claim, "k", "b");
    other.digest = "other";
    EXPECT_EQ(applyRequest(head, other), LedgerAnswer::KeyReused);
}

TEST(Ledger, PartsOfAKeyAreUnambiguous)
{
    EXPECT_NE(ledgerKey("ab", "c", "d"), ledgerKey("a", "bc", "d"));
    EXPECT_NE(ledgerKey("a", "b", "c"), ledgerKey("a", "b", "c "));
}

TEST(Ledger, TimeOfAUuidOfVersionSeven)
{
    EXPECT_EQ(creationTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), WallTime(0x017f22e279b0));
    EXPECT_EQ(creationTime("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), std::nullopt);
    EXPECT_EQ(creationTime("order 7"), std::nullopt);
}

TEST(Ledger, HeadAndPageSerializationRoundTrips)
{
    SegmentHead head;
    applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a"));
    applyRequest(head, makeRequest(LedgerVerb::Claim, "l", "b"));
    applyRequest(head, makeRequest(LedgerVerb::Record, "l", "b"));
    EXPECT_EQ(parseHead(serializeHead(head)), head);
    const auto [page, rest] = splitHead(head, WallTime(2'000), {});
    EXPECT_EQ(parsePage(serializePage(page)).records, page.records);
    EXPECT_EQ(page.records.size(), 1U);
    EXPECT_EQ(rest.records.size(), 1U);
}

TEST(Ledger, ClaimWithoutOutcomeIsClosedAsUnknown)
{
    SegmentHead head;
    applyRequest(head, makeRequest(LedgerVerb::Claim, "k", "a"));
    const LedgerLimits limits;
    const auto [page, rest] = splitHead(head, WallTime(1'001 + limits.claimExpiry.count()), limits);
    ASSERT_EQ(page.records.size(), 1U);
    EXPECT_EQ(page.records[0].state, ClaimState::Unknown);
    const LedgerArchive archive {{LedgerKey("k"), page.records[0]}};
    const LedgerBatch batch =
        applyRequests(rest, archive, {makeRequest(LedgerVerb::Claim, "k", "b")}, limits);
    EXPECT_EQ(batch.replies[0].answer, LedgerAnswer::InProgress);
}

// With two owners of one segment, small pages and lost replies, each key is granted to at most one
// claim, and either owner finds a recorded outcome.
RC_GTEST_PROP(Ledger, OneGrantPerKeyWithTwoOwners, ())
{
    LedgerLimits limits;
    limits.pageSplitBytes = 700;
    limits.writesPerSecond = 1'000;
    OwnerUnderTest owners[] = {OwnerUnderTest("x", limits), OwnerUnderTest("y", limits)};
    FakeStore store;
    std::int64_t time = 100'000;
    std::map<std::string, std::set<std::string>> granted;
    std::map<std::uint64_t, std::pair<std::string, std::string>> claims;
    std::set<std::string> recorded;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        60, rc::gen::inRange<std::uint32_t>(0, 4'000));
    std::uint64_t operation = 0;
    for (const std::uint32_t step : steps) {
        OwnerUnderTest &askedOwner = owners[step % 2];
        const std::string key = "k" + std::to_string(step / 2 % 7);
        const std::string claim = "c" + std::to_string(step / 14 % 3);
        // Only a granted claim can be recorded, because only its node has sent the call.
        const bool mayRecord = granted[key].count(claim) > 0;
        const LedgerVerb verb = mayRecord && step % 5 == 0 ? LedgerVerb::Record : LedgerVerb::Claim;
        claims[++operation] = {key, claim};
        askedOwner.owner.submit(
            {OperationId(operation), SegmentIndex(1), makeRequest(verb, key, claim)},
            timePoint(time), askedOwner.pendingActions);
        for (int round = 0; round < 12; ++round) {
            time += 40;
            for (OwnerUnderTest &owner : owners) {
                Actions actions;
                actions.swap(owner.pendingActions);
                store.perform(actions, owner.owner, timePoint(time), step % 11 == 0 && round < 3,
                              owner.pendingActions);
                owner.owner.tick(WallTime(time), timePoint(time), owner.pendingActions);
            }
        }
        const auto reply = askedOwner.replies.find(operation);
        RC_ASSERT(reply != askedOwner.replies.end());
        // Either owner finds an outcome that the other one recorded.
        if (verb == LedgerVerb::Claim && recorded.count(key) > 0
            && reply->second != LedgerAnswer::Unavailable)
            RC_ASSERT(reply->second == LedgerAnswer::Repeat);
        if (verb == LedgerVerb::Claim && reply->second == LedgerAnswer::Granted) {
            RC_ASSERT(recorded.count(key) == 0U);
            granted[key].insert(claim);
        }
        if (verb == LedgerVerb::Record && reply->second == LedgerAnswer::Recorded)
            recorded.insert(key);
        RC_ASSERT(granted[key].size() <= 1U);
    }
}

} // namespace bramleypitch
