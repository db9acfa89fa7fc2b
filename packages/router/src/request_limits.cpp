#include "jasminewood/router/request_limits.h"

#include <algorithm>

namespace jasminewood::router
{

RequestLimits::RequestLimits()
    : accountRateLimiter_(Clock::now())
{
}

auto RequestLimits::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    manifestStore_->subscribe([this](const node::ManifestPointer &manifest) -> void {
        configure(*manifest->manifest_);
    });
    return std::nullopt;
}

auto RequestLimits::stop() -> void
{
}

auto RequestLimits::configure(const manifest::Manifest &manifest) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountLimits_.clear();
    for (const auto &[name, account] : manifest.accounts_) {
        accountLimits_.emplace(name,
            admission::AccountLimit {.requestsPerSecond_ = account.requestsPerSecond_,
                .workPerSecond_ = static_cast<std::uint32_t>(account.workPerSecond_)});
    }
    accountRateLimiter_.configure(accountLimits_, routerCount_, Clock::now());
}

auto RequestLimits::setRouterCount(std::uint32_t count) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto effectiveCount = std::max(count, 1U);
    if (effectiveCount != routerCount_) {
        routerCount_ = effectiveCount;
        accountRateLimiter_.configure(accountLimits_, routerCount_, Clock::now());
    }
}

auto RequestLimits::admit(const std::string &account, std::uint32_t cost) -> Status
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    auto rejection = accountRateLimiter_.admit(account, cost, now);
    if (!rejection) {
        retryBudget_.recordRequest(now);
        hedgePolicy_.recordRequest();
    }
    return rejection;
}

auto RequestLimits::adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountRateLimiter_.adjustWork(account, estimated, actual);
}

auto RequestLimits::tryAcquireRetry() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return retryBudget_.tryAcquireRetry(routerCount_, Clock::now());
}

auto RequestLimits::hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>
{
    const auto lock = std::lock_guard(mutex_);
    return hedgePolicy_.hedgeDelay(requestClass);
}

auto RequestLimits::tryAcquireHedge() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return hedgePolicy_.tryAcquireHedge();
}

auto RequestLimits::recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void
{
    const auto lock = std::lock_guard(mutex_);
    hedgePolicy_.recordTimeToFirstToken(requestClass, duration);
}

auto RequestLimits::setCrashHandler(const std::function<auto()->void> &handler) -> void
{
    crashHandler_ = handler;
}

auto RequestLimits::recordCrash(const std::string &crashId, std::uint64_t fingerprint) -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        poisonRequestDetector_.recordCrash(crashId, {fingerprint}, Clock::now());
    }
    if (crashHandler_) {
        crashHandler_();
    }
}

auto RequestLimits::recordCompletion(std::uint64_t fingerprint) -> void
{
    const auto lock = std::lock_guard(mutex_);
    poisonRequestDetector_.recordCompletion(fingerprint, Clock::now());
}

auto RequestLimits::quarantineVerdict(std::uint64_t fingerprint) const -> routing::CrashVerdict
{
    const auto lock = std::lock_guard(mutex_);
    return poisonRequestDetector_.verdict(fingerprint, Clock::now());
}

auto RequestLimits::usageTotals() -> admission::UsageTotals
{
    const auto lock = std::lock_guard(mutex_);
    return accountRateLimiter_.collectUsage(Clock::now());
}

auto RequestLimits::mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountRateLimiter_.mergeUsage(router, totals, Clock::now());
}

auto RequestLimits::crashReports() const -> std::vector<routing::CrashReport>
{
    const auto lock = std::lock_guard(mutex_);
    return poisonRequestDetector_.reports(Clock::now());
}

auto RequestLimits::mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void
{
    const auto lock = std::lock_guard(mutex_);
    poisonRequestDetector_.merge(reports, Clock::now());
}

} // namespace jasminewood::router
