#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch::load {

/// A caller of the mix and its share of the arrivals.
struct MixOrganisation
{
    std::string name;
    std::string key;
    double share = 1;
};

/// How a request of a class is made.
enum class RequestKind {
    Completion,
    Once, ///< A call that may run at most once, with an idempotency key.
    Read, ///< A call that may be repeated.
};

/// A class of requests and its share of the arrivals.
struct MixRequest
{
    std::string name;
    RequestKind kind = RequestKind::Completion;
    double share = 1;
    std::string target; ///< Model group or service.
    std::string path; ///< For calls to services.
    std::uint32_t prefixes = 10; ///< Different beginnings of prompts.
    std::uint32_t prefixBytes = 300;
    std::uint32_t maxTokens = 16;
    std::uint32_t priority = 0;
    std::int64_t inTimeMillis = 820; ///< First token, or the answer of a call, by then.
};

/// A share of the load that changes for a while.
struct MixSurge
{
    std::string organisation;
    double factor = 1; ///< Its arrivals are multiplied by this.
    std::int64_t fromMillis = 0;
    std::int64_t toMillis = 0;
};

/// What arrives: organisations and classes of requests, drawn independently.
struct Mix
{
    std::vector<MixOrganisation> organisations;
    std::vector<MixRequest> requests;
    std::vector<MixSurge> surges;
};

/// Reads a mix file. Throws Failure(DocumentInvalid) with each fault and its path.
Mix parseMix(std::string_view text);

} // namespace bramleypitch::load
