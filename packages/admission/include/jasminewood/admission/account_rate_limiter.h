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

// Holds the limits of the client accounts over all routers together.
//
//     limiter.configure(limits, routers, now);
//     if (const auto failure = limiter.admit(account, estimatedTokens, now)) {
//         refuse(*failure);
//     }
//     // every usageInterval, to every other router:
//     send(limiter.usage(now));

namespace jasminewood::admission
{

// Totals that did not change for this long are no longer sent. Each change is sent several times, in case messages are
// lost.
constexpr Milliseconds usageResendTime = Milliseconds(2'000);
// Usage of another router that did not change for this long is forgotten.
constexpr Milliseconds remoteUsageTtl = Milliseconds(120'000);
// Largest number of pairs of router and account whose usage is kept; new pairs beyond it are disregarded.
constexpr std::size_t maximumRemoteEntries = 100'000;

// Returns by how much the routers together can exceed rate * time + burst, if no single cost exceeds a router's share
// of the burst and usage arrives within usageDelay.
//
// A router admits only while its view of the shared bucket covers the cost. When the last admission happens, its view
// lacks at most what each of the other routers admitted within usageDelay, and the local bucket of each allows its
// share of the burst and the refill of that time: (routers - 1) * (burst / routers + rate * usageDelay). Without the
// local buckets it would be (routers - 1) * (burst + rate * usageDelay).
auto overshootBound(double ratePerSecond, std::uint32_t routers) -> double;

// Holds state for configured accounts only. Can be moved but not copied. Not thread-safe.
class AccountRateLimiter
{
public:
    explicit AccountRateLimiter(TimePoint now);
    AccountRateLimiter(AccountRateLimiter &&other) noexcept;
    ~AccountRateLimiter();

    // Takes over the limits and the number of routers, at least 1, counting this one. Keeps the usage of accounts that
    // remain.
    auto configure(const AccountLimits &limits, std::uint32_t routers, TimePoint now) -> void;

    // Admits one request of this estimated work, or returns a failure with step "admit", NotRun and the time after
    // which a retry may succeed. Accounts without a limit are always admitted.
    auto admit(const std::string &account, std::uint32_t cost, TimePoint now) -> Status;

    // Replaces the estimated work of an admitted request by the actual one.
    auto adjustWork(const std::string &account, std::uint32_t estimated, std::uint32_t actual) -> void;

    // Returns this router's totals of the accounts that were admitted or corrected since the last call or up to
    // usageRepeat before it. To be called every usageInterval.
    auto collectUsage(TimePoint now) -> UsageTotals;

    // Takes over another router's totals.
    auto mergeUsage(const NodeId &router, const UsageTotals &totals, TimePoint now) -> void;

    // Returns the number of pairs of router and account that are kept.
    auto remoteEntryCount() const -> std::size_t;

private:
    struct Account;

    auto mergeAccount(Account &account, const NodeId &router, const AccountUsage &totals, TimePoint now) -> void;
    auto forgetIdle(TimePoint now) -> void;

    TimePoint startedAt_;
    TimePoint sweptAt_;
    std::size_t remoteEntries_ = 0;
    std::map<std::string, std::unique_ptr<Account>> accounts_;
};

} // namespace jasminewood::admission
