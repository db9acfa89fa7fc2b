#include "jasminewood/routing/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jasminewood::routing
{

namespace
{

auto decayFactor(TimePoint since, TimePoint now) -> double
{
    const auto halfLives = std::chrono::duration<double>(now - since) / slownessHalfLife;
    return std::exp2(-std::max(0.0, halfLives));
}

// Returns the fraction by which the time exceeds the median, decayed by its age; 0 at or below the median.
auto decayedExcess(double time, double median, TimePoint sampledAt, TimePoint now) -> double
{
    if (time <= 0 || median <= 0) {
        return 0;
    }
    return std::max(0.0, time / median - 1) * decayFactor(sampledAt, now);
}

auto sampleMicroseconds(Microseconds duration) -> double
{
    // At least 1, since 0 stands for no sample.
    return std::max(1.0, static_cast<double>(duration.count()));
}

} // namespace

auto UpstreamHealth::recordTimeToFirstToken(const NodeId &node, Microseconds duration, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto firstSample = upstream.timeToFirstToken_.mean_ <= 0;
    upstream.timeToFirstToken_ = updatedAverage(upstream.timeToFirstToken_, sampleMicroseconds(duration), now);
    upstream.longestWait_ = Estimate();
    refreshMedians(now, firstSample);
}

auto UpstreamHealth::recordInterTokenLatency(const NodeId &node, Microseconds duration, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto firstSample = upstream.interTokenLatency_.mean_ <= 0;
    upstream.interTokenLatency_ = updatedAverage(upstream.interTokenLatency_, sampleMicroseconds(duration), now);
    refreshMedians(now, firstSample);
}

auto UpstreamHealth::recordFirstTokenWait(const NodeId &node, Microseconds sinceDispatch, TimePoint now) -> void
{
    auto &upstream = upstreams_[node];
    const auto time = sampleMicroseconds(sinceDispatch);
    const auto usualTime = std::max(upstream.timeToFirstToken_.mean_, timeToFirstTokenMedian_);
    const auto longestExcess
        = decayedExcess(upstream.longestWait_.mean_, timeToFirstTokenMedian_, upstream.longestWait_.sampledAt_, now);
    if (time > usualTime && decayedExcess(time, timeToFirstTokenMedian_, now, now) >= longestExcess) {
        upstream.longestWait_ = Estimate {time, now};
    }
}

auto UpstreamHealth::recordFailure(const NodeId &node, TimePoint now) -> void
{
    auto &penalty = upstreams_[node].penalty_;
    const auto remainingPenalty = penalty.mean_ * decayFactor(penalty.sampledAt_, now);
    penalty = Estimate {std::min(remainingPenalty + failurePenalty, maximumSlowness), now};
}

auto UpstreamHealth::slowness(const NodeId &node, TimePoint now) const -> double
{
    const auto found = upstreams_.find(node);
    if (found == upstreams_.end()) {
        return 1;
    }
    const auto &[timeToFirstToken, interTokenLatency, longestWait, penalty] = found->second;
    const auto excess
        = std::max({decayedExcess(timeToFirstToken.mean_, timeToFirstTokenMedian_, timeToFirstToken.sampledAt_, now),
            decayedExcess(interTokenLatency.mean_, interTokenLatencyMedian_, interTokenLatency.sampledAt_, now),
            decayedExcess(longestWait.mean_, timeToFirstTokenMedian_, longestWait.sampledAt_, now)});
    const auto failureExcess = penalty.mean_ * decayFactor(penalty.sampledAt_, now);
    return std::min(1 + excess + failureExcess, maximumSlowness);
}

auto UpstreamHealth::forget(const NodeId &node) -> void
{
    upstreams_.erase(node);
}

auto UpstreamHealth::updatedAverage(const Estimate &estimate, double sample, TimePoint now) -> Estimate
{
    if (estimate.mean_ <= 0) {
        return {sample, now};
    }
    // An old estimate has less weight, so that the first sample after a pause nearly replaces it.
    const auto oldWeight = (1 - slownessSampleWeight) * decayFactor(estimate.sampledAt_, now);
    return {oldWeight * estimate.mean_ + (1 - oldWeight) * sample, now};
}

auto UpstreamHealth::refreshMedians(TimePoint now, bool force) -> void
{
    if (!force && refreshedAt_ && now < *refreshedAt_ + medianRefreshInterval) {
        return;
    }
    timeToFirstTokenMedian_ = median(&Upstream::timeToFirstToken_);
    interTokenLatencyMedian_ = median(&Upstream::interTokenLatency_);
    refreshedAt_ = now;
}

auto UpstreamHealth::median(Estimate Upstream::*estimate) const -> double
{
    auto means = std::vector<double>();
    for (const auto &[node, upstream] : upstreams_) {
        if ((upstream.*estimate).mean_ > 0) {
            means.push_back((upstream.*estimate).mean_);
        }
    }
    if (means.empty()) {
        return 0;
    }
    // Uses the lower median: of two upstreams, the slower one is compared with the faster one.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

} // namespace jasminewood::routing
