#include "jasminewood/scheduling/output_length_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminewood::scheduling
{

namespace
{

// Smallest step of a streaming quantile in doublings: small enough for a steady estimate, large enough to follow a
// change of workload within a few dozen requests.
constexpr double smallestStep = 0.1;
// First step in doublings, so that an outlier as the first sample is left within a few samples.
constexpr double firstStep = 2.0;

} // namespace

StreamingQuantile::StreamingQuantile(double quantile)
    : quantile_(quantile)
{
    assert(quantile > 0 && quantile < 1);
}

auto StreamingQuantile::addSample(std::uint32_t value) -> void
{
    const auto sample = std::log2(std::max<double>(1, value));
    ++samples_;
    if (samples_ == 1) {
        logarithm_ = sample;
        return;
    }
    const auto step = std::max(smallestStep, firstStep / std::sqrt(samples_));
    logarithm_ += step * (sample > logarithm_ ? quantile_ : quantile_ - 1);
    logarithm_ = std::max(0.0, logarithm_);
}

auto StreamingQuantile::sampleCount() const -> std::uint32_t
{
    return samples_;
}

auto StreamingQuantile::estimate() const -> std::uint32_t
{
    return samples_ == 0 ? 0 : static_cast<std::uint32_t>(std::llround(std::exp2(std::min(logarithm_, 31.0))));
}

OutputLengthEstimator::OutputLengthEstimator(double quantile)
    : quantile_(quantile)
{
}

auto OutputLengthEstimator::addSample(
    const std::string &requestClass, const std::string &account, std::uint32_t outputTokens) -> void
{
    track({requestClass, account}, outputTokens);
    if (!account.empty()) {
        track({requestClass, ""}, outputTokens);
    }
}

auto OutputLengthEstimator::estimate(const std::string &requestClass, const std::string &account) const
    -> std::optional<std::uint32_t>
{
    const auto own = known({requestClass, account});
    return own ? own : known({requestClass, ""});
}

auto OutputLengthEstimator::isLikelyLong(
    const std::string &requestClass, const std::string &account, std::uint32_t longTokens) const -> bool
{
    const auto tokens = estimate(requestClass, account);
    return tokens && *tokens > longTokens;
}

auto OutputLengthEstimator::track(const Key &key, std::uint32_t outputTokens) -> void
{
    auto found = tracked_.find(key);
    if (found == tracked_.end()) {
        if (tracked_.size() >= maximumLengthEstimates) {
            tracked_.erase(ages_.back());
            ages_.pop_back();
        }
        ages_.push_front(key);
        found = tracked_.emplace(key, Tracked {StreamingQuantile(quantile_), ages_.begin()}).first;
    }
    ages_.splice(ages_.begin(), ages_, found->second.age_);
    found->second.quantile_.addSample(outputTokens);
}

auto OutputLengthEstimator::known(const Key &key) const -> std::optional<std::uint32_t>
{
    const auto found = tracked_.find(key);
    if (found == tracked_.end() || found->second.quantile_.sampleCount() < minimumLengthSamples) {
        return std::nullopt;
    }
    return found->second.quantile_.estimate();
}

} // namespace jasminewood::scheduling
