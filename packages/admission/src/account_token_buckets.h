#pragma once

#include <cstdint>
#include <optional>

#include "jasminewood/core/clock.h"

// The token buckets of one account in one unit (requests or work).

namespace jasminewood::admission::internal
{

// A shared bucket for what all routers admit together, debited by their usage as it becomes known, and a local one that
// bounds what this router admits before the others know of it. Not thread-safe.
class AccountTokenBuckets
{
public:
    // Both buckets start full. A rate of 0 means no limit.
    AccountTokenBuckets(double ratePerSecond, std::uint32_t routers, TimePoint now);

    // Changes the rate and the number of routers; levels above the new capacities are cut.
    auto configure(double ratePerSecond, std::uint32_t routers) -> void;

    // Returns how long to wait until the cost can be admitted, or empty if it can be admitted now. A cost above a
    // bucket's capacity is admitted when the bucket is full, and the bucket goes into debt.
    auto wait(double cost, TimePoint now) -> std::optional<Milliseconds>;

    // Takes an own cost from both buckets; a negative cost is a refund.
    auto debitOwn(double cost) -> void;

    // Takes another router's usage from the shared bucket.
    auto debitRemote(double cost, TimePoint now) -> void;

    // Returns the most that a router can have admitted since its last usage message, unless one cost exceeded its
    // share.
    auto unknownUsage() const -> double;

private:
    auto refill(TimePoint now) -> void;
    auto clamp() -> void;

    double rate_;
    std::uint32_t routers_;
    double shared_;
    double local_;
    TimePoint refilledAt_;
};

} // namespace jasminewood::admission::internal
