#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// Computes the delays between repeated attempts, for example to connect.
//
//     auto backoff = membership::Backoff(seed);
//     while (!dial()) {
//         waitFor(backoff.nextDelay());
//     }
//     backoff.reset();

namespace jasminewood::membership
{

constexpr Milliseconds baseBackoff = Milliseconds(100);
constexpr Milliseconds maximumBackoff = Milliseconds(10'000);

// Exponential backoff with full jitter: the n-th delay is uniform between 0 and the smaller of base * 2^n and maximum.
// Equal seeds give equal delays. The state is small, because there is one instance for each peer. Not thread-safe.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed, Milliseconds base = baseBackoff, Milliseconds maximum = maximumBackoff);

    // Returns the next delay and doubles the ceiling of the one after it, up to the maximum.
    auto nextDelay() -> Milliseconds;

    // Returns the largest delay that the next call of nextDelay() can return.
    auto ceiling() const -> Milliseconds;

    // Resets the ceiling to the base delay. Call it after a success.
    auto reset() -> void;

private:
    std::uint64_t randomState_;
    Milliseconds base_;
    Milliseconds maximum_;
    std::uint32_t doublings_ = 0;
};

} // namespace jasminewood::membership
