#include "jasminewood/routing/hedge_policy.h"

#include <algorithm>
#include <vector>

namespace jasminewood::routing
{

auto HedgePolicy::recordRequest() -> void
{
    availableHedges_ = std::min(hedgeBudgetBurst, availableHedges_ + hedgeBudgetFraction);
}

auto HedgePolicy::recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void
{
    if (!timesToFirstToken_.contains(requestClass) && timesToFirstToken_.size() >= maximumHedgeClasses) {
        return;
    }
    auto &samples = timesToFirstToken_[requestClass];
    samples.push_back(duration);
    if (samples.size() > maximumHedgeSamples) {
        samples.pop_front();
    }
}

auto HedgePolicy::hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>
{
    const auto found = timesToFirstToken_.find(requestClass);
    if (found == timesToFirstToken_.end() || found->second.size() < minimumHedgeSamples) {
        return std::nullopt;
    }
    auto sorted = std::vector<Microseconds>(found->second.begin(), found->second.end());
    const auto rank = static_cast<std::ptrdiff_t>(hedgeQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return sorted[static_cast<std::size_t>(rank)];
}

auto HedgePolicy::tryAcquireHedge() -> bool
{
    if (availableHedges_ < 1) {
        return false;
    }
    availableHedges_ -= 1;
    return true;
}

} // namespace jasminewood::routing
