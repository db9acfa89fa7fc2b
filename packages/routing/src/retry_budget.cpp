#include "jasminewood/routing/retry_budget.h"

#include <cassert>

namespace jasminewood::routing
{

RetryBudget::RetryBudget(const RetryBudgetOptions &limits)
    : limits_(limits)
    , steps_()
{
    assert(limits_.window_.count() >= std::int64_t(retrySteps));
}

auto RetryBudget::recordRequest(TimePoint now) -> void
{
    ++current(now).requests_;
}

auto RetryBudget::tryAcquireRetry(std::size_t routers, TimePoint now) -> bool
{
    assert(routers > 0);
    auto &step = current(now);
    auto requests = 0.0;
    auto retries = 0.0;
    for (const auto &[number, counted, repeated] : steps_) {
        if (number < 0 || number < step.number_ - std::int64_t(retryWindowBuckets)) {
            continue;
        }
        retries += repeated;
        // The oldest step is only partly within the window.
        requests += number > step.number_ - std::int64_t(retryWindowBuckets) ? counted : 0;
    }
    const auto slack = now >= usableAt_ ? limits_.slack_ / double(routers) : 0;
    if (retries + 1 > limits_.fraction_ * requests + slack) {
        return false;
    }
    ++step.retries_;
    return true;
}

auto RetryBudget::current(TimePoint now) -> Step &
{
    if (!begun_) {
        begun_ = true;
        usableAt_ = now + limits_.slackDelay_;
    }
    const auto number = std::int64_t(now.time_since_epoch() / (limits_.window_ / std::int64_t(retryWindowBuckets)));
    auto &step = steps_[std::size_t(number) % steps_.size()];
    if (step.number_ != number) {
        step = Step {.number_ = number};
    }
    return step;
}

} // namespace jasminewood::routing
