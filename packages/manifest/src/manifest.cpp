#include "jasminewood/manifest/manifest.h"

#include <algorithm>

#include "path_prefix.h"

namespace jasminewood::manifest
{

namespace
{

template <typename Value>
auto find(const std::map<std::string, Value, std::less<>> &values, std::string_view name) -> const Value *
{
    const auto found = values.find(name);
    return found == values.end() ? nullptr : &found->second;
}

// Returns the value with the longest path among those that match and whose path is a prefix of the given path.
template <typename Value, typename Predicate>
auto longestPrefix(const std::map<std::string, Value, std::less<>> &values, std::string_view path,
    const Predicate &matches) -> const Value *
{
    auto *best = static_cast<const Value *>(nullptr);
    for (const auto &[name, value] : values) {
        const auto isLonger = best == nullptr || value.path_.size() > best->path_.size();
        if (isLonger && matches(value) && internal::isPathPrefix(value.path_, path)) {
            best = &value;
        }
    }
    return best;
}

} // namespace

auto Manifest::accountByKeyHash(std::string_view hash) const -> const Account *
{
    const auto *name = find(accountsByKeyHash_, hash);
    return name == nullptr ? nullptr : accountNamed(*name);
}

auto Manifest::accountNamed(std::string_view name) const -> const Account *
{
    return find(accounts_, name);
}

auto Manifest::classNamed(std::string_view name) const -> const RequestClass *
{
    return find(classes_, name);
}

auto Manifest::modelNamed(std::string_view name) const -> const Model *
{
    return find(models_, name);
}

auto Manifest::poolNamed(std::string_view name) const -> const Pool *
{
    return find(pools_, name);
}

auto Manifest::serviceFor(std::string_view path) const -> const Pool *
{
    return longestPrefix(pools_, path, [](const Pool &pool) -> bool {
        return pool.kind_ == PoolKind::Service;
    });
}

auto Manifest::routeFor(std::string_view method, std::string_view path) const -> const Route *
{
    return longestPrefix(routes_, path, [method](const Route &route) -> bool {
        return route.method_ == method;
    });
}

auto isAllowed(const Account &account, std::string_view requestClass) -> bool
{
    return std::find(account.classes_.begin(), account.classes_.end(), requestClass) != account.classes_.end();
}

auto isAllowed(const RequestClass &requestClass, std::string_view model, std::string_view version) -> bool
{
    const auto &models = requestClass.models_;
    return std::any_of(models.begin(), models.end(), [model, version](const AllowedModel &allowedModel) -> bool {
        return allowedModel.model_ == model
            && (allowedModel.version_.empty() || version.empty() || allowedModel.version_ == version);
    });
}

auto isIdempotent(const Manifest &manifest, std::string_view method, std::string_view path) -> bool
{
    if (const auto *route = manifest.routeFor(method, path)) {
        return route->idempotent_;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace jasminewood::manifest
