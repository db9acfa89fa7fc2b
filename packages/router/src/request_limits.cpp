#include "jasminewood/router/request_limits.h"

#include <algorithm>

namespace jasminewood::router
{

RequestLimits::RequestLimits()
    : accounts_(Clock::now())
{
}

auto RequestLimits::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("manifest", manifests_)) {
        return failure;
    }
    manifests_->subscribe([this](const node::ManifestPointer &manifest) -> void {
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
    configured_.clear();
    for (const auto &[name, account] : manifest.accounts_) {
        configured_.emplace(name,
            admission::AccountLimit {.requestsPerSecond_ = account.requestsPerSecond_,
                .workPerSecond_ = static_cast<std::uint32_t>(account.workPerSecond_)});
    }
    accounts_.configure(configured_, routers_, Clock::now());
}

auto RequestLimits::setRouterCount(std::uint32_t count) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto counted = std::max(count, 1U);
    if (counted != routers_) {
        routers_ = counted;
        accounts_.configure(configured_, routers_, Clock::now());
    }
}

auto RequestLimits::admit(const std::string &account, std::uint32_t cost) -> Status
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    auto refused = accounts_.admit(account, cost, now);
    if (!refused) {
        retries_.recordRequest(now);
        hedges_.recordRequest();
    }
    return refused;
}

auto RequestLimits::adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accounts_.adjustWork(account, estimated, actual);
}

auto RequestLimits::tryAcquireRetry() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return retries_.tryAcquireRetry(routers_, Clock::now());
}

auto RequestLimits::hedgeDelay(const std::string &requestClass) const -> std::optional<Microseconds>
{
    const auto lock = std::lock_guard(mutex_);
    return hedges_.hedgeDelay(requestClass);
}

auto RequestLimits::tryAcquireHedge() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return hedges_.tryAcquireHedge();
}

auto RequestLimits::recordTimeToFirstToken(const std::string &requestClass, Microseconds duration) -> void
{
    const auto lock = std::lock_guard(mutex_);
    hedges_.recordTimeToFirstToken(requestClass, duration);
}

auto RequestLimits::setCrashHandler(const std::function<auto()->void> &handler) -> void
{
    crashHandler_ = handler;
}

auto RequestLimits::recordCrash(const std::string &crash, std::uint64_t fingerprint) -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        suspicion_.recordCrash(crash, {fingerprint}, Clock::now());
    }
    if (crashHandler_) {
        crashHandler_();
    }
}

auto RequestLimits::recordCompletion(std::uint64_t fingerprint) -> void
{
    const auto lock = std::lock_guard(mutex_);
    suspicion_.recordCompletion(fingerprint, Clock::now());
}

auto RequestLimits::quarantineVerdict(std::uint64_t fingerprint) const -> routing::CrashVerdict
{
    const auto lock = std::lock_guard(mutex_);
    return suspicion_.verdict(fingerprint, Clock::now());
}

auto RequestLimits::usageTotals() -> admission::UsageTotals
{
    const auto lock = std::lock_guard(mutex_);
    return accounts_.collectUsage(Clock::now());
}

auto RequestLimits::mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accounts_.mergeUsage(router, totals, Clock::now());
}

auto RequestLimits::crashReports() const -> std::vector<routing::CrashReport>
{
    const auto lock = std::lock_guard(mutex_);
    return suspicion_.reports(Clock::now());
}

auto RequestLimits::mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void
{
    const auto lock = std::lock_guard(mutex_);
    suspicion_.merge(reports, Clock::now());
}

} // namespace jasminewood::router
