#include "jasminewood/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace jasminewood::routes
{

namespace
{

auto normalisedHost(std::string_view host) -> std::string
{
    auto name = std::string(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return char(std::tolower(character));
    });
    return name;
}

auto priorityOf(const Account *account) -> std::uint32_t
{
    return account == nullptr ? 0 : account->priority_.value_or(0);
}

auto priorityPairsOf(const Configuration &configuration) -> std::vector<std::pair<std::uint32_t, std::uint32_t>>
{
    auto pairs = std::set<std::pair<std::uint32_t, std::uint32_t>>();
    for (const auto &route : configuration.routes_) {
        pairs.emplace(priorityOf(nullptr), route.priority_);
        for (const auto &account : accountsOf(configuration.access_)) {
            pairs.emplace(priorityOf(&account), route.priority_);
        }
    }
    return {pairs.begin(), pairs.end()};
}

} // namespace

auto accountsOf(const AccessPolicy &policy) -> const std::vector<Account> &
{
    static const auto none = std::vector<Account>();
    const auto *access = std::get_if<AccountAccess>(&policy);
    return access == nullptr ? none : access->accounts_;
}

RouteTable::RouteTable(const Configuration &configuration)
    : configuration_(configuration)
{
    for (const auto &route : configuration_.routes_) {
        routesByHost_[normalisedHost(route.host_)].push_back(&route);
    }
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix_.size() > right->pathPrefix_.size();
        });
    }
    for (const auto &account : accountsOf(configuration_.access_)) {
        for (const auto &key : account.keys_) {
            // An empty key is that of a request without one.
            if (!key.empty()) {
                accountsByKey_.emplace(key, &account);
            }
        }
    }
    priorityPairs_ = priorityPairsOf(configuration_);
    for (const auto &findService : configuration_.services_) {
        servicesByName_.emplace(findService.name_, &findService);
    }
}

auto RouteTable::configuration() const -> const Configuration &
{
    return configuration_;
}

auto RouteTable::matchRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const auto found = routesByHost_.find(normalisedHost(host));
    if (found == routesByHost_.end()) {
        return nullptr;
    }
    const auto pathWithoutQuery = path.substr(0, path.find('?'));
    const auto hasMatchingPrefix = [pathWithoutQuery](const Route *route) {
        return pathWithoutQuery.starts_with(route->pathPrefix_);
    };
    const auto route = std::find_if(found->second.begin(), found->second.end(), hasMatchingPrefix);
    return route == found->second.end() ? nullptr : *route;
}

auto RouteTable::findAccount(const std::string &key) const -> const Account *
{
    const auto found = accountsByKey_.find(key);
    return found == accountsByKey_.end() ? nullptr : found->second;
}

auto RouteTable::enginePriority(const Route &route, const Account *account) const -> std::uint32_t
{
    const auto priorityPair = std::pair(priorityOf(account), route.priority_);
    const auto rank
        = std::lower_bound(priorityPairs_.begin(), priorityPairs_.end(), priorityPair) - priorityPairs_.begin();
    const auto levels = std::max<std::size_t>(enginePriorityLevels, priorityPairs_.size());
    return std::uint32_t(std::size_t(rank) * enginePriorityLevels / levels);
}

auto RouteTable::enginePriorityCount() const -> std::uint32_t
{
    return std::uint32_t(std::min<std::size_t>(enginePriorityLevels, priorityPairs_.size()));
}

auto RouteTable::findService(const std::string &name) const -> const Service *
{
    const auto found = servicesByName_.find(name);
    return found == servicesByName_.end() ? nullptr : found->second;
}

auto chooseService(const Route &route, std::uint64_t draw) -> const std::string &
{
    auto total = std::uint64_t(0);
    for (const auto &share : route.weightedServices_) {
        total += share.weight_;
    }
    if (total == 0) {
        return route.weightedServices_.front().service_;
    }
    auto remaining = draw % total;
    for (const auto &share : route.weightedServices_) {
        if (remaining < share.weight_) {
            return share.service_;
        }
        remaining -= share.weight_;
    }
    return route.weightedServices_.back().service_;
}

} // namespace jasminewood::routes
