#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Decides which of its callers' connections a router closes so that the callers connect to routers that have returned.
//
// The load balancer chooses a router for each new connection, and an open connection stays with its router. The first
// router that is ready after a loss of several therefore gets the callers of all of them and would keep them.
//
//     reports.apply("router-2", {.connections_ = 4, .readySince_ = now - 3s}, now);
//     const auto release = releaseConnections({.connections_ = 90}, reports.current(now), interval, now);

namespace jasminewood::routing
{

// Whether a router makes its callers connect to others because it has too many for its size; see connection_shedding.h.
enum class SheddingPhase : std::uint8_t
{
    None,
    Shedding,
    // It has shed connections a short time ago and does not do so again yet.
    CoolingDown,
};

// The callers of one router.
struct RouterCallers
{
    // Open connections.
    const std::size_t connections_ = 0;
    // When the load balancer was first told that the router is ready; empty while it is not.
    const std::optional<TimePoint> readySince_;
    const std::string router_ = {};
    const std::string dataCentre_ = {};
    // Processor capacity of its VM, in thousandths of a core; 0 if unknown.
    const std::uint32_t capacity_ = 0;
    const SheddingPhase phase_ = SheddingPhase::None;

    auto operator<=>(const RouterCallers &) const = default;
};

// The number of connections that is proportional to the capacity of each router: those of all ready routers, divided by
// their capacities, or equally if one of these is unknown.
class ConnectionShares
{
public:
    ConnectionShares(const RouterCallers &own, const std::vector<RouterCallers> &others);

    auto of(const RouterCallers &router) const -> double;

private:
    double connections_ = 0;
    double weight_ = 0;
    bool byCapacity_ = true;
};

// Connections that a router should close, each after a complete response.
struct ConnectionRelease
{
    const std::size_t connections_ = 0;
    // Only connections that were opened before this time: the load balancer has already chosen among all routers for
    // the later ones.
    const TimePoint openedBefore_;

    auto operator<=>(const ConnectionRelease &) const = default;
};

// Returns the interval at which a router reports its callers to so many others. It grows with their number, so that the
// rate at which a router receives reports stays bounded.
auto callerReportInterval(std::size_t others) -> Milliseconds;

// Returns what this router releases until the next report. It releases nothing unless it has clearly more connections
// than its share among the ready routers, and another one has fewer and became ready a short time ago. All routers
// together release at most what the returned routers lack, so an uneven distribution that the load balancer keeps up is
// left alone.
auto releaseConnections(const RouterCallers &own, const std::vector<RouterCallers> &others, Milliseconds interval,
    TimePoint now) -> ConnectionRelease;

// The last reports of the other routers. Not thread-safe.
class CallerReports
{
public:
    auto apply(const std::string &router, const RouterCallers &callers, TimePoint now) -> void;

    // Returns the reports that are not older than a few intervals.
    auto current(Milliseconds interval, TimePoint now) -> std::vector<RouterCallers>;

private:
    struct Report
    {
        const RouterCallers callers_;
        const TimePoint receivedAt_;
    };

    std::map<std::string, Report> reports_;
};

} // namespace jasminewood::routing
