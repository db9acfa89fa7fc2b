#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/admission/account_limiter.h"
#include "jasminewood/kernel/registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/routing/crash_suspicion.h"
#include "jasminewood/routing/hedge_policy.h"
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
class Limits
{
public:
    Limits();

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // Admits a request and counts it for the rate limits, the retry budget and the hedge budget, or returns why it is
    // rejected.
    auto admit(const std::string &account, std::uint32_t cost) -> Status;

    // Replaces the estimated work of an admitted request by its actual work.
    auto correct(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void;

    auto tryRetry() -> bool;

    auto hedgeAfter(const std::string &requestClass) const -> std::optional<Microseconds>;
    auto tryHedge() -> bool;
    auto firstToken(const std::string &requestClass, Microseconds duration) -> void;

    // Sets a handler that is called after each crash that this router records. Must be called before the first request.
    auto onCrash(const std::function<auto()->void> &handler) -> void;
    auto crashed(const std::string &crashId, std::uint64_t fingerprint) -> void;
    auto completed(std::uint64_t fingerprint) -> void;
    auto verdict(std::uint64_t fingerprint) const -> routing::Verdict;

    // State that routers exchange: usage and crash reports to send, and those received from other routers.
    auto usage() -> admission::UsageTotals;
    auto mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void;
    auto crashReports() const -> std::vector<routing::CrashReport>;
    auto mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void;

    // Sets the number of routers, including this one.
    auto routers(std::uint32_t count) -> void;

private:
    auto configure(const manifest::Manifest &manifest) -> void;

    std::shared_ptr<node::ManifestStore> manifestStore_;

    std::function<auto()->void> crashHandler_;

    mutable std::mutex mutex_;
    admission::AccountLimiter accountLimiter_;
    admission::AccountLimits accountLimits_;
    std::uint32_t routerCount_ = 1;
    routing::RetryBudget retryBudget_;
    routing::HedgePolicy hedgePolicy_;
    routing::CrashSuspicion poisonRequestDetector_;
};

} // namespace jasminewood::router
