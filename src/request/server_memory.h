#pragma once

#include "request/backend_type.h"
#include "request/request_type.h"
#include "request/serving_type.h"

#include <cstddef>
#include <cstdint>

namespace bramleypitch {

/// What a request takes of its server from dispatch to the end of the attempt.
struct RequestLoad
{
    std::uint64_t tokens = 0; ///< Of the prompt and of the expected completion.
    std::size_t bodyBytes = 0;
};

/// The load of a request. Numbers of tokens that make no sense count as 0 or as the largest one.
RequestLoad loadOf(const RequestArrival &arrival);

/// Tokens that a group holds: those of this node's requests, and for each request of other nodes
/// the typical number.
std::uint64_t heldTokens(const Backend &backend, const EngineSpec &engine);

/// Whether a group has memory for the tokens of one more request. A request that needs most of the
/// memory is only sent to a group without other requests.
bool hasMemoryFor(const Backend &backend, const EngineSpec &engine, std::uint64_t tokens);

/// Whether no group of the engine could ever hold the tokens of a request.
bool exceedsMemory(const EngineSpec &engine, std::uint64_t tokens);

/// Whether a server that reads slowly may be sent one more body: at most `limit` bytes of bodies
/// wait to be written to it, or one body.
bool mayBeSent(const Backend &backend, std::size_t bodyBytes, std::size_t limit);

} // namespace bramleypitch
