#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// Usage of the client accounts, as routers report it to each other, and the rate limits of the accounts.

namespace jasminewood::admission
{

// Interval at which each router sends its usage to every other router.
constexpr Milliseconds usageSendInterval = Milliseconds(250);
// Allowance for the transfer time of a usage message and for a late timer.
constexpr Milliseconds usageTransferAllowance = Milliseconds(50);
// Maximum time until an admission has been reported to the other routers.
constexpr Milliseconds maximumUsageDelay = usageSendInterval + usageTransferAllowance;
// Burst capacity as a duration: after a pause an account may use at once what its rate allows in this time.
constexpr Milliseconds burstWindow = Milliseconds(1'000);

// Rate limits of one account over all routers together; 0 means no limit.
struct AccountLimit
{
    const std::uint32_t requestsPerSecond_ = 0;
    // In estimated output tokens.
    const std::uint32_t workPerSecond_ = 0;

    auto operator<=>(const AccountLimit &) const = default;
};

using AccountLimits = std::map<std::string, AccountLimit>;

// Cumulative usage of one account that one router has admitted since its start. Totals never decrease and receivers
// keep the maximum, so that messages may be lost, duplicated or reordered.
struct AccountUsage
{
    const std::uint64_t requests_ = 0;
    const std::uint64_t work_ = 0;

    auto operator<=>(const AccountUsage &) const = default;
};

// Usage by account name.
using UsageTotals = std::map<std::string, AccountUsage>;

} // namespace jasminewood::admission
