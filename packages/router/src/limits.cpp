#include "jasminewood/router/limits.h"

#include <algorithm>

namespace jasminewood::router
{

Limits::Limits()
    : accountLimiter_(Clock::now())
{
}

auto Limits::start(const kernel::Registry &services) -> Status
{
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    manifestStore_->subscribe([this](const node::ManifestPointer &manifest) -> void {
        configure(*manifest->manifest_);
    });
    return std::nullopt;
}

auto Limits::stop() -> void
{
}

auto Limits::configure(const manifest::Manifest &manifest) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountLimits_.clear();
    for (const auto &[name, account] : manifest.accounts_) {
        accountLimits_.emplace(name,
            admission::AccountLimit {.requestsPerSecond_ = account.requestsPerSecond_,
                .workPerSecond_ = static_cast<std::uint32_t>(account.workPerSecond_)});
    }
    accountLimiter_.configure(accountLimits_, routerCount_, Clock::now());
}

auto Limits::routers(std::uint32_t count) -> void
{
    const auto lock = std::lock_guard(mutex_);
    const auto effectiveCount = std::max(count, 1U);
    if (effectiveCount != routerCount_) {
        routerCount_ = effectiveCount;
        accountLimiter_.configure(accountLimits_, routerCount_, Clock::now());
    }
}

auto Limits::admit(const std::string &account, std::uint32_t cost) -> Status
{
    const auto now = Clock::now();
    const auto lock = std::lock_guard(mutex_);
    auto rejection = accountLimiter_.admit(account, cost, now);
    if (!rejection) {
        retryBudget_.requested(now);
        hedgePolicy_.requested();
    }
    return rejection;
}

auto Limits::correct(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountLimiter_.correct(account, estimated, actual);
}

auto Limits::tryRetry() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return retryBudget_.tryRetry(routerCount_, Clock::now());
}

auto Limits::hedgeAfter(const std::string &requestClass) const -> std::optional<Microseconds>
{
    const auto lock = std::lock_guard(mutex_);
    return hedgePolicy_.hedgeAfter(requestClass);
}

auto Limits::tryHedge() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return hedgePolicy_.tryHedge();
}

auto Limits::firstToken(const std::string &requestClass, Microseconds duration) -> void
{
    const auto lock = std::lock_guard(mutex_);
    hedgePolicy_.firstToken(requestClass, duration);
}

auto Limits::onCrash(const std::function<auto()->void> &handler) -> void
{
    crashHandler_ = handler;
}

auto Limits::crashed(const std::string &crashId, std::uint64_t fingerprint) -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        poisonRequestDetector_.crashed(crashId, {fingerprint}, Clock::now());
    }
    if (crashHandler_) {
        crashHandler_();
    }
}

auto Limits::completed(std::uint64_t fingerprint) -> void
{
    const auto lock = std::lock_guard(mutex_);
    poisonRequestDetector_.completed(fingerprint, Clock::now());
}

auto Limits::verdict(std::uint64_t fingerprint) const -> routing::Verdict
{
    const auto lock = std::lock_guard(mutex_);
    return poisonRequestDetector_.verdict(fingerprint, Clock::now());
}

auto Limits::usage() -> admission::UsageTotals
{
    const auto lock = std::lock_guard(mutex_);
    return accountLimiter_.usage(Clock::now());
}

auto Limits::mergeUsage(const NodeId &router, const admission::UsageTotals &totals) -> void
{
    const auto lock = std::lock_guard(mutex_);
    accountLimiter_.merge(router, totals, Clock::now());
}

auto Limits::crashReports() const -> std::vector<routing::CrashReport>
{
    const auto lock = std::lock_guard(mutex_);
    return poisonRequestDetector_.reports(Clock::now());
}

auto Limits::mergeCrashReports(const std::vector<routing::CrashReport> &reports) -> void
{
    const auto lock = std::lock_guard(mutex_);
    poisonRequestDetector_.merge(reports, Clock::now());
}

} // namespace jasminewood::router
