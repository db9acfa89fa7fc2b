#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// Delays between repeated tries.
//
//     auto backoff = membership::Backoff(seed);
//     while (!dial()) {
//         waitFor(backoff.next());
//     }
//     backoff.reset();

namespace jasminewood::membership
{

constexpr Milliseconds baseBackoff = Milliseconds(100);
constexpr Milliseconds maximumBackoff = Milliseconds(10'000);

// Exponential backoff with full jitter: the n-th delay is uniform between 0 and the smaller of base * 2^n and maximum.
// Equal seeds give equal delays. Holds two words of state, because there is one for each peer. Not thread-safe.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed, Milliseconds base = baseBackoff, Milliseconds maximum = maximumBackoff);

    // Returns the next delay.
    auto nextDelay() -> Milliseconds;

    // Returns the largest delay that the next call of next() can return.
    auto ceiling() const -> Milliseconds;

    // Starts again with short delays, after a success.
    auto reset() -> void;

private:
    std::uint64_t random_;
    Milliseconds base_;
    Milliseconds maximum_;
    std::uint32_t failures_ = 0;
};

} // namespace jasminewood::membership
