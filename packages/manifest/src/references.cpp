#include "references.h"

#include <algorithm>

#include <fmt/format.h>

#include "jasminewood/manifest/check.h"
#include "path_prefix.h"

namespace jasminewood::manifest::internal
{

namespace
{

// Adds an error unless the pool exists and is of this kind. The error of a missing value was added before.
auto checkPool(const Manifest &manifest, SectionReader &reader, const std::string &name, PoolKind kind) -> void
{
    const auto *pool = manifest.poolNamed(name);
    if (!name.empty() && (pool == nullptr || pool->kind_ != kind)) {
        const auto *kindName = kind == PoolKind::Engine ? "engine" : "service";
        reader.addError("pool", fmt::format("the name of a pool of kind {}", kindName), quoted(name));
    }
}

auto checkAccount(const Manifest &manifest, const Account &account, SectionReader &reader) -> void
{
    for (const auto &hash : account.keyHashes_) {
        const auto owner = manifest.accountsByKeyHash_.find(hash);
        if (owner != manifest.accountsByKeyHash_.end() && owner->second != account.name_) {
            reader.addError("key_sha256", "a key of this account only", "a key of account " + owner->second);
        }
    }
    for (const auto &name : account.classes_) {
        if (manifest.classNamed(name) == nullptr) {
            const auto *key = reader.has("classes") ? "classes" : "default_class";
            reader.addError(key, "the name of a class", quoted(name));
        }
    }
    if (!account.defaultClass_.empty() && !isAllowed(account, account.defaultClass_)) {
        reader.addError("default_class", "one of the account's classes", quoted(account.defaultClass_));
    }
}

auto checkModel(const Manifest &manifest, const RequestClass &requestClass, const AllowedModel &allowedModel,
    SectionReader &reader) -> void
{
    const auto *model = manifest.modelNamed(allowedModel.model_);
    if (model == nullptr) {
        reader.addError("models", "names of models", quoted(allowedModel.model_));
        return;
    }
    const auto &versions = model->versions_;
    if (!allowedModel.version_.empty()
        && std::find(versions.begin(), versions.end(), allowedModel.version_) == versions.end()) {
        const auto expected = fmt::format("a version of model {}", allowedModel.model_);
        reader.addError("models", expected, quoted(allowedModel.version_));
    }
    // The error of a pool that does not exist is added once, at the model.
    if (model->pool_ != requestClass.pool_ && manifest.poolNamed(model->pool_) != nullptr) {
        const auto expected = fmt::format("models of pool {}", requestClass.pool_);
        reader.addError("models", expected, fmt::format("model {} of pool {}", allowedModel.model_, model->pool_));
    }
}

auto checkClass(const Manifest &manifest, const RequestClass &requestClass, SectionReader &reader) -> void
{
    const auto *pool = manifest.poolNamed(requestClass.pool_);
    if (pool == nullptr) {
        if (!requestClass.pool_.empty()) {
            reader.addError("pool", "the name of a pool", quoted(requestClass.pool_));
        }
        return;
    }
    if (pool->kind_ == PoolKind::Engine && requestClass.models_.empty()) {
        reader.addError("models", "at least one model, since the pool is of kind engine", "nothing");
    }
    if (pool->kind_ == PoolKind::Service && !requestClass.models_.empty()) {
        reader.addError("models", "no models, since the pool is of kind service", "a list");
        return;
    }
    for (const auto &allowedModel : requestClass.models_) {
        checkModel(manifest, requestClass, allowedModel, reader);
    }
}

auto checkRoute(const Manifest &manifest, const Route &route, SectionReader &reader) -> void
{
    checkPool(manifest, reader, route.pool_, PoolKind::Service);
    const auto *pool = manifest.poolNamed(route.pool_);
    if (pool != nullptr && !route.path_.empty() && !isPathPrefix(pool->path_, route.path_)) {
        reader.addError("path", fmt::format("a path below {}", pool->path_), quoted(route.path_));
    }
    const auto *requestClass = manifest.classNamed(route.class_);
    if (!route.class_.empty() && (requestClass == nullptr || requestClass->pool_ != route.pool_)) {
        reader.addError("class", fmt::format("the name of a class of pool {}", route.pool_), quoted(route.class_));
    }
    for (const auto &[name, other] : manifest.routes_) {
        // The error of each pair is added once, at the name that sorts last.
        if (name < route.name_ && other.method_ == route.method_ && other.path_ == route.path_) {
            reader.addError("path", "one route for a method and path", "that of route " + name);
        }
    }
}

auto checkServicePath(const Manifest &manifest, const Pool &pool, SectionReader &reader) -> void
{
    for (const auto &[name, other] : manifest.pools_) {
        if (name < pool.name_ && !pool.path_.empty() && other.path_ == pool.path_) {
            reader.addError("path", "a path of this service only", "that of pool " + name);
        }
    }
}

// Adds the error at the class with the last line, where the sum is complete.
auto checkShares(const Manifest &manifest, Readers &readers) -> void
{
    auto sum = std::uint32_t(0);
    auto *last = static_cast<SectionReader *>(nullptr);
    for (const auto &[name, requestClass] : manifest.classes_) {
        auto &reader = readers.at("class " + name);
        sum += requestClass.minimumShare_;
        if (requestClass.minimumShare_ > 0 && (last == nullptr || reader.line() > last->line())) {
            last = &reader;
        }
    }
    if (sum > maximumShareSum && last != nullptr) {
        last->addError("minimum_share", fmt::format("a sum over all classes of at most {}", maximumShareSum),
            fmt::format("a sum of {}", sum));
    }
}

} // namespace

auto checkReferences(const Manifest &manifest, Readers &readers) -> void
{
    for (const auto &[name, account] : manifest.accounts_) {
        checkAccount(manifest, account, readers.at("account " + name));
    }
    for (const auto &[name, requestClass] : manifest.classes_) {
        checkClass(manifest, requestClass, readers.at("class " + name));
    }
    for (const auto &[name, model] : manifest.models_) {
        checkPool(manifest, readers.at("model " + name), model.pool_, PoolKind::Engine);
    }
    for (const auto &[name, pool] : manifest.pools_) {
        checkServicePath(manifest, pool, readers.at("pool " + name));
    }
    for (const auto &[name, route] : manifest.routes_) {
        checkRoute(manifest, route, readers.at("route " + name));
    }
    checkShares(manifest, readers);
}

} // namespace jasminewood::manifest::internal
