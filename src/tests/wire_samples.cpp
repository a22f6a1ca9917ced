#include "wire_samples.h"

#include "formation/formation_func.h"
#include "network/membership_record.h"
#include "network/pulse_socket.h"
#include "network/quarantine_store.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace bramleypitch::test {

namespace {

constexpr std::int64_t sampleRun = 1'764'900'000'001;

QuarantineNews sampleNews()
{
    QuarantineNews news;
    news.crashes = {{PromptPart(11), {VmId("s1"), 101}, 12, Duration(13)},
                    {PromptPart(0xfedcba9876543210U), {VmId("s2"), 102}, 14, Duration(15)}};
    news.cleared = {{PromptPart(16), Duration(17)}};
    news.quarantined = {{PromptPart(18), {Duration(19'000), 3}}};
    return news;
}

LimitNews sampleLimits()
{
    return {{VmId("s1"), {101, 2.5, true, Duration(20)}},
            {VmId("s2"), {102, std::nullopt, false, Duration(21)}}};
}

/// A UDP socket on a free port of the loopback interface.
class PlainSocket
{
public:
    PlainSocket()
        : m_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
            || getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw std::runtime_error("no UDP socket");
        m_address = Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }
    ~PlainSocket() { close(m_descriptor); }
    PlainSocket(const PlainSocket &) = delete;
    PlainSocket &operator=(const PlainSocket &) = delete;

    const Address &address() const { return m_address; }
    std::string receive() const
    {
        std::string bytes(65'536, '\0');
        const ssize_t size = recv(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return bytes;
    }

private:
    int m_descriptor;
    Address m_address;
};

} // namespace

Pulse samplePulse()
{
    Pulse pulse;
    pulse.node = NodeId("n1");
    pulse.life = sampleRun;
    pulse.number = 2;
    pulse.taking = true;
    pulse.settled = true;
    pulse.running = {{VmId("s1"), 3}, {VmId("s2"), 4}};
    pulse.suspects = {{VmId("s3"), Duration(500)}};
    pulse.recentProgress = {{VmId("s1"), Duration(6)}};
    pulse.clock = timePoint(7'000);
    pulse.held = Revision(8);
    pulse.demand = {{ModelId("large"), 9.5}};
    pulse.leaving = {{VmId("s4"), 104}};
    pulse.quarantine = sampleNews();
    pulse.limits = sampleLimits();
    pulse.cut = true;
    pulse.writeRefused = true;
    pulse.closedGroups = {{VmId("s5"), {104, GroupId("g1"), Generation(3), Duration(40)}}};
    return pulse;
}

ZoneDigest sampleDigest()
{
    ZoneDigest digest;
    digest.zone = ZoneId("za");
    digest.node = NodeId("n1");
    digest.life = sampleRun;
    digest.number = 2;
    digest.taking = {{NodeId("n1"), true}, {NodeId("n2"), false}};
    digest.running = {{VmId("s1"), 3}};
    digest.demand = {{ModelId("large"), 9.5}};
    digest.suspects = {{VmId("s3"), Duration(500)}};
    digest.recentProgress = {{VmId("s1"), Duration(6)}};
    digest.leaving = {{VmId("s4"), 104}};
    digest.quarantine = sampleNews();
    digest.limits = sampleLimits();
    digest.cut = {NodeId("n2")};
    digest.writeRefused = {NodeId("n1")};
    digest.closedGroups = {{VmId("s5"), {104, GroupId("g1"), Generation(3), Duration(40)}}};
    digest.clock = timePoint(7'000);
    digest.held = Revision(8);
    digest.relayed = true;
    return digest;
}

PermitMessage samplePermits()
{
    PermitMessage message;
    message.from = NodeId("n1");
    message.life = sampleRun;
    message.clock = timePoint(7'000);
    message.echo = timePoint(8'000);
    message.limits = sampleLimits();
    message.requests = {{VmId("s1"), 2}};
    message.grants = {{PermitNumber(3), VmId("s2")}};
    message.denials = {{VmId("s3"), Duration(400)}};
    message.settled = {{PermitNumber(5), Duration(60)}, {PermitNumber(6), std::nullopt}};
    return message;
}

StoreFeed sampleFeed()
{
    StoreFeed feed;
    feed.from = Revision(10);
    feed.to = Revision(12);
    feed.changes = {{"servers/s1", Revision(11), false, "{\"born\":1}"},
                    {"servers/s2", Revision(12), true, ""}};
    feed.echo = timePoint(7'000);
    feed.proofAge = Duration(30);
    return feed;
}

MembershipRecord sampleRecord()
{
    return {NodeId("n1"), ZoneId("za"), Address("127.0.0.1:8200"), Address("127.0.0.1:7340"), 0.5};
}

FormationPlan samplePlan()
{
    FormationPlan plan;
    plan.generation = Generation(7);
    plan.promised = ModelId("small");
    plan.groups = {{GroupId("d/1"),
                    Generation(6),
                    ModelId("large"),
                    {{VmId("s1"), 101}, {VmId("s2"), 102}},
                    true}};
    return plan;
}

QuarantinedPart sampleQuarantine()
{
    return {Duration(19'000), 3};
}

std::map<std::string, std::string> writeSamples()
{
    EventLoop loop;
    const PlainSocket receiver;
    const Address senderAddress = PlainSocket().address();
    PulseSocket sender(loop, senderAddress, {});
    std::map<std::string, std::string> samples;
    sender.send(samplePulse(), {receiver.address()});
    samples["pulse"] = receiver.receive();
    sender.send(sampleDigest(), {receiver.address()});
    samples["digest"] = receiver.receive();
    sender.send(samplePermits(), receiver.address());
    samples["permits"] = receiver.receive();
    sender.send(sampleFeed(), receiver.address());
    samples["feed"] = receiver.receive();
    samples["node"] = serializeMembershipRecord(sampleRecord(), sampleRun);
    samples["plan"] = serializePlan(samplePlan());
    samples["quarantine"] = serializeQuarantine(sampleQuarantine(), WallTime(sampleWallTime));
    return samples;
}

} // namespace bramleypitch::test
