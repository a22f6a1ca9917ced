#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch {

/// 64-bit XXH3 hash. The result is the same on every node.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Weight of a candidate for a key in rendezvous hashing (Thaler and Ravishankar, 1998).
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// The same from hashes of key and candidate, for many keys and candidates: the finalizer of
/// SplitMix64 (Steele, Lea and Flood, 2014).
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t candidateHash);

/// Sorts candidates by their rendezvous weight for a key, highest first. `nameOf` returns a
/// candidate's name as a type convertible to std::string_view.
template<typename Candidate, typename NameOf>
std::vector<Candidate> rendezvousOrder(std::string_view key,
                                       const std::vector<Candidate> &candidates, NameOf nameOf)
{
    std::vector<std::pair<std::uint64_t, Candidate>> weighted;
    weighted.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        weighted.emplace_back(rendezvousWeight(key, nameOf(candidate)), candidate);
    std::stable_sort(weighted.begin(), weighted.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<Candidate> ordered;
    ordered.reserve(weighted.size());
    for (auto &entry : weighted)
        ordered.push_back(std::move(entry.second));
    return ordered;
}

/// Returns the first candidate of rendezvousOrder(), or null if there are no candidates.
template<typename Candidate, typename NameOf>
const Candidate *rendezvousFirst(std::string_view key, const std::vector<Candidate> &candidates,
                                 NameOf nameOf)
{
    const Candidate *first = nullptr;
    std::uint64_t highest = 0;
    const std::uint64_t seed = stableHash(key);
    for (const Candidate &candidate : candidates) {
        const std::uint64_t weight = stableHash(nameOf(candidate), seed);
        if (!first || weight > highest) {
            first = &candidate;
            highest = weight;
        }
    }
    return first;
}

} // namespace bramleypitch
