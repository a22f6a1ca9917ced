#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch::load {

/// An organisation in the mix and its share of the arrivals.
struct MixOrganisation
{
    std::string name;
    std::string key;
    double share = 1; ///< Relative to the other organisations.
};

/// Kind of the requests of a class.
enum class RequestKind {
    Completion, ///< A chat completion.
    AtMostOnce, ///< A service call with an idempotency key, executed at most once.
    Repeatable, ///< A service call that may be repeated.
};

/// A class of requests and its share of the arrivals.
struct MixRequest
{
    std::string name;
    RequestKind kind = RequestKind::Completion;
    double share = 1; ///< Relative to the other classes.
    std::string target; ///< Model group or service.
    std::string path; ///< For service calls.
    std::uint32_t prefixes = 10; ///< Number of distinct prompt prefixes.
    std::uint32_t prefixBytes = 300; ///< Length to which a prompt prefix is padded.
    std::uint32_t maxTokens = 16;
    std::uint32_t priority = 0;
    std::int64_t latencyLimitMillis =
        820; ///< Latency limit for the first token or for the response.
};

/// A temporary increase of the load of one organisation.
struct MixSurge
{
    std::string organisation;
    double factor = 1; ///< Multiplier of the arrival rate.
    std::int64_t fromMillis = 0; ///< Start, from the start of the run.
    std::int64_t toMillis = 0; ///< End, exclusive.
};

/// Mix of requests. The organisation and the class of each request are drawn independently.
struct Mix
{
    std::vector<MixOrganisation> organisations;
    std::vector<MixRequest> requests;
    std::vector<MixSurge> surges;
};

/// Parses the text of a mix file. Throws Failure(DocumentInvalid) with all faults and their paths.
Mix parseMix(std::string_view text);

} // namespace bramleypitch::load
