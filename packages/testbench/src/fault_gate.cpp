#include "fault_gate.h"

#include <algorithm>

namespace jasminewood::testbench::internal
{

auto FaultGate::pass() -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto start = Clock::now();
    const auto delayEnd = start < slowEnd_ ? start + delay_ : start;
    for (auto end = std::max(delayEnd, freezeEnd_); !down_ && Clock::now() < end;
         end = std::max(delayEnd, freezeEnd_)) {
        changed_.wait_until(lock, end);
    }
    return !down_;
}

auto FaultGate::cut() -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return down_;
}

auto FaultGate::setDown(bool down) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

auto FaultGate::slow(Milliseconds delay, Milliseconds duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    delay_ = delay;
    slowEnd_ = Clock::now() + duration;
}

auto FaultGate::freeze(Milliseconds duration) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    freezeEnd_ = Clock::now() + duration;
    changed_.notify_all();
}

auto FaultGate::loseAnswers(std::size_t count) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    losses_ = count;
}

auto FaultGate::takeLoss() -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    if (losses_ == 0) {
        return false;
    }
    --losses_;
    return true;
}

} // namespace jasminewood::testbench::internal
