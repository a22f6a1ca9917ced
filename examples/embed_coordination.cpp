// Embeds the coordination library without the daemon: a single in-memory node that receives its
// events from this program. The node reads a configuration and the placement of a group of two VMs,
// refuses a completion while only one member has confirmed the group, and dispatches the next one
// as soon as both members have.

#include "coordination/environment_func.h"
#include "coordination/node.h"

#include <iostream>

using namespace bramleypitch;

namespace {

const char *const document = R"({
  "environment": "example",
  "availability_zones": [{"name": "zone-a", "region": "region"}],
  "organisations": [{"name": "shop", "keys": ["secret"]}],
  "model_groups": [{"name": "assistant", "model": "weights-1", "span": 2, "warm_after": 0,
                    "fabric_domains": ["domain-1"]}]})";

/// Returns the configuration and the placement of the group as the platform stores them.
std::vector<SharedValue> sharedValues()
{
    Envelope envelope;
    envelope.environment = parseEnvironment(document);
    DomainPlacement placement;
    placement.domain = DomainId("domain-1");
    PlacedGroup group;
    group.id = GroupId("domain-1/1");
    group.environment = EnvironmentId("example");
    group.target = "assistant";
    group.generation = Generation(1);
    group.members = {VmId("vm-1"), VmId("vm-2")};
    placement.groups.push_back(group);
    return {{configurationKey(envelope.environment.name, Stage::Production), Revision(1),
             serializeEnvelope(envelope)},
            {placementKey(placement.domain), Revision(2), serializePlacement(placement)}};
}

/// Returns the VM list entry of a VM in the example's only fabric domain.
VmRecord vm(const std::string &name)
{
    VmRecord record;
    record.id = VmId(name);
    record.address = Address(name);
    record.zone = ZoneId("zone-a");
    record.domain = DomainId("domain-1");
    return record;
}

/// Returns a successful probe result in which the VM reports that it serves the group.
ProbeDone confirmation(const std::string &name, TimePoint sentAt)
{
    ProbeDone done;
    done.vm = VmId(name);
    done.ok = true;
    done.report.state = EngineState::Ready;
    done.report.group = GroupId("domain-1/1");
    done.report.generation = Generation(1);
    done.sentAt = sentAt;
    return done;
}

/// Prints to which VM the node dispatches the request, or the reason for which it refuses it.
/// Returns whether the request was dispatched.
bool printDecision(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *dispatch = std::get_if<DispatchCompletion>(&action)) {
            std::cout << "dispatch to " << dispatch->vm.value() << " of group "
                      << dispatch->group.value() << "\n";
            return true;
        }
        if (const auto *refuse = std::get_if<Refuse>(&action))
            std::cout << "refused: " << refuse->message << "\n";
    }
    return false;
}

} // namespace

int main()
{
    NodeOptions options;
    options.node = NodeId("node-1");
    options.environment = EnvironmentId("example");
    options.zone = ZoneId("zone-a");
    Node node(options);

    // The library reads no clock: the caller passes the current time, which must not decrease.
    const TimePoint start = timePoint(100'000);
    OperationId readOperation;
    for (const Action &action : node.handle(Tick {WallTime(0)}, start)) {
        if (const auto *readShared = std::get_if<ReadShared>(&action))
            readOperation = readShared->operation;
    }
    node.handle(SharedRead {readOperation, true, sharedValues(), start}, start);
    node.handle(VmListRead {OperationId(), true, {vm("vm-1"), vm("vm-2")}}, start);

    CompletionRequested completionRequest;
    completionRequest.request = RequestId(1);
    completionRequest.key = "secret";
    completionRequest.model = ModelGroupId("assistant");
    completionRequest.prompt = "hello";

    node.handle(confirmation("vm-1", start), start);
    const bool sentToIncompleteGroup = printDecision(node.handle(completionRequest, start));

    node.handle(confirmation("vm-2", start), start);
    completionRequest.request = RequestId(2);
    const bool sentToCompleteGroup = printDecision(node.handle(completionRequest, start));
    return !sentToIncompleteGroup && sentToCompleteGroup ? 0 : 1;
}
