#include "jasminewood/routing/route_prompt_stats.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite story = {"prompt length statistics",
    {
        section("of routes with different prompt lengths",
            {
                // Guards against running long prompts beside short streams, and against a lane size that follows
                // outdated traffic.
                test("give long prompts a share of the engines that follows the traffic",
                    [] {
                        auto stats = RoutePromptStatsTracker();
                        auto now = TimePoint(100s);
                        for (auto index = 0; index < 10; ++index) {
                            stats.recordArrival("quotes", 3'000, now);
                            stats.recordArrival("chats", 600, now);
                        }
                        check(stats.hasLongPrompts("quotes") && !stats.hasLongPrompts("chats")
                            && !stats.hasLongPrompts("unknown"));
                        const auto before = stats.longPromptLaneShare();
                        check(before > 0.3 && before < 0.9);
                        for (auto index = 0; index < 20; ++index) {
                            now += 2s;
                            stats.recordArrival("chats", 600, now);
                        }
                        check(stats.longPromptLaneShare() < before);
                    }),
            }),
        section("of traffic that is spread over several routers",
            {
                // Guards against routers that assign the same engine to different lanes.
                test("are the same at all routers after they exchange reports",
                    [] {
                        const auto now = TimePoint(100s);
                        auto first = RoutePromptStatsTracker();
                        auto second = RoutePromptStatsTracker();
                        for (auto index = 0; index < 5; ++index) {
                            first.recordArrival("quotes", 3'000, now);
                            second.recordArrival("chats", 600, now);
                        }
                        check(!first.hasLongPrompts("quotes") && !second.hasLongPrompts("quotes"));
                        first.applyPeerReport("second", second.localStats(), now);
                        second.applyPeerReport("first", first.localStats(), now);
                        check(first.hasLongPrompts("quotes") && second.hasLongPrompts("quotes"));
                        check(first.longPromptLaneShare() == second.longPromptLaneShare()
                            && first.longPromptLaneShare() > 0);
                        second.recordArrival("chats", 600, now + promptStatsExpiry + 1s);
                        check(!second.hasLongPrompts("quotes"));
                    }),
            }),
        section("of routes with similar prompt lengths",
            {
                // Guards against lanes that halve the choice of engines without any benefit.
                test("classify no route as long",
                    [] {
                        auto stats = RoutePromptStatsTracker();
                        for (auto index = 0; index < 10; ++index) {
                            stats.recordArrival("a", 700, TimePoint(100s));
                            stats.recordArrival("b", 600, TimePoint(100s));
                        }
                        check(stats.longPromptLaneShare() == 0 && !stats.hasLongPrompts("a"));
                    }),
            }),
    }};

} // namespace
