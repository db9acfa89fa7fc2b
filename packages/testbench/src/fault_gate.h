#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>

#include "jasminewood/core/clock.h"

// Injected faults of the fake key-value service.

namespace jasminewood::testbench::internal
{

// Thread-safe.
class FaultGate
{
public:
    // Waits as long as the service is slow or frozen. Returns false if the caller is to be cut off.
    auto pass() -> bool;

    // Returns whether callers are cut off now.
    auto cut() -> bool;

    // Cuts callers off, or stops doing so.
    auto setDown(bool down) -> void;

    // Delays each call by a time for a duration.
    auto slow(Milliseconds delay, Milliseconds duration) -> void;

    // Holds all calls for a duration.
    auto freeze(Milliseconds duration) -> void;

    // Loses the answers of the next writes.
    auto loseAnswers(std::size_t count) -> void;

    // Returns whether the answer of this write is lost, and counts it.
    auto takeLoss() -> bool;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    Milliseconds delay_ = Milliseconds(0);
    TimePoint slowEnd_;
    TimePoint freezeEnd_;
    std::size_t losses_ = 0;
};

} // namespace jasminewood::testbench::internal
