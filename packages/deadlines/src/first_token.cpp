#include "jasminewood/deadlines/first_token.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminewood::deadlines
{

namespace
{

// Keeps arithmetic with the estimate within the range of its type.
constexpr Milliseconds longestEstimate = std::chrono::hours(1);

auto tokensAhead(const EngineState &engine, PrefillScope scope) -> double
{
    const auto inTime = double(engine.inTimeTokens_);
    return scope == PrefillScope::InTime ? inTime : inTime + double(engine.lateTokens_);
}

} // namespace

auto tokensBeforeFirstToken(const EngineState &engine, std::uint64_t uncachedTokens, PrefillScope scope) -> double
{
    const auto ahead = tokensAhead(engine, scope);
    const auto pending = tokensAhead(engine, PrefillScope::All);
    const auto queuedRequests
        = engine.activeRequests_ >= engine.slots_ ? engine.activeRequests_ - engine.slots_ + 1 : 0;
    const auto shareAhead = pending > 0 ? ahead / pending : 1.0;
    return ahead + double(uncachedTokens) + tokensPerRunningRequest * engine.activeRequests_
        + tokensPerQueuedRequest * queuedRequests * shareAhead;
}

auto estimateFirstToken(const EngineState &engine, std::uint64_t uncachedTokens, double tokensPerMillisecond,
    PrefillScope scope) -> Milliseconds
{
    const auto tokens = tokensBeforeFirstToken(engine, uncachedTokens, scope);
    const auto time = std::ceil(tokens * engine.slowness_ / tokensPerMillisecond);
    return Milliseconds(std::int64_t(std::clamp(time, 0.0, double(longestEstimate.count()))));
}

} // namespace jasminewood::deadlines
