#pragma once

#include "coordination/environment_type.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace bramleypitch {

/// Parses and validates a document. Throws Failure(DocumentInvalid) with all faults found and their
/// paths. Unknown fields are faults.
Environment parseEnvironment(std::string_view text);

/// Parses an envelope read from the store. Throws Failure(PlatformProtocol) if it is malformed.
Envelope parseEnvelope(std::string_view text);

/// Serializes an envelope to the compact JSON kept in the store.
std::string serializeEnvelope(const Envelope &envelope);

/// Converts a document to JSON with all fields, including those that have their default value.
nlohmann::json environmentJson(const Environment &environment);

/// Converts an audit record to JSON.
nlohmann::json auditJson(const AuditRecord &record);

/// Parses an audit record. Throws an nlohmann::json exception if it is malformed.
AuditRecord parseAudit(const nlohmann::json &json);

/// Whether a zone is out of service, either by the document or because operators drained it. A zone
/// that the document does not declare is out of service.
bool isZoneOut(const Envelope &envelope, const ZoneId &zone);

/// Returns the organisation that owns an API key, or null.
const OrganisationSpec *findOrganisationByKey(const Environment &environment, std::string_view key);

/// Returns the model group with this name, or null.
const ModelGroupSpec *findModelGroup(const Environment &environment, const ModelGroupId &name);

/// Returns the service with this name, or null.
const ServiceSpec *findService(const Environment &environment, const ServiceId &name);

/// Whether the document requires that this call is executed at most once.
bool runsAtMostOnce(const ServiceSpec &service, std::string_view method, std::string_view path);

/// Describes each field that differs in a line of the form "path: old -> new". API keys are not
/// shown. `before` may be null.
std::vector<std::string> describeChanges(const Environment *before, const Environment &after);

} // namespace bramleypitch
