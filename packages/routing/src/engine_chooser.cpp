#include "jasminewood/routing/engine_chooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

#include "rendezvous.h"

namespace jasminewood::routing
{

namespace
{

// The rendezvous key that orders the engines for the lanes.
constexpr std::uint64_t laneKey = 0x6c616e65;

auto crossLaneCost(const PromptRequest &request, const EngineCandidate &candidate) -> double
{
    if (candidate.inLongPromptLane_ == request.isLongPrompt_) {
        return 0;
    }
    return crossLanePenaltyTokens + (request.isLongPrompt_ ? tokensPerDelayedStream * candidate.activeRequests_ : 0);
}

// Returns the index of the home engine of the shared prefix, which all routers with the same engines compute alike; the
// number of candidates if there is none.
auto homeEngine(const PromptRequest &request, const std::vector<EngineCandidate> &candidates) -> std::size_t
{
    auto home = candidates.size();
    auto homeWeight = std::uint64_t(0);
    if (request.sharedPrefixId_ == 0) {
        return home;
    }
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto weight = internal::rendezvousWeight(candidates[index].id_, request.sharedPrefixId_);
        if (candidates[index].inLongPromptLane_ == request.isLongPrompt_ && weight >= homeWeight) {
            home = index;
            homeWeight = weight;
        }
    }
    return home;
}

// Returns the tokens of the shared prefix that no engine is known to have cached. Another router has probably just sent
// them to the home engine. What some engine has cached, the home engine may lack.
auto unknownPrefixTokens(const PromptRequest &request, const std::vector<EngineCandidate> &candidates) -> std::uint64_t
{
    auto known = std::uint64_t(0);
    for (const auto &candidate : candidates) {
        known = std::max(known, candidate.cachedPrefixTokens_);
    }
    return request.sharedPrefixTokens_ - std::min(request.sharedPrefixTokens_, known);
}

} // namespace

auto engineState(const EngineCandidate &candidate) -> deadlines::EngineState
{
    const auto later = std::min(candidate.laterPrefillTokens_, candidate.pendingPrefillTokens_);
    return {.inTimeTokens_ = candidate.pendingPrefillTokens_ - later,
        .lateTokens_ = later,
        .activeRequests_ = candidate.activeRequests_,
        .slots_ = candidate.slots_,
        .slowness_ = candidate.slowness_};
}

auto prefillCost(const PromptRequest &request, const EngineCandidate &candidate, std::uint64_t cachedTokens) -> double
{
    const auto cached = std::min(request.promptTokens_, cachedTokens);
    const auto uncached = request.promptTokens_ - cached;
    const auto engine = engineState(candidate);
    const auto shared = std::min(request.sharedPrefixTokens_, request.promptTokens_);
    const auto recomputed = shared - std::min(shared, cached);
    const auto tokens = deadlines::tokensBeforeFirstToken(engine, uncached, deadlines::PrefillScope::All);
    const auto tokensIfInTime = deadlines::tokensBeforeFirstToken(engine, uncached, deadlines::PrefillScope::InTime);
    const auto isLate
        = request.tokensUntilDue_ && tokensIfInTime * candidate.slowness_ > double(*request.tokensUntilDue_);
    return (tokens + (recomputeWeight - 1) * double(recomputed)) * candidate.slowness_
        + (isLate ? lateFirstTokenCost : 0) + crossLaneCost(request, candidate);
}

auto longPromptLaneSize(double share, std::size_t engines, std::size_t previous) -> std::size_t
{
    if (share <= 0 || engines < 2) {
        return 0;
    }
    const auto target = std::clamp(share * double(engines), 1.0, double(engines - 1));
    const auto keepPrevious = previous > 0 && previous < engines && std::abs(target - double(previous)) < 1;
    return keepPrevious ? previous : std::size_t(std::lround(target));
}

auto selectLongPromptLane(const std::vector<std::string> &ids, std::size_t size) -> std::vector<bool>
{
    auto inLane = std::vector<bool>(ids.size(), false);
    if (size == 0) {
        return inLane;
    }
    auto weights = std::vector<std::uint64_t>();
    weights.reserve(ids.size());
    for (const auto &id : ids) {
        weights.push_back(internal::rendezvousWeight(id, laneKey));
    }
    const auto lane = std::min(size, ids.size());
    auto order = std::vector<std::size_t>(ids.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::partial_sort(order.begin(), order.begin() + std::ptrdiff_t(lane), order.end(),
        [&ids, &weights](std::size_t left, std::size_t right) {
            return std::tie(weights[left], ids[left]) > std::tie(weights[right], ids[right]);
        });
    for (auto index = std::size_t(0); index < lane; ++index) {
        inLane[order[index]] = true;
    }
    return inLane;
}

EngineChooser::EngineChooser(std::uint64_t seed, std::string dataCentre)
    : random_(seed)
    , dataCentre_(std::move(dataCentre))
{
}

auto EngineChooser::choose(const PromptRequest &request, const std::vector<EngineCandidate> &candidates) -> std::size_t
{
    assert(!candidates.empty());
    const auto home = homeEngine(request, candidates);
    const auto assumedTokens = unknownPrefixTokens(request, candidates);
    auto best = std::size_t(0);
    auto bestCost = std::numeric_limits<double>::infinity();
    auto tieBreak = std::uniform_real_distribution<double>(0, costTieTokens);
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        const auto remotePenalty = candidate.dataCentre_ == dataCentre_ ? 0 : costTieTokens;
        const auto cachedTokens = candidate.cachedPrefixTokens_ + (index == home ? assumedTokens : 0);
        const auto cost = prefillCost(request, candidate, cachedTokens) + remotePenalty + tieBreak(random_);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace jasminewood::routing
