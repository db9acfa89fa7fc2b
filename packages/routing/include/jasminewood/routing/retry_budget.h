#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "jasminewood/core/clock.h"

// Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
//
//     auto budget = RetryBudget({.fraction_ = 0.2, .slack_ = 50, .window_ = 10s});
//     budget.recordRequest(now);
//     if (failed && budget.tryAcquireRetry(routers, now)) {
//         retry();
//     }

namespace jasminewood::routing
{

struct RetryBudgetOptions
{
    // Retries allowed per request within a window.
    const double fraction_ = 0.1;
    // Retries allowed within a window beyond that fraction, for all routers together.
    const double slack_ = 20;
    // Precondition: at least retryWindowBuckets milliseconds.
    const Milliseconds window_ = Milliseconds(10'000);
    // The slack is available from this time on. A router that has just started does not know how many routers share it.
    const TimePoint slackFrom_ = TimePoint::min();

    auto operator<=>(const RetryBudgetOptions &) const = default;
};

// The number of buckets in which a window is counted.
constexpr std::size_t retryWindowBuckets = 20;

// Within any window that ends with a retry, the retries are at most fraction_ * requests + slack_ / routers. Not
// thread-safe. Precondition: now does not go backwards.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    // Records a request from a caller; its retries must not be recorded here.
    auto recordRequest(TimePoint now) -> void;

    // Returns true and counts a retry if the budget allows one. Precondition: routers, which includes this one, is
    // positive.
    auto tryAcquireRetry(std::size_t routers, TimePoint now) -> bool;

private:
    struct Bucket
    {
        std::int64_t index_ = -1;
        std::uint32_t requests_ = 0;
        std::uint32_t retries_ = 0;
    };

    // Returns the bucket of the current time. The ring has one bucket more than a window, so that the retries of every
    // window are counted in full.
    auto currentBucket(TimePoint now) -> Bucket &;

    RetryBudgetOptions options_;
    std::array<Bucket, retryWindowBuckets + 1> buckets_;
};

} // namespace jasminewood::routing
