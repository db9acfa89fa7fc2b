#pragma once

#include <cstdint>
#include <optional>

#include "jasminewood/core/clock.h"

// The token buckets of one account for one unit (requests or work).

namespace jasminewood::admission::internal
{

// A shared bucket for what all routers admit together, debited with the usage that they report, and a local bucket that
// limits what this router admits before the others have received its usage. Not thread-safe.
class AccountTokenBuckets
{
public:
    // Both buckets start full. A rate of 0 means no limit.
    AccountTokenBuckets(double ratePerSecond, std::uint32_t routers, TimePoint now);

    // Changes the rate and the number of routers. Bucket levels above the new capacities are lowered to them.
    auto configure(double ratePerSecond, std::uint32_t routers) -> void;

    // Returns the time until the cost can be admitted, or empty if it can be admitted now. A cost above a bucket's
    // capacity is admitted when the bucket is full; the level then becomes negative.
    auto timeUntilAvailable(double cost, TimePoint now) -> std::optional<Milliseconds>;

    // Debits both buckets with the cost of a request at this router; a negative cost is a refund.
    auto debitLocalUsage(double cost) -> void;

    // Debits the shared bucket with the usage of another router.
    auto debitRemoteUsage(double cost, TimePoint now) -> void;

    // Returns the maximum that a router can have admitted since its last usage message, unless a single cost exceeded
    // its share of the burst.
    auto maximumUnreportedUsage() const -> double;

private:
    auto refill(TimePoint now) -> void;
    auto clampLevels() -> void;

    double ratePerSecond_;
    std::uint32_t routerCount_;
    double sharedLevel_;
    double localLevel_;
    TimePoint refilledAt_;
};

} // namespace jasminewood::admission::internal
