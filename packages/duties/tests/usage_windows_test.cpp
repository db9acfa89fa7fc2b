#include "jasminewood/duties/usage_windows.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

constexpr auto length = Milliseconds(5'000);
constexpr auto start = Milliseconds(1'767'225'600'000);
const auto first = windowAt(start, length);

const testkit::TestSuite suite = {"the windows of one router",
    {
        section("with requests in several of them",
            {
                test("count each request in the window in which it began",
                    [] {
                        auto windows = UsageWindows(length, start);
                        windows.record("huka", start);
                        windows.record("huka", start + 4'999ms);
                        windows.record("puhu", start + 5'000ms);
                        const auto recent = windows.recent(start + 5'100ms);
                        check(recent.size() == 2 && first == 353'445'120);
                        check(recent[0] == WindowCounts {.number_ = first, .closed_ = true, .counts_ = {{"huka", 2}}});
                        check(recent[1] == WindowCounts {.number_ = first + 1, .counts_ = {{"puhu", 1}}});
                    }),
                // Guards against a count that changes after the holder took it as final.
                test("count a late request in the first open window",
                    [] {
                        auto windows = UsageWindows(length, start);
                        check(windows.recent(start + 5'000ms)[0].closed_);
                        windows.record("huka", start + 4'999ms);
                        const auto recent = windows.recent(start + 5'001ms);
                        check(recent[0].counts_.empty() && recent[1].counts_ == AccountCounts {{"huka", 1}});
                    }),
                // Guards against a window without requests that the holder waits for.
                test("report windows without requests, and forget old ones",
                    [] {
                        auto windows = UsageWindows(length, start);
                        const auto recent = windows.recent(start + 10 * length);
                        check(recent.size() == reportedWindows && recent.front().number_ == first + 5);
                        check(recent.front().closed_ && !recent.back().closed_);
                    }),
            }),
    }};

} // namespace
