#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Determines which routes have prompts that are long compared with those of other routes, and which share of the
// engines these prompts need. Routers that exchange their statistics compute the same results.
//
//     stats.recordArrival("quotes", 2'890, now);
//     stats.applyPeerReport("router-2", {{.route_ = "chats", .requests_ = 30, .tokens_ = 18'000}}, now);
//     const auto isLong = stats.hasLongPrompts("quotes");
//     const auto share = stats.longPromptLaneShare();

namespace jasminewood::routing
{

// Half-life of the weight of a request.
constexpr Milliseconds promptStatsHalfLife = Milliseconds(20'000);
// A route's prompts are long if their mean length is at least this many times that of the route with the shortest
// prompts.
constexpr double longPromptFactor = 2.5;
// Weight of the tokens of short prompts relative to those of long ones: their streams need engines with little prefill
// work.
constexpr double shortPromptWeight = 2.2;

// How long a router's statistics count after its last report. By then, its requests are a small part of the recent
// traffic.
constexpr Milliseconds promptStatsExpiry = Milliseconds(10'000);
// The maximum number of routes reported to the other routers, the largest ones first.
constexpr std::size_t maximumReportedRoutes = 8;

// The recent requests of one route and their prompt tokens; older requests have less weight.
struct RoutePromptStats
{
    const std::string route_;
    const double requests_ = 0;
    const double tokens_ = 0;

    auto operator<=>(const RoutePromptStats &) const = default;
};

// Not thread-safe. Precondition: now does not go backwards.
class RoutePromptStatsTracker
{
public:
    // Records a request of the route; tokens counts the part of its prompt that it shares with no other request.
    auto recordArrival(const std::string &route, std::uint64_t tokens, TimePoint now) -> void;

    // Records the statistics of another router, which replace those that it reported before.
    auto applyPeerReport(const std::string &router, const std::vector<RoutePromptStats> &stats, TimePoint now) -> void;

    // Returns the statistics of requests that arrived at this router: the largest routes by tokens, at most
    // maximumReportedRoutes.
    auto localStats() const -> std::vector<RoutePromptStats>;

    // Returns whether the prompts of the route are long by longPromptFactor; false for an unknown route.
    auto hasLongPrompts(const std::string &route) const -> bool;

    // Returns the share of the engines that long prompts need, 0 to 1; 0 if no route has long prompts.
    auto longPromptLaneShare() const -> double;

private:
    struct Stats
    {
        double requests_ = 0;
        double tokens_ = 0;
    };

    using StatsByRoute = std::map<std::string, Stats>;

    struct Peer
    {
        TimePoint reportedAt_;
        StatsByRoute statsByRoute_;
    };

    auto decay(TimePoint now) -> void;
    // Sums up the statistics of all routers.
    auto updateTotals() -> void;
    auto shortestMeanLength() const -> double;

    StatsByRoute localStats_;
    std::map<std::string, Peer> peers_;
    StatsByRoute totals_;
    std::optional<TimePoint> decayedAt_;
};

} // namespace jasminewood::routing
