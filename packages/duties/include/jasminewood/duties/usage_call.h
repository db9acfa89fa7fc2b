#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/duties/usage_windows.h"

// The call that reports the usage of one window to the platform, and what the platform answers.

namespace jasminewood::duties
{

struct UsageCall
{
    // The router that holds the duty.
    const std::string holder_;
    const std::uint64_t fencingToken_ = 0;
    const WindowNumber number_ = 0;
    const AccountCounts counts_;
    // Nothing is sent after this time.
    const Milliseconds timeout_ = Milliseconds(0);

    auto operator<=>(const UsageCall &) const = default;
};

struct UsageAccepted
{
    auto operator<=>(const UsageAccepted &) const = default;
};

// The platform has seen a higher fencing token.
struct TokenRefused
{
    auto operator<=>(const TokenRefused &) const = default;
};

struct TooManyCalls
{
    auto operator<=>(const TooManyCalls &) const = default;
};

struct UnexpectedStatus
{
    const int status_ = 0;

    auto operator<=>(const UnexpectedStatus &) const = default;
};

using UsageReply = std::variant<UsageAccepted, TokenRefused, TooManyCalls, UnexpectedStatus>;

// Performs the call. A failure means that there was no response: the call may still be executed later.
using UsageCaller = std::function<auto(const UsageCall &call)->Result<UsageReply>>;

} // namespace jasminewood::duties
