#pragma once

#include "coordination/environment_type.h"

#include <optional>
#include <string>

namespace bramleypitch {

/// The value of a stage and the revision at which it was read. If the stage has no value, the
/// revision is 0 and the envelope is empty.
struct StoredEnvelope
{
    Revision revision;
    std::optional<Envelope> envelope;
};

/// The author and the time of a configuration change, and the nonce of its write.
struct ChangeOrigin
{
    std::string who;
    WallTime when;
    Nonce nonce;
};

/// The write that a command requests: `envelope` replaces the value of the stage, provided that the
/// stage is still at revision `expected`.
struct EnvelopeChange
{
    Stage stage = Stage::Trial;
    Revision expected;
    Envelope envelope;
};

// The commands below have no side effects. They validate the change and throw Failure if it must be
// rejected. The caller executes the returned change with a single compare-and-swap; the `check`
// command omits this write.

/// Applies a document to trial. Fails if the document is invalid or belongs to another environment.
EnvelopeChange applyDocument(const EnvironmentId &environment, std::string_view document,
                             const StoredEnvelope &trial, const ChangeOrigin &origin);

/// Promotes the document in trial to production. Zones drained by operators stay drained.
EnvelopeChange promoteTrial(const StoredEnvelope &trial, const StoredEnvelope &production,
                            const ChangeOrigin &origin);

/// Drains an availability zone of production (Out) or restores it (In).
EnvelopeChange changeZone(const ZoneId &zone, ZoneState state, const StoredEnvelope &production,
                          const ChangeOrigin &origin);

} // namespace bramleypitch
