#pragma once

#include <compare>
#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/core/result.h"
#include "jasminewood/core/tier.h"

// Chooses the upstream for one attempt.
//
//     auto chooser = UpstreamChooser(seed, "lj-a");
//     const auto node = chooser.choose(PowerOfChoices {}, request, candidates);

namespace jasminewood::routing
{

// The state of one upstream at the time of the choice.
struct UpstreamCandidate
{
    const NodeId node_;
    const std::string dataCentre_;
    // Attempts of this router that are in flight at the upstream.
    const std::uint32_t outstanding_ = 0;
    // Attempts queued at the agent at the request's tier or a higher one, as last reported.
    const std::uint32_t queuedAhead_ = 0;
    // Free slots as last reported.
    const std::uint32_t freeSlots_ = 0;
    // Latency measured by this router relative to the pool's median; 1 is the median.
    const double slowness_ = 1;
    // True if this router has a suspect request running there.
    const bool runsSuspect_ = false;

    auto operator<=>(const UpstreamCandidate &) const = default;
};

// The properties of a request that determine the choice.
struct SelectionRequest
{
    // Hash of the first 1 KiB of the prompt; 0 if the request has no reusable prefix.
    const std::uint64_t prefixHash_ = 0;
    const Tier tier_ = lowestTier;
    // True if the request is suspected of crashing upstreams.
    const bool crashSuspect_ = false;
    // Upstreams that have already been tried.
    const std::vector<NodeId> excludedUpstreams_;

    auto operator<=>(const SelectionRequest &) const = default;
};

// Baseline: each upstream in turn.
struct RoundRobin
{
    auto operator<=>(const RoundRobin &) const = default;
};

// Baseline: the upstream with the fewest outstanding attempts of this router; ties are broken at random.
struct LeastOutstanding
{
    auto operator<=>(const LeastOutstanding &) const = default;
};

// Chooses the best of a few random upstreams by loadScore() (power of d choices). The upstream preferred by the prefix
// is chosen instead if it is within its load bound and either has a free slot or no upstream has one.
struct PowerOfChoices
{
    // The number of upstreams compared, at least 1. With 2, many routers that act on the same reports do not all choose
    // the same upstream. A few routers that send most of the load account for it by their own attempts and balance
    // better with more.
    const std::uint32_t choices_ = 2;
    // Weight of UpstreamCandidate::queuedAhead_, 0 to 1. Reports lag; with more draws, a full weight makes all routers
    // react to the same stale report.
    const double queueWeight_ = 1;

    auto operator<=>(const PowerOfChoices &) const = default;
};

using LoadBalancingPolicy = std::variant<RoundRobin, LeastOutstanding, PowerOfChoices>;

// The preferred upstream of a prefix is chosen while its score is at most this factor times the average score. Beyond
// that, the additional wait costs more time than a cached prefix saves.
constexpr double affinityLoadFactor = 1.5;

// The retry delay that is reported if no upstream is eligible.
constexpr Milliseconds noUpstreamRetryAfter = Milliseconds(1000);

// Returns (outstanding + queueWeight * queued ahead + 1) * slowness; smaller is better.
auto loadScore(const UpstreamCandidate &candidate, double queueWeight = 1) -> double;

// Returns the index of the upstream that the prefix prefers by rendezvous hashing, so that adding or removing a
// candidate remaps only the prefixes of that candidate. Depends on names, not on incarnations. Precondition: candidates
// is not empty.
auto preferredUpstream(std::uint64_t prefixHash, const std::vector<UpstreamCandidate> &candidates) -> std::size_t;

// Not thread-safe. Two choosers with the same seed and inputs make the same choices; routers use different seeds.
class UpstreamChooser
{
public:
    // dataCentre is that of the router; ties are broken in favour of upstreams in it.
    explicit UpstreamChooser(std::uint64_t seed, std::string dataCentre = {});

    // Chooses among the candidates that have not been tried and, for a suspect request, that run no other suspect.
    // Fails with step "choose" and RunState::NotRun if there is none.
    auto choose(const LoadBalancingPolicy &policy, const SelectionRequest &request,
        const std::vector<UpstreamCandidate> &candidates) -> Result<NodeId>;

private:
    auto pick(const RoundRobin &policy, const SelectionRequest &request, const std::vector<UpstreamCandidate> &eligible)
        -> std::size_t;
    auto pick(const LeastOutstanding &policy, const SelectionRequest &request,
        const std::vector<UpstreamCandidate> &eligible) -> std::size_t;
    auto pick(const PowerOfChoices &policy, const SelectionRequest &request,
        const std::vector<UpstreamCandidate> &eligible) -> std::size_t;
    auto randomBelow(std::size_t bound) -> std::size_t;
    auto bestOfRandomDraws(const PowerOfChoices &policy, const std::vector<UpstreamCandidate> &eligible) -> std::size_t;
    auto isBetter(const PowerOfChoices &policy, const UpstreamCandidate &left, const UpstreamCandidate &right) const
        -> bool;

    std::mt19937_64 random_;
    std::string dataCentre_;
    std::uint64_t turn_;
};

} // namespace jasminewood::routing
