#pragma once

#include "coordination/environment_type.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace bramleypitch {

/// Reads and checks a document as a whole. Throws Failure(DocumentInvalid) with every fault found,
/// each with its path; unknown fields are faults.
Environment parseEnvironment(std::string_view text);

/// Reads an envelope from the store. Throws Failure(PlatformProtocol) if it is not one.
Envelope parseEnvelope(std::string_view text);

/// The envelope as stored, compact JSON.
std::string serializeEnvelope(const Envelope &envelope);

/// The document as JSON with every field, defaults included.
nlohmann::json environmentJson(const Environment &environment);

/// The audit record as JSON.
nlohmann::json auditJson(const AuditRecord &record);

/// Reads an audit record; throws nlohmann::json exceptions on other JSON.
AuditRecord parseAudit(const nlohmann::json &json);

/// Whether the zone is out, by document or by drain. Zones the document does not name are out.
bool zoneIsOut(const Envelope &envelope, const ZoneId &zone);

/// The organisation with this key, or null.
const OrganisationSpec *organisationOfKey(const Environment &environment, std::string_view key);

/// The model group of this name, or null.
const ModelGroupSpec *findModelGroup(const Environment &environment, const ModelGroupId &name);

/// The service of this name, or null.
const ServiceSpec *findService(const Environment &environment, const ServiceId &name);

/// Whether the document says that this call may run at most once.
bool runsAtMostOnce(const ServiceSpec &service, std::string_view method, std::string_view path);

/// One line for each field that differs, as "path: old -> new".
std::vector<std::string> describeChanges(const Environment *before, const Environment &after);

} // namespace bramleypitch
