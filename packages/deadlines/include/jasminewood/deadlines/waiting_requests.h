#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jasminewood/core/clock.h"

// Decides which late request of one service goes next to an engine, and how long a late request may wait.
//
//     waiting.add(ticket, {.rank_ = 1, .arrival_ = 17, .engine_ = "engine-3", .bound_ = 300ms});
//     while (const auto next = waiting.takeNext("engine-3", backlog, now)) { ... }

namespace jasminewood::deadlines
{

// Identifies a waiting request at its router.
using Ticket = std::uint64_t;

struct WaitingRequest
{
    // 0 is the most urgent one.
    const std::uint32_t rank_ = 0;
    // Requests of one rank go in ascending order of this number.
    const std::uint64_t arrival_ = 0;
    // The engine that was best for the request when it was last chosen.
    const std::string engine_;
    // The request is sent while the engine needs at most this long for its pending prompts.
    const Milliseconds bound_ = Milliseconds(0);
    // When the engine was chosen.
    const TimePoint chosenAt_;

    auto operator<=>(const WaitingRequest &) const = default;
};

// A request that waits for one engine is also woken for another one that is free, at most this often, because the
// choice may have changed with the load.
constexpr Milliseconds rechoiceInterval = Milliseconds(100);

// Not thread-safe. A decision takes time in proportion to the logarithm of the number of requests.
class WaitingRequests
{
public:
    // Precondition: the ticket is not in use.
    auto add(Ticket ticket, const WaitingRequest &request) -> void;

    // Removes the request if it still waits.
    auto remove(Ticket ticket) -> void;

    // Removes and returns the request that goes next to an engine with this backlog, which is the time that it needs
    // for its pending prompts: the first by rank and arrival of those that wait for the engine and whose bound allows
    // it. If the engine has no backlog and none waits for it, this is the first of all whose choice is older than
    // rechoiceInterval. Empty if there is none.
    auto takeNext(const std::string &engine, Milliseconds backlog, TimePoint now) -> std::optional<Ticket>;

    // Removes and returns the first request that waits for the engine; empty if there is none.
    auto takeWaitingFor(const std::string &engine) -> std::optional<Ticket>;

    // Returns whether a request that goes before one of this rank and arrival waits for the engine.
    auto hasBefore(const std::string &engine, std::uint32_t rank, std::uint64_t arrival) const -> bool;

    auto size() const -> std::size_t;

private:
    struct Position
    {
        const std::uint32_t rank_ = 0;
        const std::uint64_t arrival_ = 0;
        const Ticket ticket_ = 0;

        auto operator<=>(const Position &) const = default;
    };

    using Order = std::set<Position>;

    static auto positionOf(Ticket ticket, const WaitingRequest &request) -> Position;
    auto firstWithin(const Order &order, Milliseconds backlog) const -> std::optional<Ticket>;
    auto firstToRechoose(TimePoint now) const -> std::optional<Ticket>;

    std::map<Ticket, WaitingRequest> requests_;
    Order order_;
    std::map<std::string, Order> orderByEngine_;
};

// What bounds the wait of a late request.
struct WaitLimits
{
    // The whole time that the request may take.
    const Milliseconds timeout_ = Milliseconds(0);
    // The time that is left of it.
    const Milliseconds remaining_ = Milliseconds(0);
    // The time to its first token once an engine has room for it.
    const Milliseconds firstToken_ = Milliseconds(0);

    auto operator<=>(const WaitLimits &) const = default;
};

// The largest share of its timeout that a request waits.
constexpr double maximumWaitShare = 0.25;
// The share of the timeout that is left for the response after the first token.
constexpr double responseShare = 0.4;

// Returns how long a late request may still wait; 0 if it is sent now.
auto maximumWait(const WaitLimits &limits, Milliseconds alreadyWaited) -> Milliseconds;

// Returns the backlog up to which a late request is sent to an engine: half of the latency target of its route.
auto backlogBound(Milliseconds targetLatency) -> Milliseconds;

// Returns the backlog that a router with so many routers in all, including itself, compares with the bound: the backlog
// divided by a number from 0 to 1 that each router draws anew for each engine and interval. Since routers hear of each
// other's prompts late, all would otherwise send one to the same engine at the same time.
auto comparedBacklog(Milliseconds backlog, std::size_t routers, double draw) -> Milliseconds;

} // namespace jasminewood::deadlines
