#pragma once

#include <cstddef>
#include <vector>

// Which replicas of a pool each router of a data centre sees, as a function of the two lists only.

namespace jasminewood::slopes
{

// The replicas of each router.
using Subsets = std::vector<std::vector<std::size_t>>;

// Each router takes the replicas with its highest rendezvous hashes. Replicas are in unequally many subsets.
auto rendezvousSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets;

// As rendezvousSubsets(), but pairs are taken in order of their hash until the router has its number or the replica is
// in its share of the subsets: first the share rounded down, then rounded up. Nearly all replicas are then in equally
// many subsets, give or take one. A router may end with fewer than subsetSize if its last choices are all full.
auto boundedSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets;

} // namespace jasminewood::slopes
