#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminewood/routes/configuration.h"

// Look-ups in a configuration.
//
//     const auto *route = table.match("shop.example", "/quotes/7");
//     const auto *account = table.accountOf(key);

namespace jasminewood::routes
{

// Levels of urgency that model engines distinguish.
constexpr std::uint32_t enginePriorityLevels = 10;

// Immutable and thread-safe. Returned pointers stay valid as long as the table.
class RouteTable
{
public:
    explicit RouteTable(const Configuration &configuration);

    RouteTable(const RouteTable &) = delete;
    auto operator=(const RouteTable &) -> RouteTable & = delete;

    auto configuration() const -> const Configuration &;

    // Returns the route of that host with the longest prefix that begins the path, or nullptr. The host is compared
    // without regard to case and without its port; a query at the end of the path is disregarded.
    auto matchRoute(std::string_view host, std::string_view path) const -> const Route *;

    // Returns the account that holds the key, or nullptr.
    auto findAccount(const std::string &key) const -> const Account *;

    // Returns the urgency of a request of that route and account (nullptr for none), 0 to urgencyLevels - 1, where 0 is
    // first: all pairs of an account's and a route's priority, in order. Pairs share a level only if there are more
    // pairs than levels.
    auto enginePriority(const Route &route, const Account *account) const -> std::uint32_t;

    // Returns the service of that name, or nullptr.
    auto findService(const std::string &name) const -> const Service *;

private:
    const Configuration configuration_;
    // Routes by host, those with the longest prefix first.
    std::map<std::string, std::vector<const Route *>> hosts_;
    std::map<std::string, const Account *> keys_;
    std::map<std::string, const Service *> services_;
    // All pairs of an account's and a route's priority, in order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> priorities_;
};

// Returns the service for a request: each gets its weight's share of all draws. Precondition: the route has a share.
auto chooseService(const Route &route, std::uint64_t draw) -> const std::string &;

} // namespace jasminewood::routes
