#pragma once

#include <optional>

#include "jasminewood/core/clock.h"

// Bounds retries by a fraction of the requests, so that retries cannot multiply an overload.
//
//     budget.requested(now);
//     if (failed && budget.tryRetry(now)) {
//         retry();
//     }

namespace jasminewood::routing
{

// Retries per request over time.
constexpr double retryFraction = 0.1;
// Retries per second that are allowed without any request, so that a router with little traffic can retry at all.
constexpr double retryFloorPerSecond = 1;
// Retries that can be saved up. The requests in flight at one crashed upstream all retry at once.
constexpr double retryBurst = 50;
// Retries that a new budget starts with.
constexpr double initialRetries = 10;

// Token bucket. Over any time the retries are at most initialRetries + retryFraction * requests +
// retryFloorPerSecond * seconds. Not thread-safe. Precondition: now does not go backwards.
class RetryBudget
{
public:
    // A request arrived from a caller; its retries are not counted here.
    auto requested(TimePoint now) -> void;

    // Returns true and takes one retry off the budget if there is one.
    auto tryRetry(TimePoint now) -> bool;

private:
    auto refill(TimePoint now) -> void;

    double tokens_ = initialRetries;
    std::optional<TimePoint> refilledAt_;
};

} // namespace jasminewood::routing
