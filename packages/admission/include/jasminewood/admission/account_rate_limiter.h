#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "jasminewood/admission/usage.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/core/result.h"

// Enforces the rate limits of the client accounts over all routers together.
//
//     limiter.configure(limits, routers, now);
//     if (const auto failure = limiter.admit(account, estimatedTokens, now)) {
//         reject(*failure);
//     }
//     // Every usageSendInterval, to every other router:
//     send(limiter.collectUsage(now));

namespace jasminewood::admission
{

// Time for which a changed total is sent again with each message, so that the change arrives even if messages are lost.
constexpr Milliseconds usageResendTime = Milliseconds(2'000);
// Usage of another router that has not changed for this long is discarded.
constexpr Milliseconds remoteUsageTtl = Milliseconds(120'000);
// Maximum number of pairs of router and account whose usage is kept; further pairs are ignored.
constexpr std::size_t maximumRemoteEntries = 100'000;

// Returns the maximum by which the routers together can exceed rate * time + burst, provided that no single cost
// exceeds a router's share of the burst and that usage arrives within maximumUsageDelay.
//
// A router admits a request only if its copy of the shared bucket covers the cost. At the last admission this copy
// lacks at most what each other router admitted within maximumUsageDelay. The local bucket of each router limits that
// to its share of the burst and the refill during that time, so that the bound is (routers - 1) * (burst / routers +
// rate * maximumUsageDelay). Without local buckets it would be (routers - 1) * (burst + rate * maximumUsageDelay).
auto overshootBound(double ratePerSecond, std::uint32_t routers) -> double;

// Distributed rate limiter with state for the configured accounts only. Can be moved but not copied. Not thread-safe.
class AccountRateLimiter
{
public:
    explicit AccountRateLimiter(TimePoint now);
    AccountRateLimiter(AccountRateLimiter &&other) noexcept;
    ~AccountRateLimiter();

    // Sets the limits and the number of routers including this one, at least 1. Keeps the usage of accounts that are
    // still configured.
    auto configure(const AccountLimits &limits, std::uint32_t routers, TimePoint now) -> void;

    // Admits one request with this estimated work, or returns a failure with step "admit", run state NotRun and the
    // time after which a retry may succeed. Requests of accounts without a limit are always admitted.
    auto admit(const std::string &account, std::uint32_t cost, TimePoint now) -> Status;

    // Replaces the estimated work of an admitted request by its actual work.
    auto adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void;

    // Returns this router's totals of the accounts whose usage changed since the last call or was first reported as
    // changed within the last usageResendTime. Must be called every usageSendInterval.
    auto collectUsage(TimePoint now) -> UsageTotals;

    // Merges the totals of another router.
    auto mergeUsage(const NodeId &router, const UsageTotals &totals, TimePoint now) -> void;

    // Returns the number of pairs of router and account whose usage is kept.
    auto remoteEntryCount() const -> std::size_t;

private:
    struct AccountState;

    auto mergeAccountUsage(AccountState &account, const NodeId &router, const AccountUsage &totals, TimePoint now)
        -> void;
    auto expireRemoteUsage(TimePoint now) -> void;

    TimePoint startedAt_;
    TimePoint lastExpiryAt_;
    std::size_t remoteEntries_ = 0;
    std::map<std::string, std::unique_ptr<AccountState>> accounts_;
};

} // namespace jasminewood::admission
