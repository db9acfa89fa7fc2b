#include "jasminewood/forward/lag_admission.h"

#include <variant>

namespace jasminewood::forward
{

LagAdmission::LagAdmission(const observe::Metrics &metrics, TimePoint startedAt)
    : startedAt_(startedAt)
    , delays_(metrics.histogram(
          "jasminewood_forward_lag_seconds", "Time for which the data of a request waited until a thread handled it"))
    , refusals_(metrics.counter(
          "jasminewood_forward_lag_refusals_total", "Requests refused because this process lags behind"))
{
}

auto LagAdmission::recordRequest(Clock::duration delay, TimePoint now) -> void
{
    delays_.observe(std::chrono::duration<double>(delay).count());
    const auto lock = std::scoped_lock(mutex_);
    estimator_.record(delay, now);
    tally_.recordRequest(now);
}

auto LagAdmission::lag(TimePoint now) const -> Milliseconds
{
    const auto lock = std::scoped_lock(mutex_);
    const auto lag = estimator_.lag(now);
    return lag < minimumExaminedLag ? Milliseconds(0) : lag;
}

auto LagAdmission::admit(const congestion::LagRequest &request, bool hasPeers, TimePoint now) -> congestion::LagDecision
{
    const auto lock = std::scoped_lock(mutex_);
    auto decision = congestion::admitUnderLag(request,
        {.lag_ = estimator_.lag(now),
            .hasPeers_ = hasPeers,
            .sinceStart_ = now - startedAt_,
            .requests_ = tally_.requests(now),
            .refused_ = tally_.refused(now)});
    if (std::holds_alternative<congestion::RefusedForLag>(decision)) {
        tally_.recordRefusal(now);
        refusals_.add();
    }
    return decision;
}

} // namespace jasminewood::forward
