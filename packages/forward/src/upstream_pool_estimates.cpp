#include <algorithm>

#include "jasminewood/forward/upstream_pool.h"

// What engines have to prefill before a further prompt, and how long that takes.

namespace jasminewood::forward
{

auto UpstreamPool::latePrefillTokens(const Upstream &upstream) -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto &[chosenAt, prompt] : upstream.pendingPrefill_) {
        sum += prompt.isInTime_ ? 0 : prompt.tokens_;
    }
    return sum;
}

auto UpstreamPool::laterPrefillTokens(const Upstream &upstream, const routing::EngineLoad &load, std::uint32_t rank)
    -> std::uint64_t
{
    auto sum = load.latePrefillTokens_;
    for (const auto &[chosenAt, prompt] : upstream.pendingPrefill_) {
        sum += prompt.isInTime_ && prompt.rank_ > rank ? prompt.tokens_ : 0;
    }
    return std::min(sum, load.pendingPrefillTokens_);
}

auto UpstreamPool::engineCandidate(const Upstream &upstream, const SelectionCriteria &criteria, bool inLongPromptLane,
    TimePoint now) -> routing::EngineCandidate
{
    const auto load = estimatedLoad(upstream, now);
    return {.id_ = upstream.record_->id_,
        .dataCentre_ = upstream.record_->dataCentre_,
        .pendingPrefillTokens_ = load.pendingPrefillTokens_,
        .laterPrefillTokens_ = laterPrefillTokens(upstream, load, criteria.rank_),
        .cachedPrefixTokens_ = prefixCacheModel_.cachedPrefixTokens(upstream.record_->id_, criteria.prompt_->segments_),
        .activeRequests_ = load.inFlightRequests_,
        .slots_ = upstream.record_->slots_,
        .slowness_ = slowness(upstream, now),
        .inLongPromptLane_ = inLongPromptLane};
}

auto UpstreamPool::estimateFirstToken(const Upstream &upstream, const SelectionCriteria &criteria,
    std::uint64_t uncachedTokens, TimePoint now) -> deadlines::FirstTokenEstimate
{
    const auto load = estimatedLoad(upstream, now);
    const auto later = laterPrefillTokens(upstream, load, criteria.rank_);
    const auto engine = deadlines::EngineState {.inTimeTokens_ = load.pendingPrefillTokens_ - later,
        .lateTokens_ = later,
        .activeRequests_ = load.inFlightRequests_,
        .slots_ = upstream.record_->slots_,
        .slowness_ = slowness(upstream, now)};
    const auto rate = prefillRate(criteria.service_).tokensPerMillisecond();
    return {.inTime_ = deadlines::estimateFirstToken(engine, uncachedTokens, rate, deadlines::PrefillScope::InTime),
        .behindAll_ = deadlines::estimateFirstToken(engine, uncachedTokens, rate, deadlines::PrefillScope::All)};
}

auto UpstreamPool::prefillRate(const std::string &service) const -> routing::PrefillRate
{
    const auto found = prefillRates_.find(service);
    return found == prefillRates_.end() ? routing::PrefillRate() : found->second;
}

} // namespace jasminewood::forward
