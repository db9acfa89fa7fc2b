#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/tier.h"

// The configuration that operators submit, as a value. check.h parses it from text.
//
//     const auto *account = manifest.accountByKeyHash(hash);
//     const auto *requestClass = manifest.classNamed(account->defaultClass_);

namespace jasminewood::manifest
{

// A model that a class may use.
struct AllowedModel
{
    const std::string model_;
    // Empty if every version of the model is allowed.
    const std::string version_;

    auto operator<=>(const AllowedModel &) const = default;
};

struct Account
{
    const std::string name_;
    // SHA-256 of each bearer key in lower-case hex.
    const std::vector<std::string> keyHashes_;
    const std::string defaultClass_;
    // Allowed classes; includes the default class.
    const std::vector<std::string> classes_;
    // Rate limits across all routers.
    const std::uint32_t requestsPerSecond_ = 0;
    // Work is measured in output tokens.
    const std::uint64_t workPerSecond_ = 0;
    // Weight of the account relative to the other accounts of a class.
    const std::uint32_t weight_ = 1;

    auto operator<=>(const Account &) const = default;
};

struct RequestClass
{
    const std::string name_;
    const Tier tier_ = lowestTier;
    // Latency targets; zero if the class has none.
    const Milliseconds timeToFirstTokenTarget_ = Milliseconds(0);
    const Milliseconds interTokenLatencyTarget_ = Milliseconds(0);
    // Percentage of the started work that is reserved for the class regardless of its tier.
    const std::uint32_t minimumShare_ = 0;
    // Maximum time in a queue; afterwards the request expires as not run.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // Empty if the pool is a service.
    const std::vector<AllowedModel> models_;
    const std::string pool_;
    const bool hedge_ = false;
    // Output tokens assumed for a request until there are samples of its account and class.
    const std::uint32_t costEstimate_ = 0;

    auto operator<=>(const RequestClass &) const = default;
};

struct Model
{
    const std::string name_;
    const std::vector<std::string> versions_;
    const std::string pool_;

    auto operator<=>(const Model &) const = default;
};

enum class PoolKind : std::uint8_t
{
    Engine,
    Service,
};

// Whether the pool's upstreams reject a command that carries an outdated fencing token.
enum class Fencing : std::uint8_t
{
    Checked,
    Ignored,
};

struct Pool
{
    const std::string name_;
    const PoolKind kind_ = PoolKind::Engine;
    // Maximum number of attempts that run at one upstream at a time.
    const std::uint32_t concurrency_ = 0;
    // Maximum number of long attempts among them.
    const std::uint32_t longLaneSlots_ = 0;
    // Number of output tokens after which an attempt counts as long.
    const std::uint32_t longTokens_ = 0;
    // Maximum number of attempts queued at one upstream.
    const std::uint32_t queueLimit_ = 0;
    // Prefix of the URL paths that a service handles; empty for engines.
    const std::string path_;
    const Fencing fencing_ = Fencing::Checked;
    // 0 if the pool does not load from the weight store.
    const std::uint64_t weightStoreBytesPerSecond_ = 0;

    auto operator<=>(const Pool &) const = default;
};

// Calls of a service that have the same class and the same idempotence.
struct Route
{
    const std::string name_;
    const std::string pool_;
    const std::string method_;
    // Prefix that ends at a slash or at the end of the path.
    const std::string path_;
    const bool idempotent_ = false;
    const std::string class_;

    auto operator<=>(const Route &) const = default;
};

// Immutable and therefore thread-safe. Returned pointers are valid as long as the manifest exists.
struct Manifest
{
    const std::map<std::string, Account, std::less<>> accounts_;
    const std::map<std::string, RequestClass, std::less<>> classes_;
    const std::map<std::string, Model, std::less<>> models_;
    const std::map<std::string, Pool, std::less<>> pools_;
    const std::map<std::string, Route, std::less<>> routes_;
    // Account names by key hash.
    const std::map<std::string, std::string, std::less<>> accountsByKeyHash_;

    auto operator<=>(const Manifest &) const = default;

    // Each of these functions returns null if there is no match.
    auto accountByKeyHash(std::string_view hash) const -> const Account *;
    auto accountNamed(std::string_view name) const -> const Account *;
    auto classNamed(std::string_view name) const -> const RequestClass *;
    auto modelNamed(std::string_view name) const -> const Model *;
    auto poolNamed(std::string_view name) const -> const Pool *;
    // Returns the service whose path is the longest prefix of this path.
    auto serviceFor(std::string_view path) const -> const Pool *;
    // Returns the route of this method whose path is the longest prefix of this path. The path must not contain a
    // query.
    auto routeFor(std::string_view method, std::string_view path) const -> const Route *;
};

// Returns whether the account may send requests of this class.
auto isAllowed(const Account &account, std::string_view requestClass) -> bool;

// Returns whether the class may use this version of the model. An empty version matches any version.
auto isAllowed(const RequestClass &requestClass, std::string_view model, std::string_view version) -> bool;

// Returns whether a call of a service may be retried. Its route decides; without a route only methods that HTTP defines
// as safe and idempotent (GET, HEAD, OPTIONS) may be retried.
auto isIdempotent(const Manifest &manifest, std::string_view method, std::string_view path) -> bool;

} // namespace jasminewood::manifest
