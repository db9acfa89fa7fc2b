#include "jasminewood/duties/window_clock.h"

namespace jasminewood::duties
{

namespace
{

auto millisecondsOf(BootTime time) -> Milliseconds
{
    return std::chrono::floor<Milliseconds>(time.time_since_epoch());
}

auto isStep(Milliseconds difference) -> bool
{
    return std::chrono::abs(difference) > clockStepLimit;
}

} // namespace

WindowClock::WindowClock(Milliseconds timeOfDay, BootTime now)
    : offset_(timeOfDay - millisecondsOf(now))
{
}

auto WindowClock::observe(Milliseconds timeOfDay, BootTime now) -> void
{
    const auto observed = timeOfDay - millisecondsOf(now);
    if (!isStep(observed - offset_)) {
        offset_ = observed;
        step_.reset();
        return;
    }
    if (!step_ || isStep(observed - step_->offset_)) {
        step_ = Step {.offset_ = observed, .since_ = now};
        return;
    }
    step_->offset_ = observed;
    if (now - step_->since_ >= clockStepConfirmation) {
        offset_ = observed;
        step_.reset();
    }
}

auto WindowClock::at(BootTime time) const -> Milliseconds
{
    return millisecondsOf(time) + offset_;
}

} // namespace jasminewood::duties
