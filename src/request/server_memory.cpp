#include "request/server_memory.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// Larger numbers of tokens of a request count as this one. No group has as much memory, and the
/// sum over the requests of a node does not overflow.
constexpr double maxTokens = 1e12;
/// Share of a group's memory that requests may fill while the group has others. The rest is for
/// requests of other nodes that are not reported yet, and for those longer than the typical one.
constexpr double maxMemoryShare = 0.9;

std::uint64_t toTokens(double count)
{
    if (!(count > 0))
        return 0;
    return static_cast<std::uint64_t>(std::ceil(std::min(count, maxTokens)));
}

} // namespace

RequestLoad loadOf(const RequestArrival &arrival)
{
    return {toTokens(arrival.promptTokens) + toTokens(arrival.completionTokens), arrival.bodyBytes};
}

std::uint64_t heldTokens(const Backend &backend, const EngineSpec &engine)
{
    const double typical = engine.typicalPromptTokens + engine.typicalCompletionTokens;
    return backend.ownTokens + toTokens(typical * backend.peersRunning);
}

bool hasMemoryFor(const Backend &backend, const EngineSpec &engine, std::uint64_t tokens)
{
    if (engine.memoryTokens == 0)
        return true;
    if (backend.ownRunning + backend.peersRunning == 0)
        return !exceedsMemory(engine, tokens);
    const double limit = maxMemoryShare * static_cast<double>(engine.memoryTokens);
    return static_cast<double>(heldTokens(backend, engine) + tokens) <= limit;
}

bool exceedsMemory(const EngineSpec &engine, std::uint64_t tokens)
{
    return engine.memoryTokens > 0 && tokens > engine.memoryTokens;
}

bool mayBeSent(const Backend &backend, std::size_t bodyBytes, std::size_t limit)
{
    return backend.ownUnsentBytes == 0 || backend.ownUnsentBytes + bodyBytes <= limit;
}

} // namespace bramleypitch
