#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/routing/caller_balance.h"

// Decides when a small router makes some of its callers connect to larger ones.
//
// The load balancer spreads callers evenly, but routers differ in size. A router that is busy and has clearly more
// connections than its share by capacity withdraws for a short time: its readiness probe fails, so that the load
// balancer sends new connections elsewhere, and then it closes its surplus of connections after complete responses.
// Closing them while it is ready would achieve nothing, because the load balancer chooses by a hash of the caller.
//
//     const auto state = shedding.step({.callers_ = own, .utilisation_ = 0.9, .failedProbes_ = 0}, others, now);
//     if (const auto *releasing = std::get_if<Releasing>(&state)) { closeAfterResponses(releasing->connections_); }

namespace jasminewood::routing
{

// The router takes callers as usual.
struct NotShedding
{
    auto operator<=>(const NotShedding &) const = default;
};

// Its readiness probe fails, but the load balancer may still send callers to it.
struct Withdrawing
{
    const TimePoint since_;

    auto operator<=>(const Withdrawing &) const = default;
};

// The load balancer sends it no callers; so many of its connections are to be closed.
struct Releasing
{
    const TimePoint since_;
    const std::size_t connections_ = 0;

    auto operator<=>(const Releasing &) const = default;
};

// It is ready again, and does not withdraw before this time.
struct CoolingDown
{
    const TimePoint until_;

    auto operator<=>(const CoolingDown &) const = default;
};

using SheddingState = std::variant<NotShedding, Withdrawing, Releasing, CoolingDown>;

// What a router knows of itself.
struct OwnLoad
{
    const RouterCallers callers_;
    // Processor time used as a fraction of what the VM provides; empty if that is unknown.
    const std::optional<double> utilisation_;
    // Readiness probes in a row that failed until now.
    const unsigned failedProbes_ = 0;

    auto operator<=>(const OwnLoad &) const = default;
};

// A router below this utilisation keeps its callers.
constexpr double sheddingUtilisation = 0.7;
// The longest time for which a router is not ready: two until the load balancer ignores it, and one to close
// connections.
constexpr Milliseconds maximumSheddingTime = Milliseconds(3'000);
// A router is ready for at least this time between two withdrawals, so that it is ready for 8/9 of the time. Routers
// are expected to be ready for 7/8 of the time on average.
constexpr Milliseconds sheddingPause = Milliseconds(24'000);

// Returns the phase that the other routers are told.
auto phaseOf(const SheddingState &state) -> SheddingPhase;

// Returns whether the readiness probe succeeds, as far as this decision is concerned.
auto isReady(const SheddingState &state) -> bool;

// Not thread-safe.
class ConnectionShedding
{
public:
    // Decides anew. others are the latest reports of the other routers. To be called about once a second.
    auto step(const OwnLoad &own, const std::vector<RouterCallers> &others, TimePoint now) -> const SheddingState &;

    auto state() const -> const SheddingState &;

private:
    auto next(const OwnLoad &own, const std::vector<RouterCallers> &others, TimePoint now) const -> SheddingState;
    auto nextWhileNotReady(TimePoint since, const OwnLoad &own, const std::vector<RouterCallers> &nearby,
        TimePoint now) const -> SheddingState;

    std::optional<SheddingState> state_ = NotShedding {};
};

} // namespace jasminewood::routing
