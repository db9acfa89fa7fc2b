#include "jasminewood/routing/retry_budget.h"

#include <algorithm>

namespace jasminewood::routing
{

auto RetryBudget::requested(TimePoint now) -> void
{
    refill(now);
    tokens_ = std::min(retryBurst, tokens_ + retryFraction);
}

auto RetryBudget::tryRetry(TimePoint now) -> bool
{
    refill(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

auto RetryBudget::refill(TimePoint now) -> void
{
    if (refilledAt_ && now > *refilledAt_) {
        const auto seconds = std::chrono::duration<double>(now - *refilledAt_).count();
        tokens_ = std::min(retryBurst, tokens_ + seconds * retryFloorPerSecond);
    }
    refilledAt_ = now;
}

} // namespace jasminewood::routing
