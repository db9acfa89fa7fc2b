#pragma once

#include <cstdint>
#include <random>

#include "jasminewood/core/clock.h"

// Delays between attempts to dial. Pure: the seed is an argument.

namespace jasminewood::link
{

constexpr auto initialBackoff = Milliseconds(50);
constexpr auto maximumBackoff = Milliseconds(2000);

// Exponential backoff with jitter. The upper bound of the delay doubles from initialBackoff to maximumBackoff. Each
// delay is drawn at random from the upper half of its range, so that the peers of a restarted process do not all dial
// at the same moment. Not thread-safe.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed);

    // Returns the time to wait before the next attempt.
    auto nextDelay() -> Milliseconds;

    // Resets the upper bound to initialBackoff.
    auto reset() -> void;

private:
    std::mt19937_64 random_;
    Milliseconds ceiling_ = initialBackoff;
};

} // namespace jasminewood::link
