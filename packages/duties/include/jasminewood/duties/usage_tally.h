#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/duties/usage_windows.h"

// The sum of the counts that routers report, over all routers and all incarnations of each.

namespace jasminewood::duties
{

// The number of windows that are remembered, the newest one included.
constexpr std::size_t talliedWindows = 12;

// A part of the counts of one router in one window. Counts never decrease.
struct SourceReport
{
    const NodeId router_;
    const WindowNumber number_ = 0;
    const bool closed_ = false;
    // Over all accounts, also those that the report does not list.
    const std::uint64_t total_ = 0;
    const AccountCounts counts_;

    auto operator<=>(const SourceReport &) const = default;
};

// What is known of one source of a window.
struct SourceState
{
    const NodeId router_;
    // Whether all of its counts are known and final.
    const bool complete_ = false;
    const std::uint64_t total_ = 0;
    // Time since its last report of the window.
    const Milliseconds age_ = Milliseconds(0);

    auto operator<=>(const SourceState &) const = default;
};

struct WindowSummary
{
    const AccountCounts counts_;
    const std::vector<SourceState> sources_;

    auto operator<=>(const WindowSummary &) const = default;
};

// Returns whether each of the routers has reported all of its counts of the window.
auto isComplete(const WindowSummary &summary, const std::set<std::string> &routers) -> bool;

// Not thread-safe.
class UsageTally
{
public:
    // Reports of windows after the latest one are ignored, so that a malformed number displaces nothing.
    auto apply(const SourceReport &report, WindowNumber latest, TimePoint now) -> void;

    auto summary(WindowNumber number, TimePoint now) const -> WindowSummary;

private:
    struct Source
    {
        bool closed_ = false;
        std::uint64_t total_ = 0;
        AccountCounts counts_;
        TimePoint heardAt_;
    };

    std::map<WindowNumber, std::map<NodeId, Source>> windows_;
};

} // namespace jasminewood::duties
