#pragma once

#include <optional>

#include "jasminewood/core/clock.h"

// How much processor time this process uses, compared with what its VM provides.
//
//     auto meter = node::ProcessorMeter(0.5);
//     const auto utilisation = meter.sample(Clock::now());

namespace jasminewood::node
{

// Returns the processor time that this process has used since its start.
auto processorTime() -> Microseconds;

// Not thread-safe.
class ProcessorMeter
{
public:
    // capacity is what the VM provides, in cores; 0 if unknown.
    explicit ProcessorMeter(double capacity);

    // Returns the part of the capacity that was used since the last call; empty at the first call and if the capacity
    // is unknown.
    auto sample(TimePoint now) -> std::optional<double>;

private:
    const double capacity_;
    std::optional<TimePoint> sampledAt_;
    Microseconds used_ = Microseconds(0);
};

} // namespace jasminewood::node
