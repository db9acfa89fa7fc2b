#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/admission/account_rate_limiter.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/routing/hedge_policy.h"
#include "jasminewood/routing/poison_request_detector.h"
#include "jasminewood/routing/retry_budget.h"

// Service "limits" of the router: the rate limits of accounts across all routers, the retry and hedge budgets, and the
// requests suspected of crashing upstreams.
//
//     if (const auto failure = limits->admit(account, cost)) {
//         return errorResponse(429, requestId, *failure);
//     }

namespace jasminewood::router
{

// Thread-safe.
class RequestLimits
{
public:
    RequestLimits();

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Admits a request and counts it for the rate limits, the retry budget and the hedge budget, or returns why it is
    // rejected.
    auto admit(const std::string &account, std::uint32_t cost) -> Status;

    // Replaces the estimated work of an admitted request by its actual work.
    auto adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void;

    auto tryAcquireRetry() -> bool;

    auto hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>;
    auto tryAcquireHedge() -> bool;
    auto recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void;

    // Sets a handler that is called after each crash that this router records. Must be called before the first request.
    auto setCrashHandler(const std::function<auto()->void> &handler) -> void;
    auto recordCrash(const std::string &crashId, std::uint64_t fingerprint) -> void;
    auto recordCompletion(std::uint64_t fingerprint) -> void;
    auto quarantineVerdict(std::uint64_t fingerprint) const -> routing::CrashVerdict;

    // State that routers exchange: usage and crash reports to send, and those received from other routers.
    auto usageTotals() -> admission::UsageTotals;
    auto mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void;
    auto crashReports() const -> std::vector<routing::CrashReport>;
    auto mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void;

    // Sets the number of routers, including this one.
    auto setRouterCount(std::uint32_t count) -> void;

private:
    auto configure(const manifest::Manifest &manifest) -> void;

    std::shared_ptr<node::ManifestStore> manifestStore_;

    std::function<auto()->void> crashHandler_;

    mutable std::mutex mutex_;
    admission::AccountRateLimiter accountRateLimiter_;
    admission::AccountLimits accountLimits_;
    std::uint32_t routerCount_ = 1;
    routing::RetryBudget retryBudget_;
    routing::HedgePolicy hedgePolicy_;
    routing::PoisonRequestDetector poisonRequestDetector_;
};

} // namespace jasminewood::router
