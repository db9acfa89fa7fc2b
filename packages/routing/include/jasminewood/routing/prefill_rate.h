#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// Estimates how many prompt tokens an engine of one service prefills in a millisecond, from the times to first token of
// requests that found no prefill pending.
//
//     rate.record(9'000, 1.0, 360ms);
//     const auto tokens = rate.tokensIn(600ms);

namespace jasminewood::routing
{

// The estimate before the first sample, in tokens per millisecond.
constexpr double initialPrefillRate = 25;
// A prompt of fewer tokens says little about the rate: its time is mostly that of other work.
constexpr std::uint64_t minimumSampleTokens = 2'000;
// The quantile of the samples that the estimate follows. It is below the median, because a prompt of which the engine
// had more cached than known seems fast.
constexpr double prefillRateQuantile = 0.4;
// The change of the estimate's logarithm for each sample.
constexpr double prefillRateStep = 0.1;

// Not thread-safe.
class PrefillRate
{
public:
    // Records a prompt that was prefilled without delay. slowness is the duration of a unit of work at the engine
    // divided by its usual duration. Prompts below minimumSampleTokens are ignored.
    auto record(std::uint64_t tokens, double slowness, Clock::duration timeToFirstToken) -> void;

    // Returns the tokens that an engine of usual speed prefills in this time.
    auto tokensIn(Clock::duration time) const -> std::uint64_t;

    auto tokensPerMillisecond() const -> double;

private:
    double tokensPerMillisecond_ = initialPrefillRate;
};

} // namespace jasminewood::routing
