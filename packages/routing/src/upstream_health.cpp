#include "jasminewood/routing/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jasminewood::routing
{

namespace
{

auto remaining(TimePoint since, TimePoint now) -> double
{
    const auto halfLives = std::chrono::duration<double>(now - since) / slownessHalfLife;
    return std::exp2(-std::max(0.0, halfLives));
}

// How far above the median the time is, decayed by its age; 0 at or below the median.
auto excess(double time, double median, TimePoint sampledAt, TimePoint now) -> double
{
    if (time <= 0 || median <= 0) {
        return 0;
    }
    return std::max(0.0, time / median - 1) * remaining(sampledAt, now);
}

auto microseconds(Microseconds duration) -> double
{
    // At least 1, since 0 stands for no sample.
    return std::max(1.0, static_cast<double>(duration.count()));
}

} // namespace

auto UpstreamHealth::recordTimeToFirstToken(const NodeId &node, Microseconds duration, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto first = upstream.firstToken_.mean_ <= 0;
    upstream.firstToken_ = blended(upstream.firstToken_, microseconds(duration), now);
    upstream.waiting_ = Estimate();
    refreshMedians(now, first);
}

auto UpstreamHealth::recordInterTokenLatency(const NodeId &node, Microseconds duration, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto first = upstream.betweenTokens_.mean_ <= 0;
    upstream.betweenTokens_ = blended(upstream.betweenTokens_, microseconds(duration), now);
    refreshMedians(now, first);
}

auto UpstreamHealth::recordFirstTokenWait(const NodeId &node, Microseconds sinceDispatch, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto time = microseconds(sinceDispatch);
    const auto usual = std::max(upstream.firstToken_.mean_, firstTokenMedian_);
    const auto longest = excess(upstream.waiting_.mean_, firstTokenMedian_, upstream.waiting_.sampledAt_, now);
    if (time > usual && excess(time, firstTokenMedian_, now, now) >= longest) {
        upstream.waiting_ = Estimate {time, now};
    }
}

auto UpstreamHealth::recordFailure(const NodeId &node, TimePoint now) -> void
{
    auto &penalty = upstreams_[node].penalty_;
    const auto left = penalty.mean_ * remaining(penalty.sampledAt_, now);
    penalty = Estimate {std::min(left + failurePenalty, maximumSlowness), now};
}

auto UpstreamHealth::slowness(const NodeId &node, TimePoint now) const -> double
{
    const auto found = upstreams_.find(node);
    if (found == upstreams_.end()) {
        return 1;
    }
    const auto &[firstToken, betweenTokens, waiting, penalty] = found->second;
    const auto slow = std::max({excess(firstToken.mean_, firstTokenMedian_, firstToken.sampledAt_, now),
        excess(betweenTokens.mean_, betweenTokensMedian_, betweenTokens.sampledAt_, now),
        excess(waiting.mean_, firstTokenMedian_, waiting.sampledAt_, now)});
    const auto failures = penalty.mean_ * remaining(penalty.sampledAt_, now);
    return std::min(1 + slow + failures, maximumSlowness);
}

auto UpstreamHealth::forget(const NodeId &node) -> void
{
    upstreams_.erase(node);
}

auto UpstreamHealth::blended(const Estimate &estimate, double sample, TimePoint now) -> Estimate
{
    if (estimate.mean_ <= 0) {
        return {sample, now};
    }
    // An old estimate weighs less, so that the first sample after a pause nearly replaces it.
    const auto kept = (1 - slownessSampleWeight) * remaining(estimate.sampledAt_, now);
    return {kept * estimate.mean_ + (1 - kept) * sample, now};
}

auto UpstreamHealth::refreshMedians(TimePoint now, bool force) -> void
{
    if (!force && refreshedAt_ && now < *refreshedAt_ + medianRefreshInterval) {
        return;
    }
    firstTokenMedian_ = median(&Upstream::firstToken_);
    betweenTokensMedian_ = median(&Upstream::betweenTokens_);
    refreshedAt_ = now;
}

auto UpstreamHealth::median(Estimate Upstream::*kind) const -> double
{
    auto means = std::vector<double>();
    for (const auto &[node, upstream] : upstreams_) {
        if ((upstream.*kind).mean_ > 0) {
            means.push_back((upstream.*kind).mean_);
        }
    }
    if (means.empty()) {
        return 0;
    }
    // The lower median: of two upstreams, the slower one is measured against the faster one.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

} // namespace jasminewood::routing
