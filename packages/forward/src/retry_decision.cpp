#include "jasminewood/forward/retry_decision.h"

namespace jasminewood::forward
{

auto allowsRerun(const routes::Route &route) -> bool
{
    return route.retrySafety_ == routes::RetrySafety::Idempotent
        || (route.retrySafety_ == routes::RetrySafety::Stream && route.resumable_);
}

auto decideRetry(const routes::Route &route, const AttemptHistory &history) -> RetryDecision
{
    const auto mayRunAgain = history.mayHaveRunAttempts_ == 0
        || (allowsRerun(route) && history.mayHaveRunAttempts_ < route.maximumAttempts_);
    if (mayRunAgain && history.totalAttempts_ < maximumTotalAttempts) {
        return Retry {};
    }
    return NoRetry {.runState_ = history.mayHaveRunAttempts_ > 0 ? RunState::MayHaveRun : RunState::NotRun};
}

} // namespace jasminewood::forward
