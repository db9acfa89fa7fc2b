#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminewood/routes/configuration.h"

// Looks up routes, accounts and services of a configuration.
//
//     const auto *route = table.matchRoute("shop.example", "/quotes/7");
//     const auto *account = table.findAccount(key);

namespace jasminewood::routes
{

// The number of priority levels that model engines distinguish.
constexpr std::uint32_t enginePriorityLevels = 10;

// Immutable and thread-safe. Returned pointers are valid for the lifetime of the table.
class RouteTable
{
public:
    explicit RouteTable(const Configuration &configuration);

    RouteTable(const RouteTable &) = delete;
    auto operator=(const RouteTable &) -> RouteTable & = delete;

    auto configuration() const -> const Configuration &;

    // Returns the route of the host with the longest prefix that matches the path, or nullptr. The host is compared
    // case-insensitively and without its port; a query string in the path is ignored.
    auto matchRoute(std::string_view host, std::string_view path) const -> const Route *;

    // Returns the account that owns the key, or nullptr.
    auto findAccount(const std::string &key) const -> const Account *;

    // Returns the engine priority of a request with this route and account (nullptr for none), from 0, the highest, to
    // enginePriorityLevels - 1. The levels follow the order of all pairs of an account's and a route's priority; pairs
    // share a level only if there are more pairs than levels.
    auto enginePriority(const Route &route, const Account *account) const -> std::uint32_t;

    // Returns the number of engine priorities that requests can have: that of the pairs of an account's and a route's
    // priority, at most enginePriorityLevels.
    auto enginePriorityCount() const -> std::uint32_t;

    // Returns the service with this name, or nullptr.
    auto findService(const std::string &name) const -> const Service *;

private:
    const Configuration configuration_;
    // The routes of each host, longest prefix first.
    std::map<std::string, std::vector<const Route *>> routesByHost_;
    std::map<std::string, const Account *> accountsByKey_;
    std::map<std::string, const Service *> servicesByName_;
    // The distinct pairs of an account's and a route's priority, in ascending order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> priorityPairs_;
};

// Returns the service for a request. Over all draws, each service is chosen in proportion to its weight. Precondition:
// the route has at least one service.
auto chooseService(const Route &route, std::uint64_t draw) -> const std::string &;

} // namespace jasminewood::routes
