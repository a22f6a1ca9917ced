#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/backend_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bramleypitch {

/// What requests to the servers of one service are recognised by, as a hash: a part of their
/// prompts, which different requests may share, or the whole request.
using PromptPart = StrongType<struct PromptPartTag, std::uint64_t>;
using PromptParts = std::vector<PromptPart>;

/// Stands for no part in reports of crashes, so that nodes know how common crashes are.
inline const PromptPart noPart;

constexpr std::uint64_t wholeRequestBit = 1ULL << 63; ///< Set in the hashes of whole requests.
/// Set besides if the evidence is of servers that ended after they had been writing for a while.
constexpr std::uint64_t lateBreakBit = 1ULL << 62;

inline bool isWholeRequest(PromptPart part)
{
    return (part.value() & wholeRequestBit) != 0;
}

inline bool isLateBreak(PromptPart part)
{
    return isWholeRequest(part) && (part.value() & lateBreakBit) != 0;
}

inline PromptPart lateBreakOf(PromptPart wholeRequest)
{
    return PromptPart(wholeRequest.value() | lateBreakBit);
}

/// A server ended while it began to answer a request with a part.
struct CrashEvidence
{
    PromptPart part;
    ServerRun run;
    std::uint64_t request = 0; ///< Hash of the content of the request.
    Duration age {0}; ///< Since the attempt broke.

    bool operator==(const CrashEvidence &) const = default;
};

/// A part that no request may contain.
struct QuarantinedPart
{
    Duration timeLeft {0}; ///< Until requests with it are accepted again.
    std::uint32_t times = 0; ///< How often it was quarantined; a later time lasts longer.

    bool operator==(const QuarantinedPart &) const = default;
};

/// What nodes tell each other about parts of prompts. The sizes are limited by QuarantineLimits.
struct QuarantineNews
{
    std::vector<CrashEvidence> crashes;
    std::map<PromptPart, Duration> cleared; ///< Time since an answer showed that a part is sound.
    std::map<PromptPart, QuarantinedPart> quarantined;

    bool operator==(const QuarantineNews &) const = default;
};

/// Limits on the memory and the messages that the quarantine takes.
struct QuarantineLimits
{
    static constexpr std::size_t reportedCrashes = 32; ///< In one message between nodes.
    static constexpr std::size_t reportedParts = 32; ///< Cleared, and quarantined, in one message.
    /// Evidence against a part is more urgent with each run that it ended, up to this number.
    static constexpr std::size_t rankedRuns = 4;
    static constexpr std::size_t evidence = 1'024; ///< Kept by a node.
    static constexpr std::size_t partsOfCrash = 256; ///< Kept of one crash.
    static constexpr std::size_t clearedParts = 16'384; ///< Kept by a node.
    static constexpr std::size_t quarantinedParts = 256; ///< Kept by a node.
};

} // namespace bramleypitch
