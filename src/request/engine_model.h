#pragma once

#include "request/serving_type.h"

namespace bramleypitch {

/// A prompt and the answer to it, in tokens.
struct GenerationSize
{
    double promptTokens = 0;
    double answerTokens = 0; ///< Expected.
};

/// Milliseconds of one pass of a group that writes so many answers: `stride` steps, by the engine's
/// published figures.
double passMs(const EngineSpec &engine, const ServedModel &model, double writing);

/// Milliseconds for which a group reads a prompt. Whatever else it runs waits as long.
double prefillMs(const EngineSpec &engine, const ServedModel &model, double promptTokens);

/// Milliseconds from dispatch to a group that runs its usual number of requests to the first event:
/// the rest of the pass under way, the prompt, and the pass that writes the event.
double firstEventMs(const EngineSpec &engine, const ServedModel &model, double promptTokens);

/// How many of a group's slots a request needs: the one that it stands in, and what its prompt
/// takes from all the others, spread over its stay. Models whose prompts are long or whose answers
/// are short need more groups than the number of their requests tells.
double slotsNeeded(const EngineSpec &engine, const ServedModel &model, const GenerationSize &size);

} // namespace bramleypitch
