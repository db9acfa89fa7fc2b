#include "jasminewood/scheduling/output_length_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminewood::scheduling
{

namespace
{

// Minimum step of a streaming quantile in doublings: small enough for a stable estimate, large enough to follow a
// change of workload within a few dozen requests.
constexpr double minimumStep = 0.1;
// Initial step in doublings, so that the estimate recovers from an outlier as the first sample within a few samples.
constexpr double initialStep = 2.0;

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
        log2Estimate_ = sample;
        return;
    }
    const auto step = std::max(minimumStep, initialStep / std::sqrt(samples_));
    log2Estimate_ += step * (sample > log2Estimate_ ? quantile_ : quantile_ - 1);
    log2Estimate_ = std::max(0.0, log2Estimate_);
}

auto StreamingQuantile::sampleCount() const -> std::uint32_t
{
    return samples_;
}

auto StreamingQuantile::estimate() const -> std::uint32_t
{
    return samples_ == 0 ? 0 : static_cast<std::uint32_t>(std::llround(std::exp2(std::min(log2Estimate_, 31.0))));
}

OutputLengthEstimator::OutputLengthEstimator(double quantile)
    : quantile_(quantile)
{
}

auto OutputLengthEstimator::addSample(
    const std::string &requestClass, const std::string &account, std::uint32_t outputTokens) -> void
{
    updateQuantile({requestClass, account}, outputTokens);
    if (!account.empty()) {
        updateQuantile({requestClass, ""}, outputTokens);
    }
}

auto OutputLengthEstimator::estimate(const std::string &requestClass, const std::string &account) const
    -> std::optional<std::uint32_t>
{
    const auto accountEstimate = estimateFor({requestClass, account});
    return accountEstimate ? accountEstimate : estimateFor({requestClass, ""});
}

auto OutputLengthEstimator::isLikelyLong(
    const std::string &requestClass, const std::string &account, std::uint32_t longTokens) const -> bool
{
    const auto tokens = estimate(requestClass, account);
    return tokens && *tokens > longTokens;
}

auto OutputLengthEstimator::updateQuantile(const Key &key, std::uint32_t outputTokens) -> void
{
    auto found = quantiles_.find(key);
    if (found == quantiles_.end()) {
        if (quantiles_.size() >= maximumLengthEstimates) {
            quantiles_.erase(keysByRecency_.back());
            keysByRecency_.pop_back();
        }
        keysByRecency_.push_front(key);
        found = quantiles_.emplace(key, TrackedQuantile {StreamingQuantile(quantile_), keysByRecency_.begin()}).first;
    }
    keysByRecency_.splice(keysByRecency_.begin(), keysByRecency_, found->second.recencyPosition_);
    found->second.quantile_.addSample(outputTokens);
}

auto OutputLengthEstimator::estimateFor(const Key &key) const -> std::optional<std::uint32_t>
{
    const auto found = quantiles_.find(key);
    if (found == quantiles_.end() || found->second.quantile_.sampleCount() < minimumLengthSamples) {
        return std::nullopt;
    }
    return found->second.quantile_.estimate();
}

} // namespace jasminewood::scheduling
