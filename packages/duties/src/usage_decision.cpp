#include "jasminewood/duties/usage_decision.h"

#include <algorithm>

namespace jasminewood::duties
{

namespace
{

auto isWanted(const UsageSchedule &schedule, WindowNumber number, Milliseconds now) -> bool
{
    return now <= windowEnd(number, schedule.windowLength_) + schedule.due_ + schedule.overtime_;
}

} // namespace

auto nextWindow(const UsageSchedule &schedule, const UsageLedger &ledger, WindowNumber firstAllowed, Milliseconds now)
    -> WindowNumber
{
    const auto newest = ledger.newest();
    const auto oldestWanted = windowAt(now - schedule.due_ - schedule.overtime_, schedule.windowLength_);
    return std::max({firstAllowed, newest ? *newest + 1 : 0, oldestWanted});
}

auto decideFix(const UsageSchedule &schedule, const HolderState &state, WindowNumber number,
    const WindowSummary &summary, Milliseconds now) -> FixDecision
{
    const auto end = windowEnd(number, schedule.windowLength_);
    const auto latest = std::max(end + schedule.latestFix_, state.heldSince_ + schedule.learningTime_);
    const auto isReady = now >= latest || isComplete(summary, state.routers_);
    const auto isWorthwhile = !summary.sources_.empty() && isWanted(schedule, number, now);
    return now >= end + schedule.earliestFix_ && isReady && isWorthwhile ? FixDecision(FixWindow {.number_ = number})
                                                                         : FixDecision(NothingToDo {});
}

auto decideSend(const UsageSchedule &schedule, const UsageLedger &ledger, Milliseconds now) -> SendDecision
{
    for (const auto &[number, window] : ledger.windows()) {
        if (!window.accepted_ && isWanted(schedule, number, now)) {
            return SendReport {.number_ = number, .counts_ = window.counts_};
        }
    }
    return NothingToDo {};
}

} // namespace jasminewood::duties
