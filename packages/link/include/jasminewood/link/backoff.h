#pragma once

#include <cstdint>
#include <random>

#include "jasminewood/core/clock.h"

// Waiting times between attempts to dial. Pure: the seed is an argument.

namespace jasminewood::link
{

constexpr auto initialBackoff = Milliseconds(50);
constexpr auto maximumBackoff = Milliseconds(2000);

// Doubles the wait up to maximumBackoff. Each wait is drawn from its upper half, so that the peers of a process that
// returns do not all dial at the same moment. Not thread-safe.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed);

    // The time to wait before the next attempt.
    auto nextDelay() -> Milliseconds;

    // Starts again with initialBackoff.
    auto reset() -> void;

private:
    std::mt19937_64 random_;
    Milliseconds ceiling_ = initialBackoff;
};

} // namespace jasminewood::link
