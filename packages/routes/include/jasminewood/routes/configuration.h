#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The operators' configuration of a forwarding front: which request goes to which service, and what it may cost.
//
//     const auto table = routes::RouteTable(configuration);

namespace jasminewood::routes
{

// What may be done with a request more than once.
enum class RetrySafety : std::uint8_t
{
    // The request may run more than once.
    Idempotent,
    // The request runs at most once.
    AtMostOnce,
    // The answer is a stream, and the request runs at most once unless the route allows to resume it.
    Stream,
};

// A share of a route's requests that goes to one service.
struct WeightedService
{
    const std::string service_;
    const std::uint32_t weight_ = 1;

    auto operator<=>(const WeightedService &) const = default;
};

struct Route
{
    const std::string name_;
    const std::string host_;
    // Begins and ends with a slash.
    const std::string pathPrefix_;
    const RetrySafety retrySafety_ = RetrySafety::AtMostOnce;
    // The longest time for which a request may be kept waiting for its complete answer.
    const Milliseconds timeout_ = Milliseconds(0);
    // The time within which the answer, or the first event of a stream, earns its full value.
    const Milliseconds targetLatency_ = Milliseconds(0);
    // The longest pause between two events of a stream that is on time; empty if the route has none.
    const std::optional<Milliseconds> eventGapTarget_;
    // 0 is the most urgent.
    const std::uint32_t priority_ = 0;
    // Not empty.
    const std::vector<WeightedService> weightedServices_;
    // Upstreams on which one request may be run.
    const std::uint32_t maximumAttempts_ = 1;
    // True if the request needs no key.
    const bool allowsAnonymous_ = false;
    // True if a broken stream may go on at another upstream.
    const bool resumable_ = false;

    auto operator<=>(const Route &) const = default;
};

// The model engines of a service.
struct EngineCapacity
{
    // Requests that one engine batches.
    const std::uint32_t slots_ = 1;
    // Tokens that the memory of one engine holds.
    const std::uint64_t kvCacheTokens_ = 0;

    auto operator<=>(const EngineCapacity &) const = default;
};

struct Service
{
    const std::string name_;
    const std::string healthPath_;
    // Connections that one upstream accepts from all callers together.
    const std::uint32_t connectionLimit_ = 0;
    // Empty for a service that runs no model.
    const std::optional<EngineCapacity> engineCapacity_;

    auto operator<=>(const Service &) const = default;
};

struct Account
{
    const std::string name_;
    const std::vector<std::string> keys_;
    // Takes precedence over the priority of the route, which decides among equal accounts.
    const std::optional<std::uint32_t> priority_;

    auto operator<=>(const Account &) const = default;
};

struct Configuration
{
    const std::int64_t version_ = 0;
    const std::vector<Route> routes_;
    const std::vector<Service> services_;
    // If empty, requests need no key.
    const std::vector<Account> accounts_;

    auto operator<=>(const Configuration &) const = default;
};

} // namespace jasminewood::routes
