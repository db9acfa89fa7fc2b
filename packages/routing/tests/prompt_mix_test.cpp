#include "jasminewood/routing/prompt_mix.h"

#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::Story story = {"prompt length statistics",
    {
        section("of routes with different prompt lengths",
            {
                // Guards against running long prompts beside short streams, and against a lane size that follows
                // outdated traffic.
                test("give long prompts a share of the engines that follows the traffic",
                    [] {
                        auto stats = PromptMix();
                        auto now = TimePoint(100s);
                        for (auto index = 0; index < 10; ++index) {
                            stats.arrived("quotes", 3'000, now);
                            stats.arrived("chats", 600, now);
                        }
                        check(stats.isLong("quotes") && !stats.isLong("chats") && !stats.isLong("unknown"));
                        const auto before = stats.longShare();
                        check(before > 0.3 && before < 0.9);
                        for (auto index = 0; index < 20; ++index) {
                            now += 2s;
                            stats.arrived("chats", 600, now);
                        }
                        check(stats.longShare() < before);
                    }),
            }),
        section("of traffic that is spread over several routers",
            {
                // Guards against routers that assign the same engine to different lanes.
                test("are the same at all routers after they exchange reports",
                    [] {
                        const auto now = TimePoint(100s);
                        auto first = PromptMix();
                        auto second = PromptMix();
                        for (auto index = 0; index < 5; ++index) {
                            first.arrived("quotes", 3'000, now);
                            second.arrived("chats", 600, now);
                        }
                        check(!first.isLong("quotes") && !second.isLong("quotes"));
                        first.peerReported("second", second.ownFlows(), now);
                        second.peerReported("first", first.ownFlows(), now);
                        check(first.isLong("quotes") && second.isLong("quotes"));
                        check(first.longShare() == second.longShare() && first.longShare() > 0);
                        second.arrived("chats", 600, now + mixReportExpiry + 1s);
                        check(!second.isLong("quotes"));
                    }),
            }),
        section("of routes with similar prompt lengths",
            {
                // Guards against lanes that halve the choice of engines without any benefit.
                test("classify no route as long",
                    [] {
                        auto stats = PromptMix();
                        for (auto index = 0; index < 10; ++index) {
                            stats.arrived("a", 700, TimePoint(100s));
                            stats.arrived("b", 600, TimePoint(100s));
                        }
                        check(stats.longShare() == 0 && !stats.isLong("a"));
                    }),
            }),
    }};

} // namespace
