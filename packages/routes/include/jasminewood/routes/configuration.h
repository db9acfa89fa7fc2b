#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// The operators' configuration of a forwarding proxy: which service handles a request, and how long and how often it
// may be tried.
//
//     const auto table = routes::RouteTable(configuration);

namespace jasminewood::routes
{

// Whether a request may be executed more than once.
enum class RetrySafety : std::uint8_t
{
    // The request may run more than once.
    Idempotent,
    // The request runs at most once.
    AtMostOnce,
    // The response is a stream. The request runs at most once unless the route allows the stream to be resumed.
    Stream,
};

// A service and its weight among the services of a route.
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
    // The maximum time until the caller has received the complete response.
    const Milliseconds timeout_ = Milliseconds(0);
    // The latency target of the response, or of the first event of a stream. A response that meets it earns its full
    // value.
    const Milliseconds targetLatency_ = Milliseconds(0);
    // The target for the longest gap between two events of a stream; empty if the route has none.
    const std::optional<Milliseconds> eventGapTarget_;
    // 0 is the highest priority.
    const std::uint32_t priority_ = 0;
    // Not empty.
    const std::vector<WeightedService> weightedServices_;
    // The maximum number of upstreams at which one request may be attempted.
    const std::uint32_t maximumAttempts_ = 1;
    // True if requests need no API key.
    const bool allowsAnonymous_ = false;
    // True if an interrupted stream may be resumed at another upstream.
    const bool resumable_ = false;

    auto operator<=>(const Route &) const = default;
};

// The capacity of each model engine of a service.
struct EngineCapacity
{
    // The number of requests that one engine batches.
    const std::uint32_t slots_ = 1;
    // The number of tokens that the KV cache of one engine holds.
    const std::uint64_t kvCacheTokens_ = 0;

    auto operator<=>(const EngineCapacity &) const = default;
};

struct Service
{
    const std::string name_;
    const std::string healthPath_;
    // The number of connections that one upstream accepts from all callers together.
    const std::uint32_t connectionLimit_ = 0;
    // Empty for a service that runs no model.
    const std::optional<EngineCapacity> engineCapacity_;

    auto operator<=>(const Service &) const = default;
};

struct Account
{
    const std::string name_;
    const std::vector<std::string> keys_;
    // Compared before the priority of the route, which decides among accounts of equal priority.
    const std::optional<std::uint32_t> priority_;

    auto operator<=>(const Account &) const = default;
};

// Requests need no API key.
struct OpenAccess
{
    auto operator<=>(const OpenAccess &) const = default;
};

// Requests need an API key of one of these accounts, except on routes that allow anonymous ones. If there are no
// accounts, no key is valid.
struct AccountAccess
{
    const std::vector<Account> accounts_;

    auto operator<=>(const AccountAccess &) const = default;
};

using AccessPolicy = std::variant<OpenAccess, AccountAccess>;

// Returns the accounts of the policy; none if it has no accounts or needs none.
auto accountsOf(const AccessPolicy &policy) -> const std::vector<Account> &;

// What a caller may send, and how long it may take; empty where the operators set no limit.
struct CallerLimits
{
    // The size of the request line and the header fields.
    const std::optional<std::size_t> maximumHeaderBytes_;
    const std::optional<std::size_t> maximumBodyBytes_;
    // The time for sending a request's head.
    const std::optional<Milliseconds> headerTimeout_;
    // The time between a response and the next request on the same connection.
    const std::optional<Milliseconds> idleTimeout_;

    auto operator<=>(const CallerLimits &) const = default;
};

struct Configuration
{
    const std::int64_t version_ = 0;
    const std::vector<Route> routes_;
    const std::vector<Service> services_;
    const AccessPolicy access_ = OpenAccess {};
    const CallerLimits callerLimits_;
    // The number of routes, services and accounts that are left out because they could not be read.
    const std::uint32_t unreadableElements_ = 0;

    auto operator<=>(const Configuration &) const = default;
};

} // namespace jasminewood::routes
