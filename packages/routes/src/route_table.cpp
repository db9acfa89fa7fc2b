#include "jasminewood/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace jasminewood::routes
{

namespace
{

auto hostName(std::string_view host) -> std::string
{
    auto name = std::string(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return name;
}

auto priorityOf(const Account *account) -> std::uint32_t
{
    return account == nullptr ? 0 : account->priority_.value_or(0);
}

auto prioritiesOf(const Configuration &configuration) -> std::vector<std::pair<std::uint32_t, std::uint32_t>>
{
    auto pairs = std::set<std::pair<std::uint32_t, std::uint32_t>>();
    for (const auto &route : configuration.routes_) {
        pairs.emplace(priorityOf(nullptr), route.priority_);
        for (const auto &account : configuration.accounts_) {
            pairs.emplace(priorityOf(&account), route.priority_);
        }
    }
    return {pairs.begin(), pairs.end()};
}

} // namespace

RouteTable::RouteTable(const Configuration &configuration)
    : configuration_(configuration)
{
    for (const auto &route : configuration_.routes_) {
        hosts_[hostName(route.host_)].push_back(&route);
    }
    for (auto &[host, routes] : hosts_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix_.size() > right->pathPrefix_.size();
        });
    }
    for (const auto &account : configuration_.accounts_) {
        for (const auto &key : account.keys_) {
            keys_.emplace(key, &account);
        }
    }
    priorities_ = prioritiesOf(configuration_);
    for (const auto &findService : configuration_.services_) {
        services_.emplace(findService.name_, &findService);
    }
}

auto RouteTable::configuration() const -> const Configuration &
{
    return configuration_;
}

auto RouteTable::matchRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const auto found = hosts_.find(hostName(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    const auto plain = path.substr(0, path.find('?'));
    const auto matching = [plain](const Route *route) {
        return plain.starts_with(route->pathPrefix_);
    };
    const auto route = std::find_if(found->second.begin(), found->second.end(), matching);
    return route == found->second.end() ? nullptr : *route;
}

auto RouteTable::findAccount(const std::string &key) const -> const Account *
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

auto RouteTable::enginePriority(const Route &route, const Account *account) const -> std::uint32_t
{
    const auto own = std::pair(priorityOf(account), route.priority_);
    const auto rank = std::lower_bound(priorities_.begin(), priorities_.end(), own) - priorities_.begin();
    const auto levels = std::max<std::size_t>(enginePriorityLevels, priorities_.size());
    return std::uint32_t(std::size_t(rank) * enginePriorityLevels / levels);
}

auto RouteTable::findService(const std::string &name) const -> const Service *
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
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
    auto left = draw % total;
    for (const auto &share : route.weightedServices_) {
        if (left < share.weight_) {
            return share.service_;
        }
        left -= share.weight_;
    }
    return route.weightedServices_.back().service_;
}

} // namespace jasminewood::routes
