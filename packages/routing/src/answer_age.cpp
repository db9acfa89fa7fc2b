#include "jasminewood/routing/answer_age.h"

namespace jasminewood::routing
{

auto AnswerAge::recordToken(TimePoint now) -> void
{
    readBeforeAt_ = firstTokenAt_ ? lastReadAt_ : now;
    lastReadAt_ = now;
    firstTokenAt_ = firstTokenAt_.value_or(now);
}

auto AnswerAge::hasFirstToken() const -> bool
{
    return firstTokenAt_.has_value();
}

auto AnswerAge::isStarting() const -> bool
{
    return !firstTokenAt_ || lastReadAt_ - *firstTokenAt_ <= maximumStartTime;
}

auto AnswerAge::takeSurvival(TimePoint now) -> bool
{
    const auto survived = firstTokenAt_ && readBeforeAt_ - *firstTokenAt_ >= minimumSurvivalTime;
    if (!survived || (survivalTakenAt_ && now - *survivalTakenAt_ < survivalInterval)) {
        return false;
    }
    survivalTakenAt_ = now;
    return true;
}

} // namespace jasminewood::routing
