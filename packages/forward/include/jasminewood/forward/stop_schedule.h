#pragma once

#include <compare>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/admission.h"

// Decides which requests are still accepted during a planned stop.

namespace jasminewood::forward
{

// The lengths of the periods of a planned stop. All begin with the stop, except for finalResponses_.
struct StopPeriods
{
    // The time in which the load balancer detects that this process stops.
    const Milliseconds notice_ = Milliseconds(0);
    // The time until the end of the process.
    const Milliseconds grace_ = Milliseconds(0);
    // The last part of the grace period, in which requests that are still in flight get their response.
    const Milliseconds finalResponses_ = Milliseconds(200);

    auto operator<=>(const StopPeriods &) const = default;
};

struct StopSchedule
{
    // Requests are refused from this time on.
    const TimePoint refuseFrom_;
    // Requests that are still in flight end at this time.
    const TimePoint requestsEndAt_;
    const TimePoint processEndsAt_;

    auto operator<=>(const StopSchedule &) const = default;
};

auto makeStopSchedule(TimePoint now, const StopPeriods &periods) -> StopSchedule;

// Returns the refusal of a request that has not run and will not run in this process.
auto stoppingRefusal(const std::string &message) -> Refusal;

// Returns the refusal of an admitted request; empty if it is forwarded. During the notice period a request that may run
// once only is refused if its remaining time exceeds that until requestsEndAt_: it could end without a result, while
// another router can still run it. One that may run again is forwarded, since most end soon and the others are retried
// or resumed elsewhere.
auto refusalWhileStopping(const StopSchedule &schedule, const routes::Route &route, Milliseconds remainingTime,
    TimePoint now) -> std::optional<Refusal>;

} // namespace jasminewood::forward
