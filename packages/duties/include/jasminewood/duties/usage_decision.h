#pragma once

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/duties/usage_ledger.h"
#include "jasminewood/duties/usage_tally.h"

// What the holder of usage reporting does next. All times are since the start of 1970.

namespace jasminewood::duties
{

struct UsageSchedule
{
    const Milliseconds windowLength_ = Milliseconds(5'000);
    // A report is due this long after the end of its window.
    const Milliseconds due_ = Milliseconds(10'000);
    // Before this time after its end, a window is not fixed even if all routers have reported it: their clocks differ.
    const Milliseconds earliestFix_ = Milliseconds(2'000);
    // After this time, a window is fixed without the routers that have not reported it.
    const Milliseconds latestFix_ = Milliseconds(5'000);
    // A new holder leaves the routers this time to send it their counts.
    const Milliseconds learningTime_ = Milliseconds(2'000);
    // Reports are repeated until this time after they were due.
    const Milliseconds overtime_ = Milliseconds(5'000);
    const Milliseconds retryInterval_ = Milliseconds(1'000);

    auto operator<=>(const UsageSchedule &) const = default;
};

// Fix the window with the counts of the tally.
struct FixWindow
{
    const WindowNumber number_ = 0;

    auto operator<=>(const FixWindow &) const = default;
};

struct SendReport
{
    const WindowNumber number_ = 0;
    const AccountCounts counts_;

    auto operator<=>(const SendReport &) const = default;
};

struct NothingToDo
{
    auto operator<=>(const NothingToDo &) const = default;
};

using FixDecision = std::variant<NothingToDo, FixWindow>;
using SendDecision = std::variant<NothingToDo, SendReport>;

// What the holder knows when it decides whether to fix a window.
struct HolderState
{
    // The first window that this router may fix: earlier ones may have been fixed in an era of the store that is lost.
    const WindowNumber firstAllowed_ = 0;
    // Since when this router holds the duty.
    const Milliseconds heldSince_ = Milliseconds(0);
    // The names of all live routers.
    const std::set<std::string> routers_;

    auto operator<=>(const HolderState &) const = default;
};

// Returns the lowest window that may be fixed: one after all that are fixed, whose report is still wanted.
auto nextWindow(const UsageSchedule &schedule, const UsageLedger &ledger, WindowNumber firstAllowed, Milliseconds now)
    -> WindowNumber;

// The summary is that of nextWindow().
auto decideFix(const UsageSchedule &schedule, const HolderState &state, WindowNumber number,
    const WindowSummary &summary, Milliseconds now) -> FixDecision;

// Returns the oldest report that is not accepted and still wanted.
auto decideSend(const UsageSchedule &schedule, const UsageLedger &ledger, Milliseconds now) -> SendDecision;

} // namespace jasminewood::duties
