#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/routes/configuration.h"

// Look-ups in a configuration.
//
//     const auto *route = table.match("shop.example", "/quotes/7");
//     const auto *account = table.accountOf(key);

namespace jasminewood::routes
{

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
    auto match(std::string_view host, std::string_view path) const -> const Route *;

    // Returns the account that holds the key, or nullptr.
    auto accountOf(const std::string &key) const -> const Account *;

    // Returns the service of that name, or nullptr.
    auto service(const std::string &name) const -> const Service *;

private:
    const Configuration configuration_;
    // Routes by host, those with the longest prefix first.
    std::map<std::string, std::vector<const Route *>> hosts_;
    std::map<std::string, const Account *> keys_;
    std::map<std::string, const Service *> services_;
};

// Returns the service for a request: each gets its weight's share of all draws. Precondition: the route has a share.
auto chooseShare(const Route &route, std::uint64_t draw) -> const std::string &;

} // namespace jasminewood::routes
