#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>

#include "jasminewood/core/clock.h"

// Injected faults of the fake key-value service.

namespace jasminewood::testbench::internal
{

// Thread-safe.
class FaultInjector
{
public:
    // Waits for the injected delay and while the service is frozen. Returns false if the service is down and the call
    // must be aborted.
    auto waitForService() -> bool;

    // Returns whether the service is down.
    auto isDown() -> bool;

    // Starts or ends an outage, in which all calls are aborted.
    auto setDown(bool down) -> void;

    // Delays each call that starts within the duration.
    auto setDelay(Milliseconds delay, Milliseconds duration) -> void;

    // Holds all calls for a duration.
    auto freeze(Milliseconds duration) -> void;

    // Drops the responses of the next `count` writes.
    auto loseResponses(std::size_t count) -> void;

    // Returns whether the response of this write must be dropped, and uses up one loss.
    auto consumeResponseLoss() -> bool;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    Milliseconds delay_ = Milliseconds(0);
    TimePoint delayEnd_;
    TimePoint freezeEnd_;
    std::size_t responsesToLose_ = 0;
};

} // namespace jasminewood::testbench::internal
