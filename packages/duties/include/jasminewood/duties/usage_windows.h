#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The requests that began to run at this router, by client account and window of time.

namespace jasminewood::duties
{

// Windows are numbered from the start of 1970.
using WindowNumber = std::uint64_t;
using AccountCounts = std::map<std::string, std::uint64_t>;

// The number of windows that a router remembers and reports, the present one included.
constexpr std::size_t reportedWindows = 6;

struct WindowCounts
{
    const WindowNumber number_ = 0;
    // Whether no further request can be counted in the window.
    const bool closed_ = false;
    const AccountCounts counts_;

    auto operator<=>(const WindowCounts &) const = default;
};

// Returns the number of the window that holds a time since the start of 1970.
auto windowAt(Milliseconds time, Milliseconds length) -> WindowNumber;

// Returns the end of a window since the start of 1970.
auto windowEnd(WindowNumber number, Milliseconds length) -> Milliseconds;

// Returns the sum over all accounts.
auto totalOf(const AccountCounts &counts) -> std::uint64_t;

// Times are since the start of 1970. Not thread-safe.
class UsageWindows
{
public:
    // The router's first window is that of the given time. Precondition: the length is positive.
    UsageWindows(Milliseconds length, Milliseconds now);

    // Counts a request that began to run. One whose window is closed counts in the first open window.
    auto record(const std::string &account, Milliseconds time) -> void;

    // Closes the windows that have ended and returns the recent ones, also those without requests.
    auto recent(Milliseconds now) -> std::vector<WindowCounts>;

private:
    auto closeEnded(Milliseconds now) -> void;

    const Milliseconds length_;
    WindowNumber firstOpen_;
    std::map<WindowNumber, AccountCounts> windows_;
};

} // namespace jasminewood::duties
