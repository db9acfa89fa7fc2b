#include "jasminewood/forward/retry_decision.h"

namespace jasminewood::forward
{

auto repeatable(const routes::Route &route) -> bool
{
    return route.repetition_ == routes::Repetition::Idempotent
        || (route.repetition_ == routes::Repetition::Stream && route.resumable_);
}

auto nextStep(const routes::Route &route, const AttemptHistory &history) -> NextStep
{
    const auto mayRunAgain = history.started_ == 0 || (repeatable(route) && history.started_ < route.maximumAttempts_);
    if (mayRunAgain && history.sent_ < maximumSends) {
        return TryAnother {};
    }
    return GiveUp {.runState_ = history.started_ > 0 ? RunState::MayHaveRun : RunState::NotRun};
}

} // namespace jasminewood::forward
