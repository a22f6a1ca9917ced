// Messages between nodes and records of the store across builds: what landed builds sent and stored
// is read with its meaning, and they read what this build sends and stores.
//
// Golden files begin with the commit of the build that wrote them by wire_golden. They do not
// change: for a landed build, its commit is added to `landedBuilds` and its files beside the
// others.

#include "core/format_version.h"
#include "formation/formation_func.h"
#include "network/gen/peer_types.h"
#include "network/membership_record.h"
#include "network/pulse_socket.h"
#include "network/quarantine_store.h"
#include "network/thrift_bytes.h"
#include "wire_samples.h"
#include "wire_schema.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace bramleypitch::test {

namespace {

const std::vector<std::string> landedBuilds {"42af145"};
constexpr std::size_t maxChangesBytes = 65'536;

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    EXPECT_TRUE(file.is_open()) << path;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string goldenFile(const std::string &commit, const std::string &kind)
{
    return readFile("golden/wire/" + commit + "-" + kind);
}

WireSchema landedSchema(const std::string &commit)
{
    return parseWireSchema(goldenFile(commit, "peer.thrift"));
}

std::string currentSchemaText()
{
    return readFile("../network/peer.thrift");
}

/// Replaces a text that must occur exactly once.
std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    const std::size_t position = text.find(before);
    EXPECT_NE(position, std::string::npos) << before;
    EXPECT_EQ(text.find(before, position + 1), std::string::npos) << before;
    return text.replace(position, before.size(), after);
}

bool isDatagram(const std::string &kind)
{
    return kind != "node" && kind != "plan" && kind != "quarantine";
}

/// The changes in a feed's datagram, decompressed.
std::string changesOf(const std::string &datagram)
{
    const std::string compressed =
        fromThriftBytes<peer::Feed>(std::string_view(datagram).substr(1)).compressed_changes;
    std::string bytes(maxChangesBytes, '\0');
    uLongf size = bytes.size();
    EXPECT_EQ(uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                         reinterpret_cast<const Bytef *>(compressed.data()), compressed.size()),
              Z_OK);
    bytes.resize(size);
    return bytes;
}

void expectSame(const Pulse &actual, const Pulse &expected)
{
    EXPECT_EQ(actual.node, expected.node);
    EXPECT_EQ(actual.life, expected.life);
    EXPECT_EQ(actual.number, expected.number);
    EXPECT_EQ(actual.taking, expected.taking);
    EXPECT_EQ(actual.settled, expected.settled);
    EXPECT_EQ(actual.running, expected.running);
    EXPECT_EQ(actual.suspects, expected.suspects);
    EXPECT_EQ(actual.recentProgress, expected.recentProgress);
    EXPECT_EQ(actual.clock, expected.clock);
    EXPECT_EQ(actual.held, expected.held);
    EXPECT_EQ(actual.demand, expected.demand);
    EXPECT_EQ(actual.leaving, expected.leaving);
    EXPECT_EQ(actual.quarantine, expected.quarantine);
    EXPECT_EQ(actual.limits, expected.limits);
    EXPECT_EQ(actual.cut, expected.cut);
}

void expectSame(const ZoneDigest &actual, const ZoneDigest &expected)
{
    EXPECT_EQ(actual.zone, expected.zone);
    EXPECT_EQ(actual.node, expected.node);
    EXPECT_EQ(actual.life, expected.life);
    EXPECT_EQ(actual.number, expected.number);
    EXPECT_EQ(actual.taking, expected.taking);
    EXPECT_EQ(actual.running, expected.running);
    EXPECT_EQ(actual.demand, expected.demand);
    EXPECT_EQ(actual.suspects, expected.suspects);
    EXPECT_EQ(actual.recentProgress, expected.recentProgress);
    EXPECT_EQ(actual.leaving, expected.leaving);
    EXPECT_EQ(actual.quarantine, expected.quarantine);
    EXPECT_EQ(actual.limits, expected.limits);
    EXPECT_EQ(actual.cut, expected.cut);
    EXPECT_EQ(actual.clock, expected.clock);
    EXPECT_EQ(actual.held, expected.held);
    EXPECT_EQ(actual.relayed, expected.relayed);
}

void expectSame(const StoreFeed &actual, const StoreFeed &expected)
{
    EXPECT_EQ(actual.from, expected.from);
    EXPECT_EQ(actual.to, expected.to);
    EXPECT_EQ(actual.echo, expected.echo);
    EXPECT_EQ(actual.proofAge, expected.proofAge);
    ASSERT_EQ(actual.changes.size(), expected.changes.size());
    for (std::size_t i = 0; i < actual.changes.size(); ++i) {
        EXPECT_EQ(actual.changes[i].key, expected.changes[i].key);
        EXPECT_EQ(actual.changes[i].revision, expected.changes[i].revision);
        EXPECT_EQ(actual.changes[i].deleted, expected.changes[i].deleted);
        EXPECT_EQ(actual.changes[i].value, expected.changes[i].value);
    }
}

/// Whether a JSON value holds all that an earlier one holds, and at most further fields.
bool extends(const nlohmann::json &later, const nlohmann::json &earlier)
{
    if (earlier.is_object())
        return later.is_object()
            && std::all_of(earlier.items().begin(), earlier.items().end(), [&](const auto &item) {
                   return later.contains(item.key()) && extends(later[item.key()], item.value());
               });
    if (!earlier.is_array())
        return later == earlier;
    return later.is_array()
        && std::equal(later.begin(), later.end(), earlier.begin(), earlier.end(), extends);
}

/// A node that receives datagrams.
class WireTest : public testing::Test
{
protected:
    WireTest()
        : m_plain(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        // Bound once by the kernel's choice of a port, and then by the receiver.
        const int probe = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        m_target.sin_family = AF_INET;
        m_target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_target);
        EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr *>(&m_target), size), 0);
        EXPECT_EQ(getsockname(probe, reinterpret_cast<sockaddr *>(&m_target), &size), 0);
        close(probe);
        PulseHooks hooks;
        hooks.pulse = [this](const Pulse &pulse) { m_pulses.push_back(pulse); };
        hooks.digest = [this](const ZoneDigest &digest) { m_digests.push_back(digest); };
        hooks.feed = [this](const StoreFeed &feed) { m_feeds.push_back(feed); };
        hooks.permits = [this](const PermitMessage &message) { m_permits.push_back(message); };
        hooks.version = [this](const NodeId &peer, std::int32_t version) {
            m_versions.emplace_back(peer.value(), version);
        };
        m_receiver = std::make_unique<PulseSocket>(
            m_loop, Address("127.0.0.1:" + std::to_string(ntohs(m_target.sin_port))), hooks);
    }
    ~WireTest() override { close(m_plain); }

    void send(const std::string &bytes)
    {
        ASSERT_EQ(sendto(m_plain, bytes.data(), bytes.size(), 0,
                         reinterpret_cast<const sockaddr *>(&m_target), sizeof(m_target)),
                  static_cast<ssize_t>(bytes.size()));
        event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
    }

    EventLoop m_loop;
    int m_plain;
    sockaddr_in m_target {};
    std::vector<Pulse> m_pulses;
    std::vector<ZoneDigest> m_digests;
    std::vector<StoreFeed> m_feeds;
    std::vector<PermitMessage> m_permits;
    std::vector<std::pair<std::string, std::int32_t>> m_versions; ///< By the name of the sender.
    std::unique_ptr<PulseSocket> m_receiver;
};

} // namespace

TEST_F(WireTest, MessagesOfLandedBuildsKeepTheirMeaning)
{
    for (const std::string &commit : landedBuilds) {
        SCOPED_TRACE(commit);
        for (const std::string kind : {"pulse", "digest", "feed", "permits"})
            send(goldenFile(commit, kind));
        ASSERT_EQ(m_pulses.size(), 1U);
        ASSERT_EQ(m_digests.size(), 1U);
        ASSERT_EQ(m_feeds.size(), 1U);
        ASSERT_EQ(m_permits.size(), 1U);
        expectSame(m_pulses[0], samplePulse());
        expectSame(m_digests[0], sampleDigest());
        expectSame(m_feeds[0], sampleFeed());
        EXPECT_EQ(m_permits[0], samplePermits());
        EXPECT_EQ(m_receiver->malformedDatagrams(), 0U);
        m_pulses.clear();
        m_digests.clear();
        m_feeds.clear();
        m_permits.clear();
    }
}

TEST_F(WireTest, LandedBuildsReadTheMessagesOfThisBuild)
{
    std::map<std::string, std::string> samples = writeSamples();
    for (const std::string &commit : landedBuilds) {
        const WireSchema schema = landedSchema(commit);
        for (const auto &[kind, name] : {std::pair("pulse", "Pulse"), std::pair("digest", "Digest"),
                                         std::pair("permits", "Permits")}) {
            SCOPED_TRACE(testing::Message() << commit << " " << kind);
            const std::string landed = goldenFile(commit, kind);
            ASSERT_FALSE(samples[kind].empty());
            EXPECT_EQ(samples[kind][0], landed[0]);
            EXPECT_EQ(readBySchema(schema, name, samples[kind].substr(1)),
                      readBySchema(schema, name, landed.substr(1)));
        }
        // Versions of zlib compress differently.
        WireSchema withoutChanges = schema;
        ASSERT_EQ(withoutChanges["Feed"].erase(6), 1U);
        const std::string feed = goldenFile(commit, "feed");
        EXPECT_EQ(samples["feed"][0], feed[0]);
        EXPECT_EQ(readBySchema(withoutChanges, "Feed", samples["feed"].substr(1)),
                  readBySchema(withoutChanges, "Feed", feed.substr(1)));
        EXPECT_EQ(readBySchema(schema, "FeedChanges", changesOf(samples["feed"])),
                  readBySchema(schema, "FeedChanges", changesOf(feed)));
    }
}

TEST_F(WireTest, VersionsOfSendersAreReported)
{
    std::map<std::string, std::string> samples = writeSamples();
    auto relayed = fromThriftBytes<peer::Digest>(samples["digest"].substr(1));
    ASSERT_TRUE(relayed.relayed);
    auto direct = relayed;
    direct.relayed = false;
    for (const std::string &bytes :
         {goldenFile("42af145", "pulse"), goldenFile("42af145", "permits"), samples["pulse"],
          samples["permits"], "D" + toThriftBytes(relayed), "D" + toThriftBytes(direct)})
        send(bytes);
    auto later = fromThriftBytes<peer::Pulse>(samples["pulse"].substr(1));
    later.version = formatVersion + 1'000;
    send("P" + toThriftBytes(later));
    const std::vector<std::pair<std::string, std::int32_t>> expected {
        {"n1", 1},
        {"n1", 1},
        {"n1", formatVersion},
        {"n1", formatVersion},
        {"n1", formatVersion},
        {"n1", formatVersion + 1'000}};
    EXPECT_EQ(m_versions, expected);
    ASSERT_EQ(m_pulses.size(), 3U);
    expectSame(m_pulses[2], samplePulse());
}

TEST_F(WireTest, UnknownMessagesAreCountedAndIgnored)
{
    const std::string pulse = goldenFile(landedBuilds.front(), "pulse");
    for (const char tag : {'\0', 'Q', 'p', '\x80', '\xff'}) {
        const std::uint64_t before = m_receiver->malformedDatagrams();
        send(tag + pulse.substr(1));
        EXPECT_EQ(m_receiver->malformedDatagrams(), before + 1);
    }
    EXPECT_TRUE(m_pulses.empty() && m_digests.empty() && m_feeds.empty() && m_permits.empty());
}

TEST_F(WireTest, UnknownFieldsOfAnyTypeAreIgnored)
{
    // In the compact protocol, each as the field 99 behind the known ones: true, an integer, a
    // string, a list of structs, a map and a struct.
    using namespace std::string_literals;
    const std::vector<std::string> values {"\x01\xc6\x01"s,
                                           "\x06\xc6\x01\x7f"s,
                                           "\x08\xc6\x01\x03"
                                           "abc"s,
                                           "\x09\xc6\x01\x1c\x16\x02\0"s,
                                           "\x0b\xc6\x01\x01\x86\x01k\x02"s,
                                           "\x0c\xc6\x01\x16\x02\0"s};
    for (const auto &[kind, bytes] : writeSamples()) {
        if (!isDatagram(kind))
            continue;
        for (const std::string &value : values) {
            ASSERT_EQ(bytes.back(), '\0'); // The end of the struct.
            send(bytes.substr(0, bytes.size() - 1) + value + '\0');
        }
    }
    EXPECT_EQ(m_receiver->malformedDatagrams(), 0U);
    ASSERT_EQ(m_pulses.size(), values.size());
    ASSERT_EQ(m_digests.size(), values.size());
    ASSERT_EQ(m_feeds.size(), values.size());
    ASSERT_EQ(m_permits.size(), values.size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        expectSame(m_pulses[i], samplePulse());
        expectSame(m_digests[i], sampleDigest());
        expectSame(m_feeds[i], sampleFeed());
        EXPECT_EQ(m_permits[i], samplePermits());
    }
}

TEST(WireRecordTest, RecordsOfLandedBuildsKeepTheirMeaning)
{
    for (const std::string &commit : landedBuilds) {
        SCOPED_TRACE(commit);
        EXPECT_EQ(parsePlan(goldenFile(commit, "plan")), samplePlan());
        EXPECT_EQ(parseQuarantine(goldenFile(commit, "quarantine"), WallTime(sampleWallTime)),
                  sampleQuarantine());
        EXPECT_EQ(parseMembershipRecord(sampleRecord().node, goldenFile(commit, "node")),
                  sampleRecord());
    }
}

TEST(WireRecordTest, LandedBuildsReadTheRecordsOfThisBuild)
{
    const std::map<std::string, std::string> samples = writeSamples();
    for (const std::string &commit : landedBuilds) {
        for (const std::string kind : {"node", "plan", "quarantine"}) {
            SCOPED_TRACE(testing::Message() << commit << " " << kind);
            EXPECT_TRUE(extends(nlohmann::json::parse(samples.at(kind)),
                                nlohmann::json::parse(goldenFile(commit, kind))))
                << samples.at(kind);
        }
    }
}

TEST(WireRecordTest, UnknownFieldsAreIgnored)
{
    std::map<std::string, std::string> samples = writeSamples();
    for (auto &[kind, text] : samples) {
        if (!isDatagram(kind))
            text = nlohmann::json::parse(text)
                       .patch({{{"op", "add"}, {"path", "/later"}, {"value", {{"a", {1, 2}}}}}})
                       .dump();
    }
    EXPECT_EQ(parseMembershipRecord(sampleRecord().node, samples.at("node")), sampleRecord());
    EXPECT_EQ(parsePlan(samples.at("plan")), samplePlan());
    EXPECT_EQ(parseQuarantine(samples.at("quarantine"), WallTime(sampleWallTime)),
              sampleQuarantine());
}

TEST(WireSchemaTest, CurrentSchemaOnlyAddsToLandedOnes)
{
    const WireSchema current = parseWireSchema(currentSchemaText());
    for (const std::string &commit : landedBuilds)
        EXPECT_EQ(incompatibleChanges(landedSchema(commit), current), std::vector<std::string>())
            << commit;
}

TEST(WireSchemaTest, ChangesAreFound)
{
    const std::string landed = goldenFile("42af145", "peer.thrift");
    const WireSchema schema = parseWireSchema(landed);
    ASSERT_EQ(schema.at("Pulse").size(), 15U);
    ASSERT_EQ(schema.at("Digest").size(), 16U);
    ASSERT_EQ(schema.at("Peer.ledger").at(1).type, "LedgerRequest");
    const auto changes = [&](const std::string &before, const std::string &after) {
        return incompatibleChanges(schema, parseWireSchema(replaced(landed, before, after)));
    };
    using Changes = std::vector<std::string>;
    EXPECT_EQ(changes("15: bool cut", "15: bool cut\n  16: i64 era\n  40: optional i32 version"),
              Changes());
    EXPECT_EQ(changes("service Peer {", "struct Later {\n  1: i64 a\n}\n\nservice Peer {"),
              Changes());
    EXPECT_EQ(changes("9: i64 held_revision", "9: i32 held_revision"),
              Changes {"Pulse.held_revision has another type"});
    EXPECT_EQ(changes("15: bool cut", ""), Changes {"Pulse.cut is removed"});
    EXPECT_EQ(changes("15: bool cut", "16: bool cut"), Changes {"Pulse.cut is removed"});
    EXPECT_EQ(changes("15: bool cut", "15: bool isolated"), Changes {"Pulse.cut has another name"});
    EXPECT_EQ(changes("15: bool cut", "15: required bool cut"), Changes {"Pulse.cut is required"});
    EXPECT_EQ(changes("16: set<string> cut", "16: list<string> cut"),
              Changes {"Digest.cut has another type"});
    EXPECT_EQ(changes("SharedValues pull(1: i64 above)", "SharedValues pull(1: i64 above_)"),
              Changes {"Peer.pull.above has another name"});
    EXPECT_EQ(changes("SharedValues pull(1: i64 above)", "").size(), 2U);
    EXPECT_THROW(parseWireSchema(replaced(landed, "15: bool cut", "14: bool cut")),
                 std::runtime_error);
    EXPECT_THROW(parseWireSchema(replaced(landed, "15: bool cut", "15 bool cut")),
                 std::runtime_error);
}

TEST(WireSchemaTest, OtherMeaningsOfBytesAreFound)
{
    const std::string pulse = goldenFile("42af145", "pulse").substr(1);
    const WireSchema schema = landedSchema("42af145");
    auto wire = fromThriftBytes<peer::Pulse>(pulse);
    EXPECT_EQ(readBySchema(schema, "Pulse", toThriftBytes(wire)),
              readBySchema(schema, "Pulse", pulse));
    wire.limits.begin()->second.age_ms += 1;
    EXPECT_NE(readBySchema(schema, "Pulse", toThriftBytes(wire)),
              readBySchema(schema, "Pulse", pulse));
    WireSchema shorter = schema;
    shorter["Pulse"].erase(1);
    EXPECT_NE(readBySchema(shorter, "Pulse", pulse), readBySchema(schema, "Pulse", pulse));
}

} // namespace bramleypitch::test
