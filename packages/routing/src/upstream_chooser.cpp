#include "jasminewood/routing/upstream_chooser.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <tuple>

#include "rendezvous.h"

namespace jasminewood::routing
{

namespace
{

auto isEligible(const SelectionRequest &request, const UpstreamCandidate &candidate) -> bool
{
    const auto &excluded = request.excludedUpstreams_;
    const auto tried = std::find(excluded.begin(), excluded.end(), candidate.node_) != excluded.end();
    return !tried && !(request.crashSuspect_ && candidate.runsSuspect_);
}

auto averageScore(const std::vector<UpstreamCandidate> &candidates, double queueWeight) -> double
{
    const auto add = [&](double sum, const UpstreamCandidate &candidate) -> double {
        return sum + loadScore(candidate, queueWeight);
    };
    const auto total = std::accumulate(candidates.begin(), candidates.end(), 0.0, add);
    return total / static_cast<double>(candidates.size());
}

auto withinAffinityBound(
    const UpstreamCandidate &preferred, const std::vector<UpstreamCandidate> &candidates, double queueWeight) -> bool
{
    // Waiting for a slot costs more than a cached prefix saves.
    const auto freeSlotElsewhere = preferred.freeSlots_ == 0
        && std::any_of(candidates.begin(), candidates.end(), [](const UpstreamCandidate &candidate) {
               return candidate.freeSlots_ > 0;
           });
    // If all upstreams are full, the prefix decides only among queues that are no longer than average.
    const auto factor = preferred.freeSlots_ == 0 ? 1.0 : affinityLoadFactor;
    return !freeSlotElsewhere && loadScore(preferred, queueWeight) <= factor * averageScore(candidates, queueWeight);
}

} // namespace

auto loadScore(const UpstreamCandidate &candidate, double queueWeight) -> double
{
    return (candidate.outstanding_ + queueWeight * candidate.queuedAhead_ + 1) * candidate.slowness_;
}

auto preferredUpstream(std::uint64_t prefixHash, const std::vector<UpstreamCandidate> &candidates) -> std::size_t
{
    assert(!candidates.empty());
    auto best = std::size_t(0);
    auto bestHash = std::uint64_t(0);
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto hash = internal::rendezvousWeight(candidates[index].node_.name_, prefixHash);
        if (hash >= bestHash) {
            best = index;
            bestHash = hash;
        }
    }
    return best;
}

UpstreamChooser::UpstreamChooser(std::uint64_t seed, std::string dataCentre)
    : random_(seed)
    , dataCentre_(std::move(dataCentre))
    , turn_(random_())
{
}

auto UpstreamChooser::choose(const LoadBalancingPolicy &policy, const SelectionRequest &request,
    const std::vector<UpstreamCandidate> &candidates) -> Result<NodeId>
{
    auto eligible = std::vector<UpstreamCandidate>();
    eligible.reserve(candidates.size());
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(eligible), [&](const UpstreamCandidate &candidate) {
            return isEligible(request, candidate);
        });
    if (eligible.empty()) {
        return Failure {.step_ = "choose",
            .reason_ = candidates.empty() ? "pool has no upstream" : "no further upstream is eligible",
            .runState_ = RunState::NotRun,
            .retryAfter_ = noUpstreamRetryAfter};
    }
    const auto index = std::visit(
        [&](const auto &kind) {
            return pick(kind, request, eligible);
        },
        policy);
    return eligible[index].node_;
}

auto UpstreamChooser::pick(const RoundRobin & /*policy*/, const SelectionRequest & /*request*/,
    const std::vector<UpstreamCandidate> &eligible) -> std::size_t
{
    return static_cast<std::size_t>(turn_++ % eligible.size());
}

auto UpstreamChooser::pick(const LeastOutstanding & /*policy*/, const SelectionRequest & /*request*/,
    const std::vector<UpstreamCandidate> &eligible) -> std::size_t
{
    auto least = std::vector<std::size_t>();
    for (auto index = std::size_t(0); index < eligible.size(); ++index) {
        if (!least.empty() && eligible[index].outstanding_ < eligible[least.front()].outstanding_) {
            least.clear();
        }
        if (least.empty() || eligible[index].outstanding_ == eligible[least.front()].outstanding_) {
            least.push_back(index);
        }
    }
    return least[randomBelow(least.size())];
}

auto UpstreamChooser::pick(const PowerOfChoices &policy, const SelectionRequest &request,
    const std::vector<UpstreamCandidate> &eligible) -> std::size_t
{
    if (request.prefixHash_ != 0) {
        const auto preferred = preferredUpstream(request.prefixHash_, eligible);
        if (withinAffinityBound(eligible[preferred], eligible, policy.queueWeight_)) {
            return preferred;
        }
    }
    return bestOfRandomDraws(policy, eligible);
}

auto UpstreamChooser::bestOfRandomDraws(const PowerOfChoices &policy, const std::vector<UpstreamCandidate> &eligible)
    -> std::size_t
{
    // Draws without replacement by a partial Fisher-Yates shuffle: each drawn index is swapped to the front and the
    // next one comes from the rest.
    auto order = std::vector<std::size_t>(eligible.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    const auto draws = std::clamp<std::size_t>(policy.choices_, 1, eligible.size());
    auto best = std::size_t(0);
    for (auto draw = std::size_t(0); draw < draws; ++draw) {
        std::swap(order[draw], order[draw + randomBelow(eligible.size() - draw)]);
        const auto drawn = order[draw];
        if (draw == 0 || isBetter(policy, eligible[drawn], eligible[best])) {
            best = drawn;
        }
    }
    return best;
}

auto UpstreamChooser::randomBelow(std::size_t bound) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

auto UpstreamChooser::isBetter(
    const PowerOfChoices &policy, const UpstreamCandidate &left, const UpstreamCandidate &right) const -> bool
{
    const auto rank = [&](const UpstreamCandidate &candidate) -> std::tuple<double, bool, bool> {
        return {
            loadScore(candidate, policy.queueWeight_), candidate.freeSlots_ == 0, candidate.dataCentre_ != dataCentre_};
    };
    return rank(left) < rank(right);
}

} // namespace jasminewood::routing
