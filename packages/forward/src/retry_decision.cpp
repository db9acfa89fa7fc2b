#include "jasminewood/forward/retry_decision.h"

namespace jasminewood::forward
{

auto isResumable(const routes::Route &route) -> bool
{
    return route.retrySafety_ == routes::RetrySafety::Stream && route.resumable_;
}

auto allowsRerun(const routes::Route &route) -> bool
{
    return route.retrySafety_ == routes::RetrySafety::Idempotent || isResumable(route);
}

auto decideRetry(const routes::Route &route, const AttemptHistory &history) -> RetryDecision
{
    const auto mayRunAgain = history.possiblyRunAttempts_ == 0
        || (allowsRerun(route) && history.possiblyRunAttempts_ < route.maximumAttempts_);
    if (mayRunAgain && history.totalAttempts_ < maximumTotalAttempts) {
        return Retry {};
    }
    return NoRetry {.runState_ = history.possiblyRunAttempts_ > 0 ? RunState::MayHaveRun : RunState::NotRun};
}

} // namespace jasminewood::forward
