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

const testkit::Story story = {"a mix of prompts",
    {
        section("of routes with unlike sizes",
            {
                // Guards against long prompts beside short streams, and against a lane that follows old traffic.
                test("gives the long ones a share that follows the traffic",
                    [] {
                        auto mix = PromptMix();
                        auto now = TimePoint(100s);
                        for (auto index = 0; index < 10; ++index) {
                            mix.arrived("quotes", 3'000, now);
                            mix.arrived("chats", 600, now);
                        }
                        check(mix.isLong("quotes") && !mix.isLong("chats") && !mix.isLong("unknown"));
                        const auto before = mix.longShare();
                        check(before > 0.3 && before < 0.9);
                        for (auto index = 0; index < 20; ++index) {
                            now += 2s;
                            mix.arrived("chats", 600, now);
                        }
                        check(mix.longShare() < before);
                    }),
            }),
        section("that several routers see a part of",
            {
                // Guards against routers that put the same engine into different lanes.
                test("is the same for all once they told each other",
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
        section("of routes with like sizes",
            {
                // Guards against lanes that halve the choice without any use.
                test("has no long ones",
                    [] {
                        auto mix = PromptMix();
                        for (auto index = 0; index < 10; ++index) {
                            mix.arrived("a", 700, TimePoint(100s));
                            mix.arrived("b", 600, TimePoint(100s));
                        }
                        check(mix.longShare() == 0 && !mix.isLong("a"));
                    }),
            }),
    }};

} // namespace
