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

// Service "limits" of the router: account limits over all routers, the budgets of retries and hedges, and the requests
// suspected of crashing upstreams.
//
//     if (const auto failure = limits->admit(account, cost)) {
//         return answerFailure(*failure);
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

    // Counts a request and admits it, or returns why not.
    auto admit(const std::string &account, std::uint32_t cost) -> Status;

    // Replaces the estimated work of an admitted request by the actual one.
    auto adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void;

    auto tryAcquireRetry() -> bool;

    auto hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>;
    auto tryAcquireHedge() -> bool;
    auto recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void;

    // Calls the handler after each crash that this router notes. To be set before the first request.
    auto setCrashHandler(const std::function<auto()->void> &handler) -> void;
    auto recordCrash(const std::string &crash, std::uint64_t fingerprint) -> void;
    auto recordCompletion(std::uint64_t fingerprint) -> void;
    auto quarantineVerdict(std::uint64_t fingerprint) const -> routing::CrashVerdict;

    // What other routers have to know, and what they told.
    auto usageTotals() -> admission::UsageTotals;
    auto mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void;
    auto crashReports() const -> std::vector<routing::CrashReport>;
    auto mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void;

    // The number of routers, counting this one.
    auto setRouterCount(std::uint32_t count) -> void;

private:
    auto configure(const manifest::Manifest &manifest) -> void;

    std::shared_ptr<node::ManifestStore> manifests_;

    std::function<auto()->void> crashHandler_;

    mutable std::mutex mutex_;
    admission::AccountRateLimiter accounts_;
    admission::AccountLimits configured_;
    std::uint32_t routers_ = 1;
    routing::RetryBudget retries_;
    routing::HedgePolicy hedges_;
    routing::PoisonRequestDetector suspicion_;
};

} // namespace jasminewood::router
