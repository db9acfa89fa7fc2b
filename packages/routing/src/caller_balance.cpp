#include "jasminewood/routing/caller_balance.h"

#include <algorithm>
#include <cmath>

namespace jasminewood::routing
{

namespace
{

constexpr Milliseconds minimumReportInterval = Milliseconds(1'000);
constexpr Milliseconds reportIntervalPerRouter = Milliseconds(25);
// A router that missed this many reports has failed or cannot be reached.
constexpr int reportsUntilExpiry = 3;
// The load balancer may send callers elsewhere for this long after a router became ready. It includes the time until a
// router that is short of processor time accepts a connection.
constexpr Milliseconds settlingTime = Milliseconds(1'000);
// For so many intervals after that, the others make callers reconnect. Callers that have not come to the router by then
// are sent elsewhere by the load balancer.
constexpr int releaseIntervals = 10;
// A report that arrives this late makes the time since when a router is ready look later than it is.
constexpr Milliseconds longestReportDelay = Milliseconds(3'000);
// The part of the surplus that is released in an interval, so that callers do not reconnect all at once.
constexpr double releasedShare = 1.0 / 2;
// Data centres and hashes of callers make moderate differences.
constexpr double clearSurplus = 1.5;
// Fewer connections are no burden.
constexpr std::size_t minimumConnections = 8;

// Returns whether the router became ready a short time ago.
auto hasReturned(const RouterCallers &router, Milliseconds interval, TimePoint now) -> bool
{
    return now - *router.readySince_ <= settlingTime + interval * releaseIntervals;
}

// Returns whether the load balancer still learns that a router is ready. Callers that reconnect before the end of that
// time might have to do so again.
auto isAnySettling(const std::vector<RouterCallers> &routers, TimePoint now) -> bool
{
    return std::any_of(routers.begin(), routers.end(), [now](const auto &router) {
        return router.readySince_ && now - *router.readySince_ < settlingTime;
    });
}

} // namespace

ConnectionShares::ConnectionShares(const RouterCallers &own, const std::vector<RouterCallers> &others)
{
    auto counted = std::vector<const RouterCallers *> {&own};
    for (const auto &other : others) {
        if (other.readySince_) {
            counted.push_back(&other);
        }
    }
    byCapacity_ = std::all_of(counted.begin(), counted.end(), [](const auto *router) {
        return router->capacity_ > 0;
    });
    for (const auto *router : counted) {
        connections_ += double(router->connections_);
        weight_ += byCapacity_ ? double(router->capacity_) : 1;
    }
}

auto ConnectionShares::of(const RouterCallers &router) const -> double
{
    return connections_ * (byCapacity_ ? double(router.capacity_) : 1) / weight_;
}

auto callerReportInterval(std::size_t others) -> Milliseconds
{
    return std::max(minimumReportInterval, reportIntervalPerRouter * std::int64_t(others));
}

auto releaseConnections(const RouterCallers &own, const std::vector<RouterCallers> &others, Milliseconds interval,
    TimePoint now) -> ConnectionRelease
{
    const auto shares = ConnectionShares(own, others);
    const auto ownShare = shares.of(own);
    const auto ownSurplus = double(own.connections_) - ownShare;
    if (own.connections_ < minimumConnections || double(own.connections_) <= clearSurplus * ownShare
        || isAnySettling(others, now)) {
        return {};
    }
    auto totalSurplus = ownSurplus;
    auto lack = 0.0;
    auto lastReturn = TimePoint();
    for (const auto &other : others) {
        if (!other.readySince_) {
            continue;
        }
        const auto surplus = double(other.connections_) - shares.of(other);
        totalSurplus += std::max(surplus, 0.0);
        if (surplus < 0 && hasReturned(other, interval, now)) {
            lack -= surplus;
            lastReturn = std::max(lastReturn, *other.readySince_);
        }
    }
    // The surplus of all routers is at least what some of them lack.
    const auto surplusToMove = lack * ownSurplus / totalSurplus;
    // Rounded to the nearest number, half of the surplus becomes at most the whole of it, also if many routers do so.
    return {.connections_ = std::size_t(std::round(surplusToMove * releasedShare)),
        .openedBefore_ = lack > 0 ? lastReturn + settlingTime : TimePoint()};
}

auto CallerReports::apply(const std::string &router, const RouterCallers &callers, TimePoint now) -> void
{
    const auto found = reports_.find(router);
    const auto known = found == reports_.end() ? std::nullopt : found->second.callers_.readySince_;
    const auto isSameReturn = known && callers.readySince_ && *callers.readySince_ - *known < longestReportDelay;
    const auto readySince = isSameReturn ? std::min(*known, *callers.readySince_) : callers.readySince_;
    reports_.erase(router);
    reports_.emplace(router,
        Report {.callers_ = {.connections_ = callers.connections_,
                    .readySince_ = readySince,
                    .router_ = router,
                    .dataCentre_ = callers.dataCentre_,
                    .capacity_ = callers.capacity_,
                    .phase_ = callers.phase_},
            .receivedAt_ = now});
}

auto CallerReports::current(Milliseconds interval, TimePoint now) -> std::vector<RouterCallers>
{
    std::erase_if(reports_, [interval, now](const auto &entry) {
        return now - entry.second.receivedAt_ > interval * reportsUntilExpiry;
    });
    auto callers = std::vector<RouterCallers>();
    for (const auto &[router, report] : reports_) {
        callers.push_back(report.callers_);
    }
    return callers;
}

} // namespace jasminewood::routing
