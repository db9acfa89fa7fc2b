#include "jasminewood/routing/route_prompt_stats.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminewood::routing
{

namespace
{

// A route with fewer requests than this, after decay, has too few samples for a mean prompt length.
constexpr double minimumRequests = 2;
// A route with fewer requests than this, after decay, is dropped, so that removed routes take no memory.
constexpr double negligibleRequests = 0.01;

} // namespace

auto RoutePromptStatsTracker::recordArrival(const std::string &route, std::uint64_t tokens, TimePoint now) -> void
{
    decay(now);
    auto &routeStats = localStats_[route];
    routeStats.requests_ += 1;
    routeStats.tokens_ += double(tokens);
    updateTotals();
}

auto RoutePromptStatsTracker::applyPeerReport(
    const std::string &router, const std::vector<RoutePromptStats> &stats, TimePoint now) -> void
{
    decay(now);
    auto &peer = peers_[router];
    peer.reportedAt_ = now;
    peer.statsByRoute_.clear();
    for (const auto &routeStats : stats) {
        peer.statsByRoute_[routeStats.route_] = {.requests_ = routeStats.requests_, .tokens_ = routeStats.tokens_};
    }
    updateTotals();
}

auto RoutePromptStatsTracker::localStats() const -> std::vector<RoutePromptStats>
{
    auto largestFirst = std::vector<StatsByRoute::const_iterator>();
    for (auto entry = localStats_.begin(); entry != localStats_.end(); ++entry) {
        largestFirst.push_back(entry);
    }
    std::sort(largestFirst.begin(), largestFirst.end(), [](const auto &left, const auto &right) {
        return left->second.tokens_ > right->second.tokens_;
    });
    largestFirst.resize(std::min(largestFirst.size(), maximumReportedRoutes));
    auto stats = std::vector<RoutePromptStats>();
    for (const auto &entry : largestFirst) {
        stats.push_back(
            {.route_ = entry->first, .requests_ = entry->second.requests_, .tokens_ = entry->second.tokens_});
    }
    return stats;
}

auto RoutePromptStatsTracker::decay(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - decayedAt_.value_or(now)).count();
    decayedAt_ = now;
    const auto factor = std::exp2(-elapsed / double(promptStatsHalfLife.count()));
    for (auto entry = localStats_.begin(); entry != localStats_.end();) {
        entry->second.requests_ *= factor;
        entry->second.tokens_ *= factor;
        entry = entry->second.requests_ < negligibleRequests ? localStats_.erase(entry) : std::next(entry);
    }
    std::erase_if(peers_, [now](const auto &entry) {
        return now - entry.second.reportedAt_ > promptStatsExpiry;
    });
}

auto RoutePromptStatsTracker::updateTotals() -> void
{
    totals_ = localStats_;
    for (const auto &[router, peer] : peers_) {
        for (const auto &[route, routeStats] : peer.statsByRoute_) {
            auto &total = totals_[route];
            total.requests_ += routeStats.requests_;
            total.tokens_ += routeStats.tokens_;
        }
    }
}

auto RoutePromptStatsTracker::shortestMeanLength() const -> double
{
    auto shortest = std::numeric_limits<double>::infinity();
    for (const auto &[route, routeStats] : totals_) {
        if (routeStats.requests_ >= minimumRequests) {
            shortest = std::min(shortest, routeStats.tokens_ / routeStats.requests_);
        }
    }
    return shortest;
}

auto RoutePromptStatsTracker::hasLongPrompts(const std::string &route) const -> bool
{
    const auto found = totals_.find(route);
    return found != totals_.end()
        && found->second.tokens_ / found->second.requests_ >= longPromptFactor * shortestMeanLength();
}

auto RoutePromptStatsTracker::longPromptLaneShare() const -> double
{
    auto longTokens = 0.0;
    auto shortTokens = 0.0;
    for (const auto &[route, routeStats] : totals_) {
        (hasLongPrompts(route) ? longTokens : shortTokens) += routeStats.tokens_;
    }
    return longTokens > 0 ? longTokens / (longTokens + shortPromptWeight * shortTokens) : 0;
}

} // namespace jasminewood::routing
