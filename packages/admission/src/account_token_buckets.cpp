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

auto burst(double rate) -> double
{
    return rate * seconds(burstWindow);
}

} // namespace

AccountTokenBuckets::AccountTokenBuckets(double ratePerSecond, std::uint32_t routers, TimePoint now)
    : rate_(ratePerSecond)
    , routers_(routers)
    , shared_(burst(ratePerSecond))
    , local_(burst(ratePerSecond) / routers)
    , refilledAt_(now)
{
}

auto AccountTokenBuckets::configure(double ratePerSecond, std::uint32_t routers) -> void
{
    rate_ = ratePerSecond;
    routers_ = routers;
    clamp();
}

auto AccountTokenBuckets::wait(double cost, TimePoint now) -> std::optional<Milliseconds>
{
    if (rate_ <= 0) {
        return std::nullopt;
    }
    refill(now);
    const auto missingShared = std::min(cost, burst(rate_)) - shared_;
    const auto missingLocal = std::min(cost, burst(rate_) / routers_) - local_;
    const auto missing = std::max(missingShared, missingLocal);
    // Rounding of the refills must not refuse a cost that is exactly covered.
    constexpr auto tolerance = 1e-6;
    if (missing <= tolerance) {
        return std::nullopt;
    }
    return Milliseconds(static_cast<std::int64_t>(std::ceil(missing / rate_ * 1'000)));
}

auto AccountTokenBuckets::debitOwn(double cost) -> void
{
    shared_ -= cost;
    local_ -= cost;
    clamp();
}

auto AccountTokenBuckets::debitRemote(double cost, TimePoint now) -> void
{
    refill(now);
    shared_ -= cost;
    clamp();
}

auto AccountTokenBuckets::unknownUsage() const -> double
{
    return burst(rate_) / routers_ + rate_ * seconds(maximumUsageDelay);
}

auto AccountTokenBuckets::refill(TimePoint now) -> void
{
    if (now <= refilledAt_) {
        return;
    }
    const auto added = rate_ * seconds(now - refilledAt_);
    refilledAt_ = now;
    shared_ += added;
    local_ += added;
    clamp();
}

// The floor is what the routers can overshoot while they exchange usage. Larger debts come from a partition that has
// ended; paying them back would refuse the account long after the fault.
auto AccountTokenBuckets::clamp() -> void
{
    const auto floor = -overshootBound(rate_, routers_) - burst(rate_);
    shared_ = std::clamp(shared_, std::min(floor, -1.0), burst(rate_));
    local_ = std::min(local_, burst(rate_) / routers_);
}

} // namespace jasminewood::admission::internal
