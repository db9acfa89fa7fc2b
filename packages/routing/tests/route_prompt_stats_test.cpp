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

const testkit::TestSuite story = {"a mix of prompts",
    {
        section("of routes with unlike sizes",
            {
                // Guards against long prompts beside short streams, and against a lane that follows old traffic.
                test("gives the long ones a share that follows the traffic",
                    [] {
                        auto mix = RoutePromptStatsTracker();
                        auto now = TimePoint(100s);
                        for (auto index = 0; index < 10; ++index) {
                            mix.recordArrival("quotes", 3'000, now);
                            mix.recordArrival("chats", 600, now);
                        }
                        check(mix.hasLongPrompts("quotes") && !mix.hasLongPrompts("chats")
                            && !mix.hasLongPrompts("unknown"));
                        const auto before = mix.longPromptLaneShare();
                        check(before > 0.3 && before < 0.9);
                        for (auto index = 0; index < 20; ++index) {
                            now += 2s;
                            mix.recordArrival("chats", 600, now);
                        }
                        check(mix.longPromptLaneShare() < before);
                    }),
            }),
        section("that several routers see a part of",
            {
                // Guards against routers that put the same engine into different lanes.
                test("is the same for all once they told each other",
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
        section("of routes with like sizes",
            {
                // Guards against lanes that halve the choice without any use.
                test("has no long ones",
                    [] {
                        auto mix = RoutePromptStatsTracker();
                        for (auto index = 0; index < 10; ++index) {
                            mix.recordArrival("a", 700, TimePoint(100s));
                            mix.recordArrival("b", 600, TimePoint(100s));
                        }
                        check(mix.longPromptLaneShare() == 0 && !mix.hasLongPrompts("a"));
                    }),
            }),
    }};

} // namespace
