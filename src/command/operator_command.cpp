#include "command/operator_command.h"

#include "command/file_func.h"
#include "command/operator_store.h"
#include "coordination/environment_func.h"
#include "platform/platform_dialect.h"
#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <random>

namespace bramleypitch {

namespace {

ChangeOrigin makeChangeOrigin(const Settings &settings)
{
    std::random_device device;
    const std::uint64_t high = device();
    ChangeOrigin origin;
    origin.who = settings.text(Setting::Operator);
    origin.when = EventLoop().wallTime();
    origin.nonce = Nonce(origin.who + "-" + std::to_string((high << 32U) | device()));
    return origin;
}

const std::string &singleOperand(const Settings &settings, const char *description)
{
    if (settings.operands().size() != 1)
        throw Failure(ErrorCode::MissingSetting,
                      std::string("exactly one ") + description + " must be given");
    return settings.operands().front();
}

void rejectOperands(const Settings &settings)
{
    if (!settings.operands().empty())
        throw Failure(ErrorCode::UnknownFlag,
                      settings.operands().front() + " is an unexpected argument");
}

Settings parseOperatorSettings(const std::vector<std::string> &arguments)
{
    return {arguments, {Setting::Platform, Setting::Environment}};
}

void printChanges(const AuditRecord &audit)
{
    for (const std::string &change : audit.changes)
        std::cout << "  " << change << "\n";
}

/// Prints which items of a serving configuration cannot be read. Throws Failure if there are any.
void checkServingConfiguration(const std::string &document)
{
    const ServingConfiguration configuration = platform::readConfiguration(document);
    for (const std::string &place : configuration.unreadablePlaces)
        std::cout << "  " << place << "\n";
    if (configuration.unreadableItems > 0)
        throw Failure(ErrorCode::DocumentInvalid,
                      std::to_string(configuration.unreadableItems)
                          + " items cannot be read and would grant nothing");
    std::cout << "version " << configuration.version << " is valid: " << configuration.routes.size()
              << " routes, " << configuration.services.size() << " services, "
              << configuration.keys.size() << " keys\n";
}

/// Builds the change that `apply` executes and `check` only prints.
EnvelopeChange buildDocumentChange(const Settings &settings, OperatorStore &store)
{
    const std::string document = readFile(singleOperand(settings, "document"));
    const EnvironmentId environment(settings.text(Setting::Environment));
    return applyDocument(environment, document, store.read(Stage::Trial),
                         makeChangeOrigin(settings));
}

void changeZoneState(const std::vector<std::string> &arguments, ZoneState state)
{
    const Settings settings = parseOperatorSettings(arguments);
    OperatorStore store(settings);
    const ZoneId zone(singleOperand(settings, "availability zone"));
    const EnvelopeChange change =
        changeZone(zone, state, store.read(Stage::Production), makeChangeOrigin(settings));
    const Revision revision = store.execute(change);
    std::cout << zone.value() << (state == ZoneState::Out ? " is out of service" : " is in service")
              << " as of production revision " << revision.value() << "\n";
}

void printStage(OperatorStore &store, Stage stage)
{
    const StoredEnvelope stored = store.read(stage);
    std::cout << stageName(stage) << ": ";
    if (!stored.envelope) {
        std::cout << "no document\n";
        return;
    }
    const AuditRecord &audit = stored.envelope->audit;
    std::cout << "revision " << stored.revision.value() << ", " << audit.action << " by "
              << audit.who;
    if (stored.envelope->promotedFrom.value() != 0)
        std::cout << ", from trial revision " << stored.envelope->promotedFrom.value();
    for (const ZoneId &zone : stored.envelope->zonesOut)
        std::cout << ", " << zone.value() << " is out of service";
    std::cout << "\n";
}

void printNode(OperatorStore &store, const NodeRecord &node)
{
    std::cout << "node " << node.node.value() << " (" << node.zone.value() << ", "
              << node.entryAddress.value() << "): ";
    const std::optional<std::string> statusText = store.fetchNodeStatus(node.entryAddress);
    const auto status = nlohmann::json::parse(statusText.value_or(""), nullptr, false);
    if (!status.is_object()) {
        std::cout << "did not respond\n";
        return;
    }
    std::size_t open = 0;
    for (const nlohmann::json &group : status["groups"])
        open += group["gate"] == "open" ? 1 : 0;
    std::cout << "revision " << status["configuration_revision"] << " in force, "
              << (status["accepting"] == true ? "accepting" : "not accepting") << ", " << open
              << " of " << status["groups"].size() << " groups and servers open\n";
}

} // namespace

void runCheck(const std::vector<std::string> &arguments)
{
    // A serving configuration stands alone and is checked without the platform's address.
    if (arguments.size() == 1 && arguments.front().compare(0, 1, "-") != 0) {
        const std::string document = readFile(arguments.front());
        if (platform::isConfiguration(document)) {
            checkServingConfiguration(document);
            return;
        }
    }
    const Settings settings = parseOperatorSettings(arguments);
    OperatorStore store(settings);
    const EnvelopeChange change = buildDocumentChange(settings, store);
    std::cout << "the document is valid; apply would change "
              << change.envelope.audit.changes.size() << " fields of trial revision "
              << change.expected.value() << "\n";
    printChanges(change.envelope.audit);
}

void runApply(const std::vector<std::string> &arguments)
{
    const Settings settings = parseOperatorSettings(arguments);
    OperatorStore store(settings);
    const EnvelopeChange change = buildDocumentChange(settings, store);
    const Revision revision = store.execute(change);
    std::cout << "trial is at revision " << revision.value() << "\n";
    printChanges(change.envelope.audit);
}

void runPromote(const std::vector<std::string> &arguments)
{
    const Settings settings = parseOperatorSettings(arguments);
    rejectOperands(settings);
    OperatorStore store(settings);
    const EnvelopeChange change = promoteTrial(
        store.read(Stage::Trial), store.read(Stage::Production), makeChangeOrigin(settings));
    const Revision revision = store.execute(change);
    std::cout << "production is at revision " << revision.value() << ", from trial revision "
              << change.envelope.promotedFrom.value() << "\n";
    printChanges(change.envelope.audit);
}

void runDrain(const std::vector<std::string> &arguments)
{
    changeZoneState(arguments, ZoneState::Out);
}

void runRestore(const std::vector<std::string> &arguments)
{
    changeZoneState(arguments, ZoneState::In);
}

void runStatus(const std::vector<std::string> &arguments)
{
    const Settings settings = parseOperatorSettings(arguments);
    rejectOperands(settings);
    OperatorStore store(settings);
    printStage(store, Stage::Trial);
    printStage(store, Stage::Production);
    for (const NodeRecord &node : store.nodes())
        printNode(store, node);
}

void runAudit(const std::vector<std::string> &arguments)
{
    const Settings settings = parseOperatorSettings(arguments);
    rejectOperands(settings);
    OperatorStore store(settings);
    for (const Stage stage : {Stage::Trial, Stage::Production}) {
        for (const AcceptedChange &change : store.audit(stage)) {
            const AuditRecord &audit = change.audit;
            std::cout << stageName(stage) << " revision " << change.revision.value() << " from "
                      << audit.from.value() << ": " << audit.action << " by " << audit.who << " at "
                      << audit.when.value() << " ms";
            if (audit.trialRevision.value() != 0)
                std::cout << ", trial revision " << audit.trialRevision.value();
            std::cout << "\n";
            printChanges(audit);
        }
    }
}

} // namespace bramleypitch
