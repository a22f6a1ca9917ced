#pragma once

#include "request/serving_type.h"

namespace bramleypitch {

/// Size of a prompt and of its completion, in tokens.
struct GenerationSize
{
    double promptTokens = 0;
    double completionTokens = 0; ///< Expected length of the completion.
};

/// Duration in milliseconds of one engine pass, which consists of `stride` decoding steps, while
/// `decodingRequests` requests are being decoded. Computed from the published figures of the
/// engine.
double passMs(const EngineSpec &engine, const ServedModel &model, double decodingRequests);

/// Duration in milliseconds of the prefill of a prompt. All other requests of the group are
/// blocked for this time.
double prefillMs(const EngineSpec &engine, const ServedModel &model, double promptTokens);

/// Expected time to first token in milliseconds, counted from dispatch to a group with typical
/// load: half of the current pass, the prefill of the prompt, and the pass that generates the first
/// event.
double firstEventMs(const EngineSpec &engine, const ServedModel &model, double promptTokens);

/// Expected duration in milliseconds of the execution of a request on a group with typical load.
double executionMs(const EngineSpec &engine, const ServedModel &model, const GenerationSize &size);

/// Number of group slots that a request effectively needs: the slot that it occupies, plus the time
/// for which its prefill blocks the other slots, averaged over the duration of the request. Models
/// with long prompts or short completions need more groups than their request count suggests.
double slotsNeeded(const EngineSpec &engine, const ServedModel &model, const GenerationSize &size);

} // namespace bramleypitch
