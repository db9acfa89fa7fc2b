#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "jasminewood/core/clock.h"

// What routers tell each other about the client accounts, and the limits that it serves.

namespace jasminewood::admission
{

// How often each router sends its usage to every other router.
constexpr Milliseconds usageSendInterval = Milliseconds(250);
// Allowance for the transfer of a usage message and for a late timer.
constexpr Milliseconds usageTransferAllowance = Milliseconds(50);
// Longest time until an admission is known to the other routers.
constexpr Milliseconds maximumUsageDelay = usageSendInterval + usageTransferAllowance;
// An account may use this much of its rate at once after a pause.
constexpr Milliseconds burstWindow = Milliseconds(1'000);

// What one account may use over all routers together; 0 means no limit.
struct AccountLimit
{
    const std::uint32_t requestsPerSecond_ = 0;
    // Estimated output tokens.
    const std::uint32_t workPerSecond_ = 0;

    auto operator<=>(const AccountLimit &) const = default;
};

using AccountLimits = std::map<std::string, AccountLimit>;

// What one router has admitted of one account since its start. Never decreases, so that messages may be lost, repeated
// or reordered: the receiver keeps the maximum.
struct AccountUsage
{
    const std::uint64_t requests_ = 0;
    const std::uint64_t work_ = 0;

    auto operator<=>(const AccountUsage &) const = default;
};

using UsageTotals = std::map<std::string, AccountUsage>;

} // namespace jasminewood::admission
