#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// Estimates the lag of a process: the time for which data that has arrived waits until a thread handles it.
//
//     estimator.record(delay, now);
//     const auto lag = estimator.lag(now);

namespace jasminewood::congestion
{

constexpr auto lagWindow = Milliseconds(1'000);
// A longer delay is ignored: the clock jumped, or the process was suspended.
constexpr auto maximumPlausibleLag = Milliseconds(10'000);
// Fewer delays in two windows say nothing of the load.
constexpr std::uint32_t minimumLagSamples = 4;

// The mean of the delays in the window of the present time and in the one before. Not thread-safe.
class LagEstimator
{
public:
    // Records a delay that ended now. A negative one counts as 0.
    auto record(Clock::duration delay, TimePoint now) -> void;

    // Returns the estimate; 0 if there are too few delays.
    auto lag(TimePoint now) const -> Milliseconds;

private:
    struct Window
    {
        std::int64_t index_ = 0;
        std::uint32_t count_ = 0;
        Clock::duration total_ = Clock::duration::zero();
    };

    Window current_;
    Window previous_;
};

} // namespace jasminewood::congestion
