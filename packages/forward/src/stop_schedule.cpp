#include "jasminewood/forward/stop_schedule.h"

#include <algorithm>

#include "jasminewood/forward/retry_decision.h"

namespace jasminewood::forward
{

namespace
{

constexpr int serviceUnavailable = 503;
// A caller that retries on a new connection reaches another process, so it may retry soon.
constexpr Milliseconds stoppingRetryAfter = Milliseconds(50);

} // namespace

auto makeStopSchedule(TimePoint now, const StopPeriods &periods) -> StopSchedule
{
    const auto requestsEndAt = now + std::max(Milliseconds(0), periods.grace_ - periods.finalResponses_);
    return {.refuseFrom_ = std::min(now + periods.notice_, requestsEndAt),
        .requestsEndAt_ = requestsEndAt,
        .processEndsAt_ = now + periods.grace_};
}

auto stoppingRefusal(const std::string &message) -> Refusal
{
    return {.status_ = serviceUnavailable, .code_ = "stopping", .message_ = message, .retryAfter_ = stoppingRetryAfter};
}

auto refusalWhileStopping(const StopSchedule &schedule, const routes::Route &route, Milliseconds remainingTime,
    TimePoint now) -> std::optional<Refusal>
{
    if (now >= schedule.refuseFrom_) {
        return stoppingRefusal("this process stops");
    }
    if (allowsRerun(route) || now + remainingTime <= schedule.requestsEndAt_) {
        return std::nullopt;
    }
    return stoppingRefusal("this process stops before the timeout of the request");
}

} // namespace jasminewood::forward
