#pragma once

#include <optional>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"

// The time since the start of 1970, which a short step of the time of day does not disturb.
//
//     clock.observe(wallClockNow(), BootClock::now());
//     const auto now = clock.at(BootClock::now());

namespace jasminewood::duties
{

// A smaller difference between the time of day and the boot clock is a drift and is followed at once.
constexpr Milliseconds clockStepLimit = Milliseconds(100);
// A step of the time of day is believed once it has lasted for this time.
constexpr Milliseconds clockStepConfirmation = Milliseconds(60'000);

// Not thread-safe.
class WindowClock
{
public:
    // The time of day is since the start of 1970.
    WindowClock(Milliseconds timeOfDay, BootTime now);

    // Compares the time of day with the boot clock. To be called about once a second.
    auto observe(Milliseconds timeOfDay, BootTime now) -> void;

    // Returns the time since the start of 1970 at this time of the boot clock.
    auto at(BootTime time) const -> Milliseconds;

private:
    struct Step
    {
        Milliseconds offset_;
        BootTime since_;
    };

    // The time of day minus the boot clock.
    Milliseconds offset_;
    std::optional<Step> step_;
};

} // namespace jasminewood::duties
