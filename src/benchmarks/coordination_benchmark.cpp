// Measures how the cost of the coordination library grows with the size of the fleet. The results
// are in docs/CAPACITY.md. Run with:
//   build/src/benchmarks/coordination_benchmark

#include "coordination/environment_func.h"
#include "coordination/node.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

namespace bramleypitch {

namespace {

constexpr std::int64_t startTimeMs = 100'000;
constexpr std::uint32_t span = 8; ///< VMs per group.
constexpr std::uint32_t vmsPerDomain = 64;
constexpr std::uint32_t zones = 19;

std::string zoneName(std::uint32_t number)
{
    return "z" + std::to_string(number % zones);
}

std::string domainName(std::uint32_t number)
{
    return "d" + std::to_string(number);
}

/// Returns a configuration whose only model group covers the fabric domains of this many servers.
Envelope envelopeFor(std::uint32_t servers)
{
    nlohmann::json document {{"environment", "e"}};
    for (std::uint32_t zone = 0; zone < zones; ++zone)
        document["availability_zones"].push_back({{"name", zoneName(zone)}, {"region", "r"}});
    for (int number = 0; number < 10; ++number)
        document["organisations"].push_back({{"name", "o" + std::to_string(number)},
                                             {"keys", {"k" + std::to_string(number)}},
                                             {"max_queued", 100'000},
                                             {"max_running", 100'000}});
    nlohmann::json group {{"name", "m"},           {"model", "w"},        {"span", span},
                          {"concurrency", 64},     {"cold_allowance", 1}, {"warm_after", 0},
                          {"checks_fencing", true}};
    for (std::uint32_t domain = 0; domain * vmsPerDomain < servers; ++domain)
        group["fabric_domains"].push_back(domainName(domain));
    document["model_groups"].push_back(group);
    Envelope envelope;
    envelope.environment = parseEnvironment(document.dump());
    envelope.nonce = Nonce("n");
    return envelope;
}

/// Returns the VM list of a fleet of this many servers.
std::vector<VmRecord> vmsFor(std::uint32_t servers)
{
    std::vector<VmRecord> vms;
    for (std::uint32_t number = 0; number < servers; ++number) {
        VmRecord vm;
        vm.id = VmId("vm-" + std::to_string(number));
        vm.address = Address("10.0.0.1:" + std::to_string(number));
        vm.domain = DomainId(domainName(number / vmsPerDomain));
        vm.zone = ZoneId(zoneName(number / vmsPerDomain));
        vms.push_back(vm);
    }
    return vms;
}

/// Returns a placement that fills the fabric domain with groups.
DomainPlacement placementFor(std::uint32_t domain, std::uint32_t servers)
{
    DomainPlacement placement;
    placement.domain = DomainId(domainName(domain));
    const std::uint32_t first = domain * vmsPerDomain;
    const std::uint32_t last = std::min(servers, first + vmsPerDomain);
    for (std::uint32_t vm = first; vm + span <= last; vm += span) {
        PlacedGroup group;
        group.generation = Generation(placement.nextGeneration++);
        group.id = GroupId(domainName(domain) + "/" + std::to_string(group.generation.value()));
        group.environment = EnvironmentId("e");
        group.target = "m";
        group.home = NodeId("n0");
        for (std::uint32_t i = 0; i < span; ++i)
            group.members.emplace_back("vm-" + std::to_string(vm + i));
        placement.groups.push_back(group);
    }
    return placement;
}

/// Returns the membership entry of a peer node with the given heartbeat counter.
MemberEntry memberEntry(std::uint32_t number, std::int64_t counter)
{
    MemberEntry entry;
    entry.node = NodeId("node-" + std::to_string(number));
    entry.incarnation = Incarnation(1'000 + number);
    entry.counter = counter;
    entry.entryAddress = entry.peerAddress = Address("10.0.0.1:8000");
    entry.zone = ZoneId(zoneName(number));
    return entry;
}

/// A node in the steady state of a running fleet: it has the configuration, all placements, the VM
/// list and the membership, and every VM that it routes to has confirmed its group.
class Fleet
{
public:
    Fleet(std::uint32_t nodes, std::uint32_t servers)
        : m_nodes(nodes)
        , m_node(options())
    {
        tick(0);
        SharedRead read {m_readOperation, true, {}, timePoint(startTimeMs)};
        read.values.push_back({configurationKey(EnvironmentId("e"), Stage::Production), Revision(2),
                               serializeEnvelope(envelopeFor(servers))});
        for (std::uint32_t domain = 0; domain * vmsPerDomain < servers; ++domain)
            read.values.push_back({placementKey(DomainId(domainName(domain))), Revision(3 + domain),
                                   serializePlacement(placementFor(domain, servers))});
        m_node.handle(read, timePoint(startTimeMs));
        m_node.handle(VmListRead {OperationId(), true, vmsFor(servers)}, timePoint(startTimeMs));
        deliverHeartbeats(0);
    }

    /// Delivers heartbeats in which the counter of every peer has advanced. A heartbeat carries as
    /// many entries as in production.
    void deliverHeartbeats(std::int64_t time)
    {
        constexpr std::uint32_t entriesPerHeartbeat = 64;
        ++m_counter;
        for (std::uint32_t first = 1; first < m_nodes; first += entriesPerHeartbeat) {
            Heartbeat heartbeat;
            const std::uint32_t last = std::min(m_nodes, first + entriesPerHeartbeat);
            for (std::uint32_t number = first; number < last; ++number)
                heartbeat.members.push_back(memberEntry(number, m_counter));
            m_node.handle(HeartbeatReceived {heartbeat, timePoint(startTimeMs + time), false},
                          timePoint(startTimeMs + time));
        }
    }

    Node &node() { return m_node; }

    /// Runs one tick and answers every probe immediately. Returns the number of probes.
    std::size_t tick(std::int64_t time)
    {
        const Actions actions = m_node.handle(Tick {WallTime(time)}, timePoint(startTimeMs + time));
        std::size_t probes = 0;
        for (const Action &action : actions) {
            if (const auto *read = std::get_if<ReadShared>(&action))
                m_readOperation = read->operation;
            const auto *probe = std::get_if<SendProbe>(&action);
            if (!probe)
                continue;
            ++probes;
            confirmGroup(probe->vm, time);
        }
        return probes;
    }

    /// Delivers a read of the shared values without changes, which proves that the configuration is
    /// current.
    void refreshConfiguration(std::int64_t time)
    {
        m_node.handle(SharedRead {m_readOperation, true, {}, timePoint(startTimeMs + time)},
                      timePoint(startTimeMs + time));
    }

private:
    static NodeOptions options()
    {
        NodeOptions result;
        result.node = NodeId("n0");
        result.environment = EnvironmentId("e");
        result.zone = ZoneId("z0");
        return result;
    }

    /// Delivers a probe result in which the VM confirms the group that it is placed in.
    void confirmGroup(const VmId &vm, std::int64_t time)
    {
        const auto number = static_cast<std::uint32_t>(std::stoul(vm.value().substr(3)));
        ProbeDone done;
        done.vm = vm;
        done.ok = true;
        done.report.state = EngineState::Ready;
        const std::uint32_t inDomain = number % vmsPerDomain;
        done.report.generation = Generation(1 + inDomain / span);
        done.report.group =
            GroupId(domainName(number / vmsPerDomain) + "/" + std::to_string(1 + inDomain / span));
        done.report.heldModel = "w";
        done.sentAt = timePoint(startTimeMs + time);
        m_node.handle(done, timePoint(startTimeMs + time));
    }

    std::uint32_t m_nodes;
    std::int64_t m_counter = 0;
    Node m_node;
    OperationId m_readOperation;
};

/// Control work of a node in one second: 50 ticks, the results of its probes, one refresh of the
/// configuration and heartbeats about all members.
void controlSecond(benchmark::State &state)
{
    Fleet fleet(static_cast<std::uint32_t>(state.range(0)),
                static_cast<std::uint32_t>(state.range(1)));
    std::int64_t time = 20;
    std::size_t probes = 0;
    for (auto _ : state) {
        for (int tick = 0; tick < 50; ++tick, time += 20)
            probes += fleet.tick(time);
        fleet.refreshConfiguration(time);
        fleet.deliverHeartbeats(time);
    }
    state.counters["probes"] =
        static_cast<double>(probes) / static_cast<double>(state.iterations());
}
BENCHMARK(controlSecond)
    ->Args({10, 60})
    ->Args({10, 600})
    ->Args({100, 3'000})
    ->Args({390, 12'000})
    ->Unit(benchmark::kMillisecond);

/// Processing a received heartbeat and building the reply.
void heartbeat(benchmark::State &state)
{
    const auto nodes = static_cast<std::uint32_t>(state.range(0));
    Fleet fleet(nodes, 60);
    std::int64_t counter = 2;
    for (auto _ : state) {
        Heartbeat received;
        received.from = NodeId("node-1");
        for (std::uint32_t i = 1; i < std::min<std::uint32_t>(nodes, 64); ++i)
            received.members.push_back(memberEntry(i, counter));
        ++counter;
        fleet.node().handle(HeartbeatReceived {received, timePoint(startTimeMs), false},
                            timePoint(startTimeMs + 1));
        benchmark::DoNotOptimize(fleet.node().heartbeatReply(timePoint(startTimeMs + 1)));
    }
}
BENCHMARK(heartbeat)->Arg(10)->Arg(100)->Arg(390)->Unit(benchmark::kMicrosecond);

/// Handling a completion of 32 tokens, from the arrival of the request to the end of the stream.
void completion(benchmark::State &state)
{
    Fleet fleet(10, static_cast<std::uint32_t>(state.range(0)));
    constexpr std::uint32_t tokens = 32;
    const std::int64_t time = 200;
    fleet.tick(time);
    fleet.refreshConfiguration(time);
    std::uint64_t request = 0;
    std::uint64_t answered = 0;
    for (auto _ : state) {
        CompletionRequested completionRequest;
        completionRequest.request = RequestId(++request);
        completionRequest.key = "k1";
        completionRequest.model = ModelGroupId("m");
        completionRequest.prompt = "prompt " + std::to_string(request);
        completionRequest.maxTokens = tokens;
        const TimePoint now = timePoint(startTimeMs + time);
        fleet.node().handle(completionRequest, now);
        for (std::uint32_t index = 0; index < tokens; ++index)
            fleet.node().handle(
                EngineToken {completionRequest.request, AttemptNumber(1), index, "word "}, now);
        const Actions end = fleet.node().handle(
            EngineEnd {completionRequest.request, AttemptNumber(1), tokens}, now);
        answered += end.size();
    }
    if (answered < request)
        state.SkipWithError("completions were not answered");
}
BENCHMARK(completion)->Arg(64)->Arg(640)->Arg(12'000)->Unit(benchmark::kMicrosecond);

/// Planning a fabric domain whose placement needs no change.
void planQuietDomain(benchmark::State &state)
{
    const auto servers = static_cast<std::uint32_t>(state.range(0));
    Fleet fleet(10, servers);
    fleet.tick(200);
    const Envelope envelope = envelopeFor(servers);
    const DomainPlacement placement = placementFor(0, servers);
    PlanInput input;
    input.domain = placement.domain;
    input.envelope = &envelope;
    input.vms = &fleet.node().state().vms;
    input.nodes.push_back({NodeId("n0"), Incarnation(), {}, {}, ZoneId("z0")});
    for (auto _ : state)
        benchmark::DoNotOptimize(planDomain(placement, input, {}, timePoint(startTimeMs + 210)));
}
BENCHMARK(planQuietDomain)->Arg(60)->Arg(600)->Arg(12'000)->Unit(benchmark::kMicrosecond);

/// Applying a batch of ten claims to a ledger segment head with this many records, and serializing
/// the new head.
void ledgerBatch(benchmark::State &state)
{
    SegmentHead head;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        LedgerRecord record;
        record.key = ledgerKey("o", "s", std::to_string(i));
        record.digest = "0123456789abcdef";
        record.claim = ClaimId("node-1/1000/" + std::to_string(i));
        head.records.push_back(record);
    }
    std::vector<LedgerRequest> requests(10);
    std::int64_t number = 1'000'000;
    std::size_t bytes = 0;
    for (auto _ : state) {
        for (LedgerRequest &request : requests) {
            request.key = ledgerKey("o", "s", std::to_string(++number));
            request.claim = ClaimId("c");
        }
        const LedgerBatch batch = applyRequests(head, {}, requests, {});
        bytes = serializeHead(batch.head).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ledgerBatch)->Arg(10)->Arg(100)->Arg(400)->Unit(benchmark::kMicrosecond);

/// Processing the complete VM list.
void vmList(benchmark::State &state)
{
    const auto servers = static_cast<std::uint32_t>(state.range(0));
    Fleet fleet(10, servers);
    const VmListRead list {OperationId(), true, vmsFor(servers)};
    for (auto _ : state)
        fleet.node().handle(list, timePoint(startTimeMs + 1));
}
BENCHMARK(vmList)->Arg(60)->Arg(600)->Arg(12'000)->Unit(benchmark::kMicrosecond);

/// Parsing the configuration of a fleet of this many servers.
void configuration(benchmark::State &state)
{
    const std::string text =
        serializeEnvelope(envelopeFor(static_cast<std::uint32_t>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(parseEnvelope(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(configuration)->Arg(60)->Arg(600)->Arg(12'000)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace bramleypitch

BENCHMARK_MAIN();
