#include "coordination/environment_cmd.h"

#include "coordination/environment_func.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Creates an audit record without changes.
AuditRecord record(const ChangeOrigin &origin, const char *action, Revision from)
{
    AuditRecord audit;
    audit.who = origin.who;
    audit.when = origin.when;
    audit.action = action;
    audit.from = from;
    return audit;
}

bool declaresZone(const Environment &environment, const ZoneId &zone)
{
    return std::any_of(environment.zones.begin(), environment.zones.end(),
                       [&](const ZoneSpec &spec) { return spec.name == zone; });
}

/// Removes drained zones that the document no longer declares. Otherwise a zone added later with
/// the same name would start out drained.
void removeUndeclaredZones(Envelope &envelope)
{
    auto &out = envelope.zonesOut;
    out.erase(std::remove_if(
                  out.begin(), out.end(),
                  [&](const ZoneId &zone) { return !declaresZone(envelope.environment, zone); }),
              out.end());
}

} // namespace

EnvelopeChange applyDocument(const EnvironmentId &environment, std::string_view document,
                             const StoredEnvelope &trial, const ChangeOrigin &origin)
{
    EnvelopeChange change;
    change.stage = Stage::Trial;
    change.expected = trial.revision;
    change.envelope.environment = parseEnvironment(document);
    if (change.envelope.environment.name != environment)
        throw Failure(ErrorCode::DocumentInvalid,
                      std::vector<Fault> {{"environment", "must be " + environment.value()}});
    change.envelope.nonce = origin.nonce;
    change.envelope.audit = record(origin, "apply", trial.revision);
    change.envelope.audit.changes = describeChanges(
        trial.envelope ? &trial.envelope->environment : nullptr, change.envelope.environment);
    return change;
}

EnvelopeChange promoteTrial(const StoredEnvelope &trial, const StoredEnvelope &production,
                            const ChangeOrigin &origin)
{
    if (!trial.envelope)
        throw Failure(ErrorCode::NothingToPromote, "there is no document in trial");
    EnvelopeChange change;
    change.stage = Stage::Production;
    change.expected = production.revision;
    change.envelope.environment = trial.envelope->environment;
    change.envelope.nonce = origin.nonce;
    change.envelope.promotedFrom = trial.revision;
    if (production.envelope)
        change.envelope.zonesOut = production.envelope->zonesOut;
    removeUndeclaredZones(change.envelope);
    change.envelope.audit = record(origin, "promote", production.revision);
    change.envelope.audit.trialRevision = trial.revision;
    change.envelope.audit.changes =
        describeChanges(production.envelope ? &production.envelope->environment : nullptr,
                        change.envelope.environment);
    return change;
}

EnvelopeChange changeZone(const ZoneId &zone, ZoneState state, const StoredEnvelope &production,
                          const ChangeOrigin &origin)
{
    if (!production.envelope || !declaresZone(production.envelope->environment, zone))
        throw Failure(ErrorCode::UnknownZone, "production does not declare zone " + zone.value());
    EnvelopeChange change;
    change.stage = Stage::Production;
    change.expected = production.revision;
    change.envelope = *production.envelope;
    change.envelope.nonce = origin.nonce;
    auto &out = change.envelope.zonesOut;
    const auto found = std::find(out.begin(), out.end(), zone);
    const bool isDrained = found != out.end();
    if (isDrained == (state == ZoneState::Out))
        throw Failure(
            isDrained || !isZoneOut(*production.envelope, zone) ? ErrorCode::ZoneStateUnchanged
                                                                : ErrorCode::ZoneOutByDocument,
            "zone " + zone.value() + (isDrained ? " is already drained" : " is not drained"));
    if (state == ZoneState::Out)
        out.push_back(zone);
    else
        out.erase(found);
    change.envelope.audit =
        record(origin, state == ZoneState::Out ? "drain" : "restore", production.revision);
    change.envelope.audit.changes = {"zones_out: " + zone.value()
                                     + (state == ZoneState::Out ? " out" : " in")};
    return change;
}

} // namespace bramleypitch
