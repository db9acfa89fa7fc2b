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

// Choice of the upstream for one attempt.
//
//     auto chooser = Chooser(seed, "lj-a");
//     const auto node = chooser.choose(Weighted {}, request, candidates);

namespace jasminewood::routing
{

// What the router knows of one upstream when it chooses.
struct UpstreamCandidate
{
    const NodeId node_;
    const std::string dataCentre_;
    // Attempts of this router that this upstream has not ended.
    const std::uint32_t outstanding_ = 0;
    // Attempts queued at the agent at the request's tier or a higher one, as last reported.
    const std::uint32_t queuedAhead_ = 0;
    // Free slots as last reported.
    const std::uint32_t freeSlots_ = 0;
    // Own measurements relative to the pool's median; 1 is the median.
    const double slowness_ = 1;
    // True if this router has a suspect request running there.
    const bool runsSuspect_ = false;

    auto operator<=>(const UpstreamCandidate &) const = default;
};

// What the choice depends on in the request.
struct SelectionRequest
{
    // Hash of the first 1 KiB of the prompt; 0 if the request has no prefix to reuse.
    const std::uint64_t prefixHash_ = 0;
    const Tier tier_ = lowestTier;
    const bool suspect_ = false;
    // Upstreams that were already tried.
    const std::vector<NodeId> excludedUpstreams_;

    auto operator<=>(const SelectionRequest &) const = default;
};

// Baseline: each upstream in turn.
struct RoundRobin
{
    auto operator<=>(const RoundRobin &) const = default;
};

// Baseline: the upstream with the fewest outstanding attempts of this router; ties at random.
struct LeastOutstanding
{
    auto operator<=>(const LeastOutstanding &) const = default;
};

// The best of a few random upstreams by score(), unless the prefix's preferred upstream is below its load bound and has
// a free slot, or no upstream has one.
struct PowerOfChoices
{
    // Upstreams that are compared, at least 1. Two keep many routers that see the same reports from herding; a few
    // routers that send most of the load know it from their own attempts and spread it better with more.
    const std::uint32_t choices_ = 2;
    // Weight of Candidate::queuedAhead_, 0 to 1. Reports lag, and with more draws a full weight makes all routers react
    // to the same old report.
    const double queueWeight_ = 1;

    auto operator<=>(const PowerOfChoices &) const = default;
};

using LoadBalancingPolicy = std::variant<RoundRobin, LeastOutstanding, PowerOfChoices>;

// The preferred upstream of a prefix is taken while its score is at most this factor above the average score. A cached
// prefix saves less time than a wait behind more than that costs.
constexpr double affinityLoadFactor = 1.5;

// When a request without any eligible upstream may be sent again.
constexpr Milliseconds noUpstreamRetryAfter = Milliseconds(1000);

// Returns (outstanding + queuedWeight * queued ahead + 1) * slowness; smaller is better.
auto loadScore(const UpstreamCandidate &candidate, double queuedWeight = 1) -> double;

// Returns the position of the upstream that the prefix prefers by rendezvous hash, so that a change of the candidates
// moves only the prefixes of the upstreams that came or went. Depends on names and not on incarnations. Precondition:
// candidates is not empty.
auto preferredUpstream(std::uint64_t prefixHash, const std::vector<UpstreamCandidate> &candidates) -> std::size_t;

// Not thread-safe. Two choosers with the same seed and inputs choose alike; routers use different seeds.
class UpstreamChooser
{
public:
    // dataCentre is the router's own; it decides ties.
    explicit UpstreamChooser(std::uint64_t seed, std::string dataCentre = {});

    // Chooses among the candidates that were not tried and, for a suspect, that run no other suspect. Fails as not run
    // with step "choose" if there is none.
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
    auto bestDraw(const PowerOfChoices &policy, const std::vector<UpstreamCandidate> &eligible) -> std::size_t;
    auto better(const PowerOfChoices &policy, const UpstreamCandidate &left, const UpstreamCandidate &right) const
        -> bool;

    std::mt19937_64 random_;
    std::string dataCentre_;
    std::uint64_t turn_;
};

} // namespace jasminewood::routing
