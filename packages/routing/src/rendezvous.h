#pragma once

#include <cstdint>
#include <string>

#include <xxhash.h>

namespace jasminewood::routing::internal
{

// Returns the rendezvous-hash weight of a name for a key. The key maps to the name with the greatest weight, so that
// adding or removing a name remaps only the keys of that name.
inline auto rendezvousWeight(const std::string &name, std::uint64_t key) -> std::uint64_t
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

} // namespace jasminewood::routing::internal
