#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "jasminewood/core/clock.h"

// Tracks the load that other routers cause at model engines, as they report it.
//
//     const auto report = EngineLoads {{"engine-3", {.pendingPrefillTokens_ = 9'000, .inFlightRequests_ = 1}}};
//     loads.applyReport("router-2", true, report, now);
//     const auto pending = loads.loadOf("engine-3", now).pendingPrefillTokens_;

namespace jasminewood::routing
{

// The load that one router, or several together, cause at one engine.
struct EngineLoad
{
    // Prompt tokens whose prefill is pending.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Requests in flight at the engine.
    const std::uint32_t inFlightRequests_ = 0;
    // The part of pendingPrefillTokens_ that belongs to requests which were late when they were sent.
    const std::uint64_t latePrefillTokens_ = 0;

    auto operator<=>(const EngineLoad &) const = default;
};

using EngineLoads = std::map<std::string, EngineLoad>;

// The loads of a router whose last report is older than this are not counted: the router or the path to it has failed.
constexpr Milliseconds peerLoadExpiry = Milliseconds(2'500);

// How long a router counts as a peer after its last report. It is long, so that a router that loses contact with the
// others does not immediately claim their part of a shared budget.
constexpr Milliseconds peerExpiry = Milliseconds(20'000);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class PeerLoads
{
public:
    // Applies the report of a router. A full report replaces all loads of that router; any other replaces only those of
    // the engines that it names.
    auto applyReport(const std::string &router, bool isFullReport, const EngineLoads &loads, TimePoint now) -> void;

    // Returns the total load that all other routers cause at the engine.
    auto loadOf(const std::string &engine, TimePoint now) const -> EngineLoad;

    // Returns the names of the routers that reported within peerExpiry.
    auto peers(TimePoint now) const -> std::set<std::string>;

    // Returns the number of routers that reported within peerExpiry.
    auto peerCount(TimePoint now) const -> std::size_t;

private:
    struct Router
    {
        TimePoint reportedAt_;
        EngineLoads loads_;
    };

    std::map<std::string, Router> routers_;
};

// Returns the loads that differ between two sets. An engine that only the first set names has an empty load in the
// result.
auto diffLoads(const EngineLoads &before, const EngineLoads &after) -> EngineLoads;

} // namespace jasminewood::routing
