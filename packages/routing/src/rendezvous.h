#pragma once

#include <cstdint>
#include <string>

#include <xxhash.h>

namespace jasminewood::routing::internal
{

// Returns the weight of a name for a key: the name with the greatest weight is the key's choice, and a change of the
// names moves only the keys of the names that came or went.
inline auto rendezvousWeight(const std::string &name, std::uint64_t key) -> std::uint64_t
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

} // namespace jasminewood::routing::internal
