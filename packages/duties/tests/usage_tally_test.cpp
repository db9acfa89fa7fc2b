#include "jasminewood/duties/usage_tally.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

const auto start = TimePoint() + 1h;
const auto router = NodeId {.name_ = "r1", .incarnation_ = 1};
const auto restarted = NodeId {.name_ = "r1", .incarnation_ = 2};
const auto other = NodeId {.name_ = "r2", .incarnation_ = 7};
constexpr auto window = WindowNumber(100);

const testkit::TestSuite suite = {"the tally of all routers",
    {
        section("whose reports are lost, repeated and reordered",
            {
                // Guards against a late report that takes requests away again.
                test("keeps the highest count of each account",
                    [] {
                        auto tally = UsageTally();
                        tally.apply({.router_ = router, .number_ = window, .total_ = 5, .counts_ = {{"huka", 5}}},
                            window, start);
                        tally.apply({.router_ = router, .number_ = window, .total_ = 3, .counts_ = {{"huka", 3}}},
                            window, start);
                        check(tally.summary(window, start).counts_ == AccountCounts {{"huka", 5}});
                    }),
                // Guards against a window that is fixed while a part of a report is missing.
                test("takes a window as complete once it has all parts of it",
                    [] {
                        auto tally = UsageTally();
                        tally.apply({.router_ = router,
                                        .number_ = window,
                                        .closed_ = true,
                                        .total_ = 5,
                                        .counts_ = {{"huka", 3}}},
                            window, start);
                        check(!isComplete(tally.summary(window, start), {"r1"}));
                        tally.apply({.router_ = router,
                                        .number_ = window,
                                        .closed_ = true,
                                        .total_ = 5,
                                        .counts_ = {{"puhu", 2}}},
                            window, start + 1s);
                        const auto summary = tally.summary(window, start + 3s);
                        check(isComplete(summary, {"r1"}) && !isComplete(summary, {"r1", "r2"}));
                        check(summary.sources_.front().age_ == 2s);
                    }),
                test("adds the incarnations of a router",
                    [] {
                        auto tally = UsageTally();
                        for (const auto &source : {router, restarted, other}) {
                            tally.apply({.router_ = source,
                                            .number_ = window,
                                            .closed_ = true,
                                            .total_ = 2,
                                            .counts_ = {{"huka", 2}}},
                                window, start);
                        }
                        check(tally.summary(window, start).counts_ == AccountCounts {{"huka", 6}});
                    }),
                // Guards against one malformed report that makes the holder forget all others.
                test("ignores windows that are far from the present one",
                    [] {
                        auto tally = UsageTally();
                        tally.apply({.router_ = router, .number_ = window, .total_ = 1, .counts_ = {{"huka", 1}}},
                            window, start);
                        tally.apply({.router_ = other, .number_ = window + 1'000}, window, start);
                        tally.apply({.router_ = other, .number_ = 0}, window, start);
                        check(tally.summary(window, start).sources_.size() == 1);
                        check(tally.summary(window + 1'000, start).sources_.empty());
                    }),
            }),
    }};

} // namespace
