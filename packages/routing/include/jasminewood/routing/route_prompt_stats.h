#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Which routes carry prompts that are long by comparison, and which share of the engines they need. Routers that tell
// each other their flows come to the same answers.
//
//     mix.arrived("quotes", 2'890, now);
//     mix.peerReported("router-2", {{.route_ = "chats", .requests_ = 30, .tokens_ = 18'000}}, now);
//     const auto lane = mix.isLong("quotes");
//     const auto share = mix.longShare();

namespace jasminewood::routing
{

// What arrived longer ago than this counts half.
constexpr Milliseconds promptStatsHalfLife = Milliseconds(20'000);
// A route's prompts are long if their mean is this many times that of the route with the shortest prompts.
constexpr double longPromptFactor = 2.5;
// The weight of the tokens of short prompts against those of long ones: their streams need engines that read little.
constexpr double shortPromptWeight = 2.2;

// A router's flows count for this long after its last report. Its requests are then a small part of the mix.
constexpr Milliseconds promptStatsExpiry = Milliseconds(10'000);
// Flows that are told to the other routers, the largest ones.
constexpr std::size_t maximumReportedRoutes = 8;

// The recent requests of one route; older ones count less.
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
    // A request of the route arrived; tokens counts the part of its prompt that it shares with no other one.
    auto recordArrival(const std::string &route, std::uint64_t tokens, TimePoint now) -> void;

    // Another router's flows, which replace those that it reported before.
    auto applyPeerReport(const std::string &router, const std::vector<RoutePromptStats> &flows, TimePoint now) -> void;

    // Returns the flows of requests that arrived here, at most reportedFlows.
    auto localStats() const -> std::vector<RoutePromptStats>;

    auto hasLongPrompts(const std::string &route) const -> bool;

    // Returns the share of the engines for long prompts, 0 to 1; 0 if no route has long ones.
    auto longPromptLaneShare() const -> double;

private:
    struct Flow
    {
        double requests_ = 0;
        double tokens_ = 0;
    };

    using Flows = std::map<std::string, Flow>;

    struct Peer
    {
        TimePoint reportedAt_;
        Flows flows_;
    };

    auto decay(TimePoint now) -> void;
    // Computes what the flows of all routers add up to.
    auto addUp() -> void;
    auto shortestMean() const -> double;

    Flows own_;
    std::map<std::string, Peer> peers_;
    Flows all_;
    std::optional<TimePoint> decayedAt_;
};

} // namespace jasminewood::routing
