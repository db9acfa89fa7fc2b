#include <set>
#include <utility>

#include "jasminewood/forward/upstream_pool.h"
#include "upstream_node_id.h"

// Which upstreams may get a request now, by what they said of themselves.

namespace jasminewood::forward
{

auto UpstreamPool::isRoutable(const Upstream &upstream, TimePoint now) -> bool
{
    return !upstream.misdirected_ && (!upstream.routableUntil_ || now < *upstream.routableUntil_);
}

auto UpstreamPool::availability(const Upstream &upstream, const routing::RouterFleet &fleet, TimePoint now) const
    -> routing::AvailabilityState
{
    const auto node = internal::nodeIdOf(*upstream.record_);
    const auto state = availability_.stateOf(node, now);
    const auto wait = rateLimits_.timeUntilAllowed(node, fleet, now);
    if (!std::holds_alternative<routing::Available>(state) || wait == Milliseconds(0)) {
        return state;
    }
    // This router has no part of the limit as long as it does not change.
    return wait ? routing::AvailabilityState(routing::BackingOff {.until_ = now + *wait}) : routing::Leaving {};
}

auto UpstreamPool::fleet(TimePoint now) const -> routing::RouterFleet
{
    return {.self_ = routerName_, .others_ = rateLimits_.isEmpty() ? std::set<std::string>() : peerLoads_.peers(now)};
}

auto UpstreamPool::timeUntilAvailable(const std::string &service, TimePoint now) const -> std::optional<Milliseconds>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto routers = fleet(now);
    auto states = std::vector<routing::AvailabilityState>();
    for (const auto &[id, upstream] : upstreams_) {
        if (upstream.record_->service_ == service && isRoutable(upstream, now)) {
            states.push_back(availability(upstream, routers, now));
        }
    }
    return routing::timeUntilAvailable(states, now);
}

auto UpstreamPool::recordLeaving(const Assignment &assignment) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return availability_.recordLeaving(internal::nodeIdOf(assignment.upstream_));
}

auto UpstreamPool::recordRetryAfter(const Assignment &assignment, Milliseconds retryAfter, TimePoint now) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return availability_.recordRetryAfter(internal::nodeIdOf(assignment.upstream_), retryAfter, now);
}

auto UpstreamPool::recordRateLimit(
    const Assignment &assignment, const routing::RateLimitStatement &statement, TimePoint now) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto node = internal::nodeIdOf(assignment.upstream_);
    if (!rateLimits_.recordStatement(node, statement, assignment.startedAt_, now)) {
        return false;
    }
    rateLimitsChanged_ = true;
    notifyLoadChange();
    return true;
}

auto UpstreamPool::takeRateLimitReports(bool all, TimePoint now) -> std::vector<routing::RateLimitReport>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto changed = std::exchange(rateLimitsChanged_, false);
    return all || changed ? rateLimits_.reports(now) : std::vector<routing::RateLimitReport>();
}

auto UpstreamPool::applyRateLimitReports(const std::vector<routing::RateLimitReport> &reports, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    rateLimits_.merge(reports, now);
}

} // namespace jasminewood::forward
