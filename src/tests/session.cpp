#include "session.h"

#include "coordination/environment_func.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace bramleypitch::test {

namespace {

/// Monotonic time in milliseconds at which a session starts.
constexpr std::int64_t startTime = 100'000;

const char *const document = R"({
  "environment": "e",
  "availability_zones": [{"name": "za", "region": "r"}, {"name": "zb", "region": "r"}],
  "organisations": [{"name": "o", "keys": ["k"]}],
  "model_groups": [{"name": "m", "model": "weights", "span": 2, "concurrency": 4,
    "cold_allowance": 1, "warm_after": 3, "deadline_ms": 8000, "checks_fencing": true,
    "first_token_deadline_ms": 1000, "fabric_domains": ["da", "db"]}],
  "services": [{"name": "s", "once": [{"method": "POST", "path_prefix": "/pay"}],
    "warm_after": 0, "deadline_ms": 3000}]})";

/// Joins the parts with spaces, except after a part that ends in `=`; `-` stands for an empty part.
template<typename... Parts>
std::string joinParts(const Parts &...parts)
{
    std::string text;
    const auto add = [&](const auto &part) {
        std::ostringstream out;
        out << part;
        if (!text.empty() && text.back() != '=')
            text += ' ';
        text += out.str().empty() ? "-" : out.str();
    };
    (add(parts), ...);
    return text;
}

std::string attemptName(RequestId request, AttemptNumber attempt)
{
    return "request=" + std::to_string(request.value()) + "/" + std::to_string(attempt.value());
}

const char *yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string outcomeName(SwapOutcome outcome)
{
    return outcome == SwapOutcome::Written ? "written"
        : outcome == SwapOutcome::Conflict ? "conflict"
                                           : "unknown";
}

const char *orderName(OrderKind kind)
{
    return kind == OrderKind::Load ? "load" : kind == OrderKind::Release ? "release" : "prefetch";
}

std::string verbName(LedgerVerb verb)
{
    return verb == LedgerVerb::Claim ? "claim" : verb == LedgerVerb::Record ? "record" : "abandon";
}

std::string answerName(LedgerAnswer answer)
{
    static const char *const names[] = {"granted",    "recorded", "repeat",     "in_progress",
                                        "key_reused", "full",     "unavailable"};
    return names[static_cast<std::size_t>(answer)];
}

/// Describes events and actions, with one overload for each type.
struct Describer
{
    std::string operator()(const Tick &) const { return "tick"; }
    std::string operator()(const SharedRead &e) const
    {
        std::string text = joinParts("shared_read ok=", yesNo(e.ok));
        for (const SharedValue &value : e.values)
            text += " " + value.key + "@" + std::to_string(value.revision.value());
        return text;
    }
    std::string operator()(const SharedWatchUpdated &) const { return "shared_watched"; }
    std::string operator()(const SharedPulled &e) const
    {
        return joinParts("shared_pulled newest=", e.newest.value(), "age=", e.evidenceAge.count());
    }
    std::string operator()(const NodesRead &e) const
    {
        std::string text = "nodes_read";
        for (const NodeRecord &node : e.nodes)
            text += " " + node.node.value() + "@" + std::to_string(node.incarnation.value());
        return text;
    }
    std::string operator()(const KeyRead &e) const
    {
        return joinParts("key_read ok=", yesNo(e.ok), "revision=", e.revision.value());
    }
    std::string operator()(const SwapDone &e) const
    {
        return joinParts("swap_done", outcomeName(e.outcome), "revision=", e.revision.value());
    }
    std::string operator()(const LeaseRenewed &e) const
    {
        return joinParts("lease_renewed ok=", yesNo(e.ok), "incarnation=", e.incarnation.value(),
                         "sent_at=", milliseconds(e.sentAt));
    }
    std::string operator()(const VmListRead &e) const
    {
        std::string text = "vm_list_read";
        for (const VmRecord &vm : e.vms)
            text += " " + vm.id.value() + (vm.leaving ? "(leaving)" : "");
        return text;
    }
    std::string operator()(const ProbeDone &e) const
    {
        return joinParts("probe_done", e.vm.value(), "ok=", yesNo(e.ok),
                         "boot=", e.report.boot.value(), "group=", e.report.group.value(),
                         "generation=", e.report.generation.value(),
                         "completed=", e.report.completed, "running=", e.report.running,
                         "sent_at=", milliseconds(e.sentAt));
    }
    std::string operator()(const OrderDone &e) const
    {
        return joinParts("order_done", e.vm.value(), "ok=", yesNo(e.ok));
    }
    std::string operator()(const HeartbeatReceived &e) const
    {
        return joinParts("heartbeat_received from=", e.heartbeat.from.value(),
                         "newest=", e.heartbeat.newest.value());
    }
    std::string operator()(const LedgerRequested &e) const
    {
        return joinParts("ledger_asked", verbName(e.request.verb), e.request.key.value());
    }
    std::string operator()(const LedgerReplied &e) const
    {
        return joinParts("ledger_answered", answerName(e.reply.answer));
    }
    std::string operator()(const CompletionRequested &e) const
    {
        return joinParts("completion_asked request=", e.request.value(), "prompt=", e.prompt,
                         "max_tokens=", e.maxTokens);
    }
    std::string operator()(const ServiceRequested &e) const
    {
        return joinParts("service_asked request=", e.request.value(), e.method, e.path,
                         "key=", e.idempotencyKey, "first=", yesNo(e.firstAttempt));
    }
    std::string operator()(const CallerDisconnected &e) const
    {
        return joinParts("caller_gone request=", e.request.value());
    }
    std::string operator()(const EngineToken &e) const
    {
        return joinParts("engine_token", attemptName(e.request, e.attempt), "index=", e.index,
                         "text=", e.text);
    }
    std::string operator()(const EngineEnd &e) const
    {
        return joinParts("engine_end", attemptName(e.request, e.attempt), "count=", e.count);
    }
    std::string operator()(const AttemptFailed &e) const
    {
        return joinParts("attempt_broken", attemptName(e.request, e.attempt),
                         "sent=", yesNo(e.sent));
    }
    std::string operator()(const ServiceResponded &e) const
    {
        return joinParts("service_answered", attemptName(e.request, e.attempt),
                         "status=", e.outcome.status, "body=", e.outcome.body);
    }
    std::string operator()(const StopRequested &) const { return "stop_asked"; }

    std::string operator()(const ReadShared &a) const
    {
        return joinParts("read_shared above=", a.above.value());
    }
    std::string operator()(const WatchShared &) const { return "watch_shared"; }
    std::string operator()(const ReadNodes &) const { return "read_nodes"; }
    std::string operator()(const ReadKey &a) const { return joinParts("read_key", a.key); }
    std::string operator()(const CompareAndSwap &a) const
    {
        return joinParts("compare_and_swap", a.key, "expected=", a.expected.value(), a.value);
    }
    std::string operator()(const RenewLease &) const { return "renew_lease"; }
    std::string operator()(const ReleaseLease &) const { return "release_lease"; }
    std::string operator()(const ReadVmList &) const { return "read_vm_list"; }
    std::string operator()(const SendProbe &a) const
    {
        return joinParts("send_probe", a.vm.value());
    }
    std::string operator()(const SendOrder &a) const
    {
        return joinParts("send_order", a.vm.value(), orderName(a.kind), "group=", a.group.value(),
                         "generation=", a.generation.value());
    }
    std::string operator()(const SendHeartbeat &a) const
    {
        return joinParts("send_heartbeat", a.to.value(), "newest=", a.heartbeat.newest.value());
    }
    std::string operator()(const PullShared &a) const
    {
        return joinParts("pull_shared", a.peer.value(), "above=", a.above.value());
    }
    std::string operator()(const SendLedgerRequest &a) const
    {
        return joinParts("send_ledger", a.peer.value(), verbName(a.request.verb));
    }
    std::string operator()(const SendLedgerReply &a) const
    {
        return joinParts("answer_ledger", answerName(a.reply.answer));
    }
    std::string operator()(const DispatchCompletion &a) const
    {
        return joinParts("dispatch_engine", attemptName(a.request, a.attempt), a.vm.value(),
                         "group=", a.group.value(), "generation=", a.generation.value(),
                         "resume_from=", a.resumeFrom);
    }
    std::string operator()(const DispatchServiceCall &a) const
    {
        return joinParts("dispatch_service", attemptName(a.request, a.attempt), a.vm.value(),
                         a.method, a.path, "key=", a.idempotencyKey);
    }
    std::string operator()(const CancelAttempt &a) const
    {
        return joinParts("cancel_attempt", attemptName(a.request, a.attempt));
    }
    std::string operator()(const ForwardToken &a) const
    {
        return joinParts("answer_token request=", a.request.value(), "text=", a.text);
    }
    std::string operator()(const ForwardEnd &a) const
    {
        return joinParts("answer_end request=", a.request.value(), "tokens=", a.tokens);
    }
    std::string operator()(const ForwardServiceResponse &a) const
    {
        return joinParts("answer_service request=", a.request.value(), "status=", a.outcome.status,
                         "body=", a.outcome.body, "repeated=", yesNo(a.repeated));
    }
    std::string operator()(const Refuse &a) const
    {
        return joinParts("refuse request=", a.request.value(), errorName(a.code),
                         a.run == RunOutcome::NotRun ? "not_run" : "may_have_run",
                         "retry_after=", a.retryAfter ? a.retryAfter->count() : 0);
    }
    std::string operator()(const LogChange &a) const { return joinParts("log", a.event, a.detail); }
    std::string operator()(const Stopped &) const { return "stopped"; }
};

NodeOptions sessionOptions()
{
    NodeOptions options;
    options.node = NodeId("n0");
    options.environment = EnvironmentId("e");
    options.zone = ZoneId("za");
    options.entryAddress = Address("10.0.0.1:80");
    options.peerAddress = Address("10.0.0.1:81");
    options.seed = 1;
    return options;
}

VmRecord vmRecord(const std::string &name, const std::string &zone, const std::string &domain)
{
    VmRecord vm;
    vm.id = VmId(name);
    vm.address = Address(name);
    vm.zone = ZoneId(zone);
    vm.domain = DomainId(domain);
    return vm;
}

SharedValue placementValue(const std::string &domain, std::int64_t revision,
                           const std::string &target, const std::vector<std::string> &members)
{
    DomainPlacement placement;
    placement.domain = DomainId(domain);
    placement.nextGeneration = 2;
    PlacedGroup group;
    group.id = GroupId(domain + "/1");
    group.environment = EnvironmentId("e");
    group.target = target;
    group.generation = Generation(1);
    for (const std::string &member : members)
        group.members.emplace_back(member);
    group.home = NodeId("n0");
    group.homeIncarnation = Incarnation(5);
    placement.groups.push_back(group);
    return {placementKey(placement.domain), Revision(revision), serializePlacement(placement)};
}

OperationId operationOf(const Action &action)
{
    return std::visit(
        [](const auto &specific) -> OperationId {
            if constexpr (requires { specific.operation; })
                return specific.operation;
            else
                return {};
        },
        action);
}

} // namespace

std::string describe(const Event &event)
{
    return std::visit(Describer(), event);
}

std::string describe(const Action &action)
{
    return std::visit(Describer(), action);
}

Session::Session()
    : m_node(sessionOptions())
{
}

void Session::addNote(const std::string &text)
{
    m_text += "# " + text + "\n";
}

void Session::at(std::int64_t time, const Event &event)
{
    m_text += std::to_string(time) + " > " + describe(event) + "\n";
    for (const Action &action : m_node.handle(event, timePoint(startTime + time))) {
        m_text += std::to_string(time) + " < " + describe(action) + "\n";
        if (std::holds_alternative<ReadShared>(action))
            m_readOperation = operationOf(action);
        else if (operationOf(action) != OperationId())
            m_lastOperation = operationOf(action);
        if (const auto *swap = std::get_if<CompareAndSwap>(&action))
            m_pendingSwaps.push_back(*swap);
        if (const auto *order = std::get_if<SendOrder>(&action))
            m_pendingOrders.push_back(*order);
    }
}

SharedValue Session::configuration(std::int64_t revision, const std::string &zonesOut)
{
    Envelope envelope;
    envelope.environment = parseEnvironment(document);
    envelope.nonce = Nonce("w");
    for (const auto &zone : nlohmann::json::parse(zonesOut))
        envelope.zonesOut.push_back(zone.get<ZoneId>());
    return {configurationKey(EnvironmentId("e"), Stage::Production), Revision(revision),
            serializeEnvelope(envelope)};
}

void Session::readShared(std::int64_t time, const std::vector<SharedValue> &values)
{
    at(time, SharedRead {m_readOperation, true, values, timePoint(startTime + time - 2)});
}

void Session::startWithGroups(const std::string &zonesOut, bool warm)
{
    m_warm = warm;
    at(0, Tick {WallTime(1'000)});
    readShared(2,
               {configuration(3, zonesOut), placementValue("da", 4, "m", {"a1", "a2"}),
                placementValue("db", 5, "m", {"b1", "b2"}),
                placementValue("service/s", 6, "s", {"s1"})});
    receiveLeaseAndVmList();
    confirmAll(4);
}

void Session::confirm(std::int64_t time, const std::string &vm, const std::string &group,
                      std::uint64_t generation, std::uint32_t completed, const std::string &boot)
{
    ProbeDone done;
    done.vm = VmId(vm);
    done.ok = true;
    done.report.boot = BootId(boot);
    done.report.state = EngineState::Ready;
    done.report.group = GroupId(group);
    done.report.generation = Generation(generation);
    done.report.heldModel = "weights";
    done.report.completed = completed;
    done.sentAt = timePoint(startTime + time - 1);
    at(time, done);
}

void Session::receiveLeaseAndVmList()
{
    at(2,
       LeaseRenewed {OperationId(), true, Incarnation(5), timePoint(startTime), Duration(10'000)});
    VmListRead list {OperationId(), true, {}};
    list.vms = {vmRecord("a1", "za", "da"), vmRecord("a2", "za", "da"), vmRecord("b1", "zb", "db"),
                vmRecord("b2", "zb", "db"), vmRecord("s1", "za", "service/s")};
    at(2, list);
}

void Session::startWithoutGroups()
{
    at(0, Tick {WallTime(1'000)});
    readShared(2, {configuration(3, "[]")});
    receiveLeaseAndVmList();
}

void Session::completeWrites(std::int64_t time)
{
    std::vector<CompareAndSwap> swaps;
    swaps.swap(m_pendingSwaps);
    std::vector<SharedValue> values;
    for (const CompareAndSwap &swap : swaps) {
        const Revision revision(++m_revision);
        if (swap.key.rfind(sharedPrefix, 0) == 0)
            values.push_back({swap.key, revision, swap.value});
        at(time, SwapDone {swap.operation, SwapOutcome::Written, revision, {}});
    }
    at(time + 20, Tick {WallTime(1'020 + time)});
    readShared(time + 22, values);
}

void Session::completeOrders(std::int64_t time)
{
    std::vector<SendOrder> orders;
    orders.swap(m_pendingOrders);
    for (const SendOrder &order : orders) {
        at(time, OrderDone {order.operation, order.vm, true});
        confirm(time + 1, order.vm.value(), order.group.value(), order.generation.value(), 0);
    }
}

void Session::confirmAll(std::int64_t time)
{
    const std::uint32_t completed = m_warm ? 9 : 0;
    for (const std::string vm : {"a1", "a2"})
        confirm(time, vm, "da/1", 1, completed);
    for (const std::string vm : {"b1", "b2"})
        confirm(time, vm, "db/1", 1, completed);
    confirm(time, "s1", "", 0, completed);
}

void Session::requestCompletion(std::int64_t time, std::uint64_t request, const std::string &prompt)
{
    CompletionRequested requested;
    requested.request = RequestId(request);
    requested.key = "k";
    requested.model = ModelGroupId("m");
    requested.prompt = prompt;
    requested.maxTokens = 3;
    at(time, requested);
}

void Session::requestPayment(std::int64_t time, std::uint64_t request, const std::string &key,
                             bool first)
{
    ServiceRequested requested;
    requested.request = RequestId(request);
    requested.key = "k";
    requested.service = ServiceId("s");
    requested.method = "POST";
    requested.path = "/pay";
    requested.body = "100";
    requested.idempotencyKey = key;
    requested.firstAttempt = first;
    at(time, requested);
}

void expectGolden(const Session &session, const std::string &name)
{
    const std::string path = "golden/" + name + ".txt";
    if (std::getenv("UPDATE_GOLDEN")) {
        std::ofstream(path, std::ios::binary) << session.text();
        return;
    }
    std::ifstream file(path, std::ios::binary);
    ASSERT_TRUE(file.good()) << path;
    std::ostringstream golden;
    golden << file.rdbuf();
    EXPECT_EQ(session.text(), golden.str());
}

} // namespace bramleypitch::test
