#include "fault_gate.h"

#include <algorithm>

namespace jasminewood::testbench::internal
{

auto FaultInjector::waitForService() -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto start = Clock::now();
    const auto callDelayEnd = start < delayEnd_ ? start + delay_ : start;
    for (auto end = std::max(callDelayEnd, freezeEnd_); !down_ && Clock::now() < end;
         end = std::max(callDelayEnd, freezeEnd_)) {
        changed_.wait_until(lock, end);
    }
    return !down_;
}

auto FaultInjector::isDown() -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return down_;
}

auto FaultInjector::setDown(bool down) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

auto FaultInjector::setDelay(Milliseconds delay, Milliseconds duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    delay_ = delay;
    delayEnd_ = Clock::now() + duration;
}

auto FaultInjector::freeze(Milliseconds duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    freezeEnd_ = Clock::now() + duration;
    changed_.notify_all();
}

auto FaultInjector::loseResponses(std::size_t count) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    responsesToLose_ = count;
}

auto FaultInjector::consumeResponseLoss() -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (responsesToLose_ == 0) {
        return false;
    }
    --responsesToLose_;
    return true;
}

} // namespace jasminewood::testbench::internal
