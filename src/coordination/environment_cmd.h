#pragma once

#include "coordination/environment_type.h"

#include <optional>
#include <string>

namespace bramleypitch {

/// A stage's value with the revision it was read at; revision 0 and no envelope if absent.
struct StoredEnvelope
{
    Revision revision;
    std::optional<Envelope> envelope;
};

/// Who changes the configuration, when, and the nonce of the write.
struct ChangeOrigin
{
    std::string who;
    WallTime when;
    Nonce nonce;
};

/// The change that a command would make: the envelope to write if the stage is still at `expected`.
struct EnvelopeChange
{
    Stage stage = Stage::Trial;
    Revision expected;
    Envelope envelope;
};

/// Each command checks without effect and throws Failure with the reason it is refused; what it
/// returns is executed by one compare-and-swap. `check` stops before that write.

/// Puts a document into trial. Refused if the document has faults or is of another environment.
EnvelopeChange applyDocument(const EnvironmentId &environment, std::string_view document,
                             const StoredEnvelope &trial, const ChangeOrigin &origin);

/// Puts the document in trial into production; zones drained by operators stay out.
EnvelopeChange promoteTrial(const StoredEnvelope &trial, const StoredEnvelope &production,
                            const ChangeOrigin &origin);

/// Takes an availability zone of production out (Out) or back (In).
EnvelopeChange changeZone(const ZoneId &zone, ZoneState state, const StoredEnvelope &production,
                          const ChangeOrigin &origin);

} // namespace bramleypitch
