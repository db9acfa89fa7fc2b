#include "jasminewood/duties/usage_decision.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

const auto schedule = UsageSchedule {};
constexpr auto window = WindowNumber(353'445'120);
const auto end = windowEnd(window, Milliseconds(5'000));
const auto counts = AccountCounts {{"huka", 1}};
const auto complete = WindowSummary {
    .counts_ = counts, .sources_ = {SourceState {.router_ = {.name_ = "r1"}, .complete_ = true, .total_ = 1}}};

auto isFixed(const std::set<std::string> &routers, Milliseconds now, Milliseconds heldSince = Milliseconds(0)) -> bool
{
    const auto decision = decideFix(
        schedule, {.firstAllowed_ = window, .heldSince_ = heldSince, .routers_ = routers}, window, complete, now);
    return decision == FixDecision(FixWindow {.number_ = window});
}

const testkit::TestSuite suite = {"the holder of usage reporting",
    {
        section("with a window that has ended",
            {
                // Guards against requests that routers with slower clocks still count.
                test("fixes it when all routers have reported it, but not at once",
                    [] {
                        check(!isFixed({"r1"}, end + 1'999ms) && isFixed({"r1"}, end + 2'000ms));
                    }),
                // Guards against a report that is late because one router has ended.
                test("does not wait longer for a silent router",
                    [] {
                        check(!isFixed({"r1", "r2"}, end + 4'999ms) && isFixed({"r1", "r2"}, end + 5'000ms));
                    }),
                // Guards against a new holder that reports its own requests only.
                test("waits for the reports of others after it has become the holder",
                    [] {
                        check(!isFixed({"r1", "r2"}, end + 7'999ms, end + 6'000ms));
                        check(isFixed({"r1", "r2"}, end + 8'000ms, end + 6'000ms));
                    }),
                test("does not fix it when its report is no longer wanted",
                    [] {
                        check(isFixed({"r1"}, end + 15'000ms) && !isFixed({"r1"}, end + 15'001ms));
                    }),
            }),
        section("with several windows",
            {
                // Guards against a window that is fixed twice.
                test("fixes only windows after the newest fixed one that it may know of",
                    [] {
                        const auto ledger = UsageLedger().withFixed(window, counts);
                        check(nextWindow(schedule, ledger, 0, end) == window + 1);
                        check(nextWindow(schedule, UsageLedger(), window - 1, end) == window - 1);
                        check(nextWindow(schedule, UsageLedger(), 0, end + 15'000ms) == window + 1);
                    }),
                test("sends the oldest one that is not accepted, until it is no longer wanted",
                    [] {
                        const auto ledger = UsageLedger().withFixed(window, counts).withFixed(window + 1, {});
                        check(decideSend(schedule, ledger, end + 6s)
                            == SendDecision(SendReport {.number_ = window, .counts_ = counts}));
                        check(decideSend(schedule, ledger.withAccepted(window), end + 6s)
                            == SendDecision(SendReport {.number_ = window + 1}));
                        check(decideSend(schedule, ledger, end + 15'001ms)
                            == SendDecision(SendReport {.number_ = window + 1}));
                        check(decideSend(schedule, ledger, end + 21s) == SendDecision(NothingToDo {}));
                    }),
            }),
    }};

} // namespace
