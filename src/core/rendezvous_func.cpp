#include "core/rendezvous_func.h"

#include <xxhash.h>

namespace bramleypitch {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t candidateHash)
{
    std::uint64_t mixed = keyHash ^ candidateHash;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

} // namespace bramleypitch
