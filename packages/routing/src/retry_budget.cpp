#include "jasminewood/routing/retry_budget.h"

#include <cassert>

namespace jasminewood::routing
{

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : options_(options)
    , buckets_()
{
    assert(options_.window_.count() >= std::int64_t(retryWindowBuckets));
}

auto RetryBudget::recordRequest(TimePoint now) -> void
{
    ++currentBucket(now).requests_;
}

auto RetryBudget::tryAcquireRetry(std::size_t routers, TimePoint now) -> bool
{
    assert(routers > 0);
    auto &bucket = currentBucket(now);
    auto requests = 0.0;
    auto retries = 0.0;
    for (const auto &[index, requestCount, retryCount] : buckets_) {
        if (index < 0 || index < bucket.index_ - std::int64_t(retryWindowBuckets)) {
            continue;
        }
        retries += retryCount;
        // The oldest bucket is only partly within the window.
        requests += index > bucket.index_ - std::int64_t(retryWindowBuckets) ? requestCount : 0;
    }
    const auto slack = now >= options_.slackFrom_ ? options_.slack_ / double(routers) : 0;
    if (retries + 1 > options_.fraction_ * requests + slack) {
        return false;
    }
    ++bucket.retries_;
    return true;
}

auto RetryBudget::currentBucket(TimePoint now) -> Bucket &
{
    const auto index = std::int64_t(now.time_since_epoch() / (options_.window_ / std::int64_t(retryWindowBuckets)));
    auto &bucket = buckets_[std::size_t(index) % buckets_.size()];
    if (bucket.index_ != index) {
        bucket = Bucket {.index_ = index};
    }
    return bucket;
}

} // namespace jasminewood::routing
