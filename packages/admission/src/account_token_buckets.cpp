#include "account_token_buckets.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "jasminewood/admission/account_rate_limiter.h"

namespace jasminewood::admission::internal
{

namespace
{

auto seconds(Clock::duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto burstCapacity(double rate) -> double
{
    return rate * seconds(burstWindow);
}

} // namespace

AccountTokenBuckets::AccountTokenBuckets(double ratePerSecond, std::uint32_t routers, TimePoint now)
    : ratePerSecond_(ratePerSecond)
    , routerCount_(routers)
    , sharedLevel_(burstCapacity(ratePerSecond))
    , localLevel_(burstCapacity(ratePerSecond) / routers)
    , refilledAt_(now)
{
}

auto AccountTokenBuckets::configure(double ratePerSecond, std::uint32_t routers) -> void
{
    ratePerSecond_ = ratePerSecond;
    routerCount_ = routers;
    clampLevels();
}

auto AccountTokenBuckets::timeUntilAvailable(double cost, TimePoint now) -> std::optional<Milliseconds>
{
    if (ratePerSecond_ <= 0) {
        return std::nullopt;
    }
    refill(now);
    const auto sharedDeficit = std::min(cost, burstCapacity(ratePerSecond_)) - sharedLevel_;
    const auto localDeficit = std::min(cost, burstCapacity(ratePerSecond_) / routerCount_) - localLevel_;
    const auto deficit = std::max(sharedDeficit, localDeficit);
    // Rounding errors of the refills must not cause the rejection of a cost that is exactly covered.
    constexpr auto tolerance = 1e-6;
    if (deficit <= tolerance) {
        return std::nullopt;
    }
    return Milliseconds(static_cast<std::int64_t>(std::ceil(deficit / ratePerSecond_ * 1'000)));
}

auto AccountTokenBuckets::debitLocalUsage(double cost) -> void
{
    sharedLevel_ -= cost;
    localLevel_ -= cost;
    clampLevels();
}

auto AccountTokenBuckets::debitRemoteUsage(double cost, TimePoint now) -> void
{
    refill(now);
    sharedLevel_ -= cost;
    clampLevels();
}

auto AccountTokenBuckets::maximumUnreportedUsage() const -> double
{
    return burstCapacity(ratePerSecond_) / routerCount_ + ratePerSecond_ * seconds(maximumUsageDelay);
}

auto AccountTokenBuckets::refill(TimePoint now) -> void
{
    if (now <= refilledAt_) {
        return;
    }
    const auto added = ratePerSecond_ * seconds(now - refilledAt_);
    refilledAt_ = now;
    sharedLevel_ += added;
    localLevel_ += added;
    clampLevels();
}

// The shared level is not lowered below the overshoot that is possible while routers exchange usage. A larger debt
// comes from a network partition that has ended; if it were kept, the account would be rejected long after the
// partition.
auto AccountTokenBuckets::clampLevels() -> void
{
    const auto lowestSharedLevel = -overshootBound(ratePerSecond_, routerCount_) - burstCapacity(ratePerSecond_);
    sharedLevel_ = std::clamp(sharedLevel_, std::min(lowestSharedLevel, -1.0), burstCapacity(ratePerSecond_));
    localLevel_ = std::min(localLevel_, burstCapacity(ratePerSecond_) / routerCount_);
}

} // namespace jasminewood::admission::internal
