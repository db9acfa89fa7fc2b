#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// What the other routers have at model engines, as they report it.
//
//     loads.take("router-2", true, {{"engine-3", {.unreadTokens_ = 9'000, .running_ = 1}}}, now);
//     const auto before = loads.at("engine-3", now).unreadTokens_;

namespace jasminewood::routing
{

// What one router, or several together, have at one engine.
struct EngineLoad
{
    // Prompt tokens that the engine has not read yet.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Requests that were sent there and are not over.
    const std::uint32_t inFlightRequests_ = 0;

    auto operator<=>(const EngineLoad &) const = default;
};

using EngineLoads = std::map<std::string, EngineLoad>;

// The loads of a router whose last report is older are not counted: it is gone, or the path to it is.
constexpr Milliseconds peerLoadExpiry = Milliseconds(2'500);

// A router is counted among the peers for this long after its last report.
constexpr Milliseconds peerExpiry = Milliseconds(20'000);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class PeerLoads
{
public:
    // A report of a router. With complete set, that router has nothing at engines that it does not name.
    auto applyReport(const std::string &router, bool complete, const EngineLoads &loads, TimePoint now) -> void;

    // Returns what all other routers together have at the engine.
    auto loadOf(const std::string &engine, TimePoint now) const -> EngineLoad;

    // Returns the number of routers that reported within peerMemory, so that a router that is cut off from the others
    // does not take their part of a budget at once.
    auto peerCount(TimePoint now) const -> std::size_t;

private:
    struct Router
    {
        TimePoint reportedAt_;
        EngineLoads loads_;
    };

    std::map<std::string, Router> routers_;
};

// Returns what changed from one set of loads to another; an engine that is no longer named has nothing.
auto diffLoads(const EngineLoads &before, const EngineLoads &after) -> EngineLoads;

} // namespace jasminewood::routing
