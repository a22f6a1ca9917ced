#include "coordination/environment_func.h"

#include "coordination/document_reader.h"

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr std::int64_t maxCount = 100'000; ///< Upper bound of integer counts in a document.
constexpr std::int64_t maxMilliseconds = 3'600'000; ///< Upper bound of deadlines in a document.
constexpr std::size_t maxChangeLines = 200; ///< Maximum number of lines in an audit record.
constexpr std::size_t maxChangeBytes = 200; ///< Longer lines are truncated to this size.

ZoneSpec readZone(DocumentReader &reader)
{
    ZoneSpec zone;
    zone.name = ZoneId(reader.text("name"));
    zone.region = reader.text("region");
    const std::string state = reader.text("state", false, "in");
    if (state != "in" && state != "out")
        reader.addFault("state", "must be \"in\" or \"out\"");
    zone.state = state == "out" ? ZoneState::Out : ZoneState::In;
    reader.reportUnknownFields();
    return zone;
}

OrganisationSpec readOrganisation(DocumentReader &reader)
{
    OrganisationSpec organisation;
    organisation.name = OrganisationId(reader.text("name"));
    organisation.keys = reader.texts("keys", true);
    organisation.weight = reader.number("weight", organisation.weight, 0.001, 1000);
    organisation.maxQueued = reader.integer("max_queued", organisation.maxQueued, 1, maxCount);
    organisation.maxRunning = reader.integer("max_running", organisation.maxRunning, 1, maxCount);
    reader.reportUnknownFields();
    return organisation;
}

ModelGroupSpec readModelGroup(DocumentReader &reader)
{
    ModelGroupSpec group;
    group.name = ModelGroupId(reader.text("name"));
    group.model = reader.text("model");
    group.span = reader.integer("span", group.span, 1, 64);
    group.groupsPerDomain = reader.integer("groups_per_domain", group.groupsPerDomain, 0, maxCount);
    for (std::string &domain : reader.texts("fabric_domains", true))
        group.fabricDomains.emplace_back(std::move(domain));
    group.concurrency = reader.integer("concurrency", group.concurrency, 1, maxCount);
    group.coldAllowance = reader.integer("cold_allowance", group.coldAllowance, 1, maxCount);
    group.warmAfter = reader.integer("warm_after", group.warmAfter, 0, maxCount);
    group.checksFencing = reader.boolean("checks_fencing", group.checksFencing);
    group.firstTokenDeadline = Duration(reader.integer(
        "first_token_deadline_ms", group.firstTokenDeadline.count(), 1, maxMilliseconds));
    group.deadline =
        Duration(reader.integer("deadline_ms", group.deadline.count(), 1, maxMilliseconds));
    group.maxAttempts = reader.integer("max_attempts", group.maxAttempts, 1, 10);
    if (group.coldAllowance > group.concurrency)
        reader.addFault("cold_allowance", "must not be above concurrency");
    reader.reportUnknownFields();
    return group;
}

ServiceSpec readService(DocumentReader &reader)
{
    ServiceSpec service;
    service.name = ServiceId(reader.text("name"));
    for (DocumentReader &rule : reader.objects("once", false)) {
        AtMostOnceRule once;
        once.method = rule.text("method");
        once.pathPrefix = rule.text("path_prefix");
        if (once.pathPrefix.substr(0, 1) != "/")
            rule.addFault("path_prefix", "must begin with /");
        rule.reportUnknownFields();
        service.once.push_back(std::move(once));
    }
    service.deadline =
        Duration(reader.integer("deadline_ms", service.deadline.count(), 1, maxMilliseconds));
    service.retryLimit = reader.integer("retry_limit", service.retryLimit, 0, 10);
    service.concurrency = reader.integer("concurrency", service.concurrency, 1, maxCount);
    service.coldAllowance = reader.integer("cold_allowance", service.coldAllowance, 1, maxCount);
    service.warmAfter = reader.integer("warm_after", service.warmAfter, 0, maxCount);
    if (service.coldAllowance > service.concurrency)
        reader.addFault("cold_allowance", "must not be above concurrency");
    reader.reportUnknownFields();
    return service;
}

/// Reads an array of named entries and reports duplicate names as faults.
template<typename Spec>
std::vector<Spec> readNamedEntries(DocumentReader &document, const char *field, bool required,
                                   Spec (*read)(DocumentReader &))
{
    std::vector<Spec> specs;
    std::set<std::string> names;
    for (DocumentReader &reader : document.objects(field, required)) {
        Spec spec = read(reader);
        if (!spec.name.value().empty() && !names.insert(spec.name.value()).second)
            reader.addFault("name", "is a duplicate");
        specs.push_back(std::move(spec));
    }
    return specs;
}

/// Reports API keys shared by several organisations as faults.
void checkDuplicateKeys(const Environment &environment, std::vector<Fault> &faults)
{
    std::set<std::string> keys;
    for (std::size_t i = 0; i < environment.organisations.size(); ++i) {
        for (const std::string &key : environment.organisations[i].keys) {
            if (!keys.insert(key).second)
                faults.push_back({"organisations[" + std::to_string(i) + "].keys",
                                  "another organisation has the same key"});
        }
    }
}

/// Reads a document and appends the faults found to `faults`.
Environment readEnvironment(const nlohmann::json &json, std::vector<Fault> &faults)
{
    DocumentReader reader(json, "", faults);
    Environment environment;
    environment.name = EnvironmentId(reader.text("environment"));
    environment.zones = readNamedEntries<ZoneSpec>(reader, "availability_zones", true, readZone);
    environment.organisations =
        readNamedEntries<OrganisationSpec>(reader, "organisations", true, readOrganisation);
    environment.modelGroups =
        readNamedEntries<ModelGroupSpec>(reader, "model_groups", false, readModelGroup);
    environment.services = readNamedEntries<ServiceSpec>(reader, "services", false, readService);
    reader.reportUnknownFields();
    checkDuplicateKeys(environment, faults);
    if (environment.zones.empty())
        faults.push_back({"availability_zones", "must contain at least one zone"});
    return environment;
}

/// Compares two JSON values recursively and appends a line for each difference.
void collectDifferences(const nlohmann::json &before, const nlohmann::json &after,
                        const std::string &path, std::vector<std::string> &changes)
{
    if (before == after || changes.size() >= maxChangeLines)
        return;
    if (before.is_object() && after.is_object()) {
        for (const auto &item : after.items())
            collectDifferences(before.value(item.key(), nlohmann::json()), item.value(),
                               path.empty() ? item.key() : path + "." + item.key(), changes);
        return;
    }
    if (before.is_array() && after.is_array()) {
        for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i)
            collectDifferences(i < before.size() ? before[i] : nlohmann::json(),
                               i < after.size() ? after[i] : nlohmann::json(),
                               path + "[" + std::to_string(i) + "]", changes);
        return;
    }
    const bool isApiKey = path.find(".keys") != std::string::npos;
    std::string line =
        path + ": " + (isApiKey ? "key changed" : before.dump() + " -> " + after.dump());
    if (line.size() > maxChangeBytes)
        line = line.substr(0, maxChangeBytes) + "...";
    changes.push_back(std::move(line));
}

/// Replaces the API keys of each organisation with their number, so that no key is disclosed.
nlohmann::json withoutApiKeys(nlohmann::json document)
{
    for (auto &organisation : document["organisations"])
        organisation["keys"] = organisation["keys"].size();
    return document;
}

} // namespace

const char *stageName(Stage stage)
{
    return stage == Stage::Trial ? "trial" : "production";
}

Environment parseEnvironment(std::string_view text)
{
    if (text.size() > maxDocumentBytes)
        throw Failure(ErrorCode::DocumentInvalid,
                      std::vector<Fault> {{"document", "must not be larger than 1000000 bytes"}});
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        throw Failure(ErrorCode::DocumentInvalid,
                      std::vector<Fault> {{"document", "is not valid JSON"}});
    std::vector<Fault> faults;
    Environment environment = readEnvironment(json, faults);
    if (!faults.empty())
        throw Failure(ErrorCode::DocumentInvalid, std::move(faults));
    return environment;
}

nlohmann::json environmentJson(const Environment &environment)
{
    nlohmann::json json {{"environment", environment.name}};
    json["availability_zones"] = nlohmann::json::array();
    json["organisations"] = nlohmann::json::array();
    json["model_groups"] = nlohmann::json::array();
    json["services"] = nlohmann::json::array();
    for (const ZoneSpec &zone : environment.zones)
        json["availability_zones"].push_back(
            {{"name", zone.name},
             {"region", zone.region},
             {"state", zone.state == ZoneState::Out ? "out" : "in"}});
    for (const OrganisationSpec &organisation : environment.organisations)
        json["organisations"].push_back({{"name", organisation.name},
                                         {"keys", organisation.keys},
                                         {"weight", organisation.weight},
                                         {"max_queued", organisation.maxQueued},
                                         {"max_running", organisation.maxRunning}});
    for (const ModelGroupSpec &group : environment.modelGroups)
        json["model_groups"].push_back(
            {{"name", group.name},
             {"model", group.model},
             {"span", group.span},
             {"groups_per_domain", group.groupsPerDomain},
             {"fabric_domains", group.fabricDomains},
             {"concurrency", group.concurrency},
             {"cold_allowance", group.coldAllowance},
             {"warm_after", group.warmAfter},
             {"checks_fencing", group.checksFencing},
             {"first_token_deadline_ms", group.firstTokenDeadline.count()},
             {"deadline_ms", group.deadline.count()},
             {"max_attempts", group.maxAttempts}});
    for (const ServiceSpec &service : environment.services) {
        nlohmann::json once = nlohmann::json::array();
        for (const AtMostOnceRule &rule : service.once)
            once.push_back({{"method", rule.method}, {"path_prefix", rule.pathPrefix}});
        json["services"].push_back({{"name", service.name},
                                    {"once", once},
                                    {"deadline_ms", service.deadline.count()},
                                    {"retry_limit", service.retryLimit},
                                    {"concurrency", service.concurrency},
                                    {"cold_allowance", service.coldAllowance},
                                    {"warm_after", service.warmAfter}});
    }
    return json;
}

nlohmann::json auditJson(const AuditRecord &record)
{
    return {{"who", record.who},
            {"when", record.when},
            {"action", record.action},
            {"from", record.from},
            {"trial_revision", record.trialRevision},
            {"changes", record.changes}};
}

AuditRecord parseAudit(const nlohmann::json &json)
{
    AuditRecord record;
    json.at("who").get_to(record.who);
    json.at("when").get_to(record.when);
    json.at("action").get_to(record.action);
    json.at("from").get_to(record.from);
    json.at("trial_revision").get_to(record.trialRevision);
    json.at("changes").get_to(record.changes);
    return record;
}

std::string serializeEnvelope(const Envelope &envelope)
{
    const nlohmann::json json {{"nonce", envelope.nonce},
                               {"document", environmentJson(envelope.environment)},
                               {"zones_out", envelope.zonesOut},
                               {"promoted_from", envelope.promotedFrom},
                               {"audit", auditJson(envelope.audit)}};
    return json.dump();
}

Envelope parseEnvelope(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        std::vector<Fault> faults;
        Envelope envelope;
        envelope.environment = readEnvironment(json.at("document"), faults);
        if (!faults.empty())
            throw Failure(ErrorCode::PlatformProtocol, faults);
        json.at("nonce").get_to(envelope.nonce);
        json.at("zones_out").get_to(envelope.zonesOut);
        json.at("promoted_from").get_to(envelope.promotedFrom);
        envelope.audit = parseAudit(json.at("audit"));
        return envelope;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, error.what());
    }
}

bool isZoneOut(const Envelope &envelope, const ZoneId &zone)
{
    if (std::find(envelope.zonesOut.begin(), envelope.zonesOut.end(), zone)
        != envelope.zonesOut.end())
        return true;
    for (const ZoneSpec &spec : envelope.environment.zones) {
        if (spec.name == zone)
            return spec.state == ZoneState::Out;
    }
    return true;
}

const OrganisationSpec *findOrganisationByKey(const Environment &environment, std::string_view key)
{
    for (const OrganisationSpec &organisation : environment.organisations) {
        if (std::find(organisation.keys.begin(), organisation.keys.end(), key)
            != organisation.keys.end())
            return &organisation;
    }
    return nullptr;
}

const ModelGroupSpec *findModelGroup(const Environment &environment, const ModelGroupId &name)
{
    for (const ModelGroupSpec &group : environment.modelGroups) {
        if (group.name == name)
            return &group;
    }
    return nullptr;
}

const ServiceSpec *findService(const Environment &environment, const ServiceId &name)
{
    for (const ServiceSpec &service : environment.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

bool runsAtMostOnce(const ServiceSpec &service, std::string_view method, std::string_view path)
{
    return std::any_of(service.once.begin(), service.once.end(), [&](const AtMostOnceRule &rule) {
        return rule.method == method && path.substr(0, rule.pathPrefix.size()) == rule.pathPrefix;
    });
}

std::vector<std::string> describeChanges(const Environment *before, const Environment &after)
{
    std::vector<std::string> changes;
    const nlohmann::json empty {{"organisations", nlohmann::json::array()}};
    const nlohmann::json old = before ? environmentJson(*before) : empty;
    const nlohmann::json current = environmentJson(after);
    collectDifferences(withoutApiKeys(old), withoutApiKeys(current), "", changes);
    if (before && changes.empty() && old != current)
        changes.emplace_back("organisations: keys changed");
    return changes;
}

} // namespace bramleypitch
