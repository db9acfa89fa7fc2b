#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "jasminewood/core/clock.h"

// Bounds retries by a fraction of the requests, so that retries cannot multiply an overload.
//
//     auto budget = RetryBudget({.fraction_ = 0.2, .slack_ = 50, .window_ = 10s});
//     budget.requested(now);
//     if (failed && budget.tryRetry(routers, now)) {
//         retry();
//     }

namespace jasminewood::routing
{

struct RetryBudgetOptions
{
    // Retries for each request within a window.
    const double fraction_ = 0.1;
    // Retries within a window beyond that fraction, over all routers together.
    const double slack_ = 20;
    // Precondition: at least retrySteps milliseconds.
    const Milliseconds window_ = Milliseconds(10'000);
    // The slack is used only after this time, in which a router that has just started learns how many share it.
    const Milliseconds slackDelay_ = Milliseconds(0);

    auto operator<=>(const RetryBudgetOptions &) const = default;
};

// Parts in which a window is counted.
constexpr std::size_t retryWindowBuckets = 20;

// Within any window that ends with a retry the retries are at most fraction_ * requests + slack_ / routers. Not
// thread-safe. Precondition: now does not go
// backwards.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &limits = {});

    // A request arrived from a caller; its retries are not counted here.
    auto recordRequest(TimePoint now) -> void;

    // Returns true and counts a retry if there is one left for this router. Precondition: routers, which counts this
    // one, is positive.
    auto tryAcquireRetry(std::size_t routers, TimePoint now) -> bool;

private:
    struct Step
    {
        std::int64_t number_ = -1;
        std::uint32_t requests_ = 0;
        std::uint32_t retries_ = 0;
    };

    // The counts of the present step. The ring has one step more than a window, so that the retries of every window are
    // counted in full.
    auto current(TimePoint now) -> Step &;

    RetryBudgetOptions limits_;
    std::array<Step, retryWindowBuckets + 1> steps_;
    TimePoint usableAt_ = TimePoint::min();
    bool begun_ = false;
};

} // namespace jasminewood::routing
