#include "subsets.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace jasminewood::slopes
{

namespace
{

struct HashedPair
{
    std::uint64_t hash_;
    std::size_t router_;
    std::size_t replica_;

    auto operator<=>(const HashedPair &) const = default;
};

// Finaliser of the SplitMix64 hash.
auto mixHash(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

auto sortedPairs(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas)
    -> std::vector<HashedPair>
{
    auto pairs = std::vector<HashedPair>();
    pairs.reserve(routers.size() * replicas.size());
    for (auto router = std::size_t(0); router < routers.size(); ++router) {
        for (auto replica = std::size_t(0); replica < replicas.size(); ++replica) {
            pairs.push_back(HashedPair {mixHash(mixHash(routers[router] + 1) + replicas[replica]), router, replica});
        }
    }
    std::sort(pairs.begin(), pairs.end());
    return pairs;
}

// Assigns pairs in order of their hash, in one pass for each bound. A pair is skipped if the router has subsetSize
// replicas or if the replica is already in as many subsets as the bound of the pass.
auto assignPairs(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize, const std::vector<std::size_t> &replicaBounds) -> Subsets
{
    const auto pairs = sortedPairs(routers, replicas);
    auto taken = std::vector<bool>(pairs.size(), false);
    auto subsets = Subsets(routers.size());
    auto subsetsPerReplica = std::vector<std::size_t>(replicas.size(), 0);
    for (const auto bound : replicaBounds) {
        for (auto index = std::size_t(0); index < pairs.size(); ++index) {
            const auto &pair = pairs[index];
            if (!taken[index] && subsets[pair.router_].size() < subsetSize
                && subsetsPerReplica[pair.replica_] < bound) {
                taken[index] = true;
                subsets[pair.router_].push_back(replicas[pair.replica_]);
                ++subsetsPerReplica[pair.replica_];
            }
        }
    }
    return subsets;
}

} // namespace

auto rendezvousSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets
{
    return assignPairs(routers, replicas, subsetSize, {routers.size()});
}

auto boundedSubsets(const std::vector<std::size_t> &routers, const std::vector<std::size_t> &replicas,
    std::size_t subsetSize) -> Subsets
{
    const auto links = routers.size() * subsetSize;
    return assignPairs(
        routers, replicas, subsetSize, {links / replicas.size(), (links + replicas.size() - 1) / replicas.size()});
}

} // namespace jasminewood::slopes
