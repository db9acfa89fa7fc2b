#pragma once

#include <chrono>
#include <ctime>

// A steady clock that keeps running while the machine is suspended, unlike Clock, which stands still. Use it for the
// age of state that other machines may have changed in the meantime.
//
//     const auto age = BootClock::now() - confirmedAt;

namespace jasminewood
{

struct BootClock
{
    using duration = std::chrono::nanoseconds; // NOLINT: as time_point
    using rep = duration::rep; // NOLINT: as time_point
    using period = duration::period; // NOLINT: as time_point
    using time_point = std::chrono::time_point<BootClock>; // NOLINT: the name that std::chrono requires
    static constexpr bool is_steady = true; // NOLINT: the name that std::chrono requires

    static auto now() -> time_point
    {
        auto time = timespec {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

using BootTime = BootClock::time_point;

} // namespace jasminewood
