#include "request/engine_model.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// Typical share of the slots of a group that are in use.
constexpr double typicalUtilization = 0.6;
/// A prefill delays both the events of all other requests and the prompts queued behind it.
constexpr double prefillWeight = 2;
constexpr double tokensPerThousand = 1'000;
constexpr double pairsPerMillion = 1'000'000;

double typicalDecodingRequests(const EngineSpec &engine)
{
    return typicalUtilization * engine.slots;
}

} // namespace

double passMs(const EngineSpec &engine, const ServedModel &model, double decodingRequests)
{
    const double context = engine.typicalPromptTokens + engine.typicalCompletionTokens;
    const double perSequence =
        engine.perSequenceMs + engine.contextMsPerThousand * context / tokensPerThousand;
    return engine.stride * (engine.stepMs + decodingRequests * perSequence) * model.pace;
}

double prefillMs(const EngineSpec &engine, const ServedModel &model, double promptTokens)
{
    const double pairs = promptTokens * promptTokens / 2 / pairsPerMillion;
    return (promptTokens / std::max(engine.promptTokensPerMs, 1.0)
            + pairs * engine.prefillMsPerMillionPairs)
        * model.pace;
}

double firstEventMs(const EngineSpec &engine, const ServedModel &model, double promptTokens)
{
    const double pass = passMs(engine, model, typicalDecodingRequests(engine));
    return pass / 2 + prefillMs(engine, model, promptTokens) + pass;
}

double executionMs(const EngineSpec &engine, const ServedModel &model, const GenerationSize &size)
{
    const double pass = passMs(engine, model, typicalDecodingRequests(engine));
    const double passes =
        std::max(std::ceil(size.completionTokens / std::max<std::uint32_t>(engine.stride, 1)), 1.0);
    return prefillMs(engine, model, size.promptTokens) + passes * pass;
}

double slotsNeeded(const EngineSpec &engine, const ServedModel &model, const GenerationSize &size)
{
    const double prefill = prefillMs(engine, model, size.promptTokens);
    const double duration = executionMs(engine, model, size);
    return duration > 0 ? 1 + prefillWeight * engine.slots * prefill / duration : 1;
}

} // namespace bramleypitch
