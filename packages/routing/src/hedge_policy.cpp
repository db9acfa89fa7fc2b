#include "jasminewood/routing/hedge_policy.h"

#include <algorithm>
#include <vector>

namespace jasminewood::routing
{

auto HedgePolicy::recordRequest() -> void
{
    tokens_ = std::min(hedgeBudgetBurst, tokens_ + hedgeBudgetFraction);
}

auto HedgePolicy::recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void
{
    if (!samples_.contains(requestClass) && samples_.size() >= maximumHedgeClasses) {
        return;
    }
    auto &samples = samples_[requestClass];
    samples.push_back(duration);
    if (samples.size() > maximumHedgeSamples) {
        samples.pop_front();
    }
}

auto HedgePolicy::hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>
{
    const auto found = samples_.find(requestClass);
    if (found == samples_.end() || found->second.size() < minimumHedgeSamples) {
        return std::nullopt;
    }
    auto sorted = std::vector<Microseconds>(found->second.begin(), found->second.end());
    const auto rank = static_cast<std::ptrdiff_t>(hedgeQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return sorted[static_cast<std::size_t>(rank)];
}

auto HedgePolicy::tryAcquireHedge() -> bool
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace jasminewood::routing
