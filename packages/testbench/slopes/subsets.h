#pragma once

#include <cstddef>
#include <vector>

// Assigns to each router of a data centre a subset of the replicas of a pool, as a function of only the two lists.

namespace jasminewood::slopes
{

// Indexed by router: the replicas in its subset.
using Subsets = std::vector<std::vector<std::size_t>>;

// Each router takes the subsetSize replicas with the lowest rendezvous hashes. The number of subsets that contain a
// replica varies.
auto rendezvousSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets;

// As rendezvousSubsets(), but bounds the number of subsets per replica: pairs are taken in order of their hash unless
// the router has subsetSize replicas or the replica has reached its bound, which is the mean rounded down in a first
// pass and rounded up in a second one. Nearly all replicas are then in equally many subsets, give or take one. A router
// may have fewer than subsetSize replicas if all remaining ones have reached their bound.
auto boundedSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets;

} // namespace jasminewood::slopes
