#include "jasminewood/routing/engine_chooser.h"

#include <algorithm>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto engineIds(std::size_t count) -> std::vector<std::string>
{
    auto ids = std::vector<std::string>();
    for (auto index = std::size_t(0); index < count; ++index) {
        ids.push_back("engine-" + std::to_string(index));
    }
    return ids;
}

const testkit::TestSuite story = {"a choice of an engine",
    {
        section("with lanes",
            {
                // Guards against a lane without an engine, and against routers that disagree about the lanes.
                property("gives each lane its share, whatever the order of the engines",
                    [](std::uint8_t size, std::uint8_t part) {
                        auto ids = engineIds(size % 30 + 2);
                        const auto share = (part % 100 + 1) / 101.0;
                        const auto wanted = longPromptLaneSize(share, ids.size(), 0);
                        const auto lanes = selectLongPromptLane(ids, wanted);
                        const auto members = std::size_t(std::count(lanes.begin(), lanes.end(), true));
                        RC_ASSERT(members == wanted && members >= 1 && members < ids.size());
                        RC_ASSERT(std::abs(double(members) - share * double(ids.size())) <= 1);
                        const auto first = ids.front();
                        std::reverse(ids.begin(), ids.end());
                        const auto reversed = selectLongPromptLane(ids, wanted);
                        RC_ASSERT(reversed.back() == lanes.front());
                    }),
                // Guards against engines that change their lane with each small change of the traffic.
                test("keeps their sizes while the share moves by less than an engine",
                    [] {
                        check(longPromptLaneSize(0.5, 12, 0) == 6 && longPromptLaneSize(0.57, 12, 6) == 6
                            && longPromptLaneSize(0.6, 12, 6) == 7);
                        check(longPromptLaneSize(0, 12, 6) == 0 && longPromptLaneSize(0.9, 2, 0) == 1
                            && longPromptLaneSize(0.5, 1, 0) == 0);
                    }),
                // Guards against a long prompt that stretches the pauses of short streams although its lane has room.
                test("keeps a long prompt in its lane until the lane is overloaded",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 9'000, .isLongPrompt_ = true};
                        const auto lane = [](std::uint64_t unread) {
                            return std::vector<EngineCandidate> {
                                {.id_ = "a", .pendingPrefillTokens_ = unread, .slots_ = 8, .inLongPromptLane_ = true},
                                {.id_ = "b", .slots_ = 8}};
                        };
                        check(chooser.choose(request, lane(8'000)) == 0);
                        check(chooser.choose(request, lane(30'000)) == 1);
                    }),
                // Guards against one long prompt that stretches the pauses of many streams.
                test("keeps a long prompt away from an engine with many short streams",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 9'000, .isLongPrompt_ = true};
                        const auto candidates = std::vector<EngineCandidate> {
                            {.id_ = "a", .pendingPrefillTokens_ = 30'000, .slots_ = 16, .inLongPromptLane_ = true},
                            {.id_ = "b", .activeRequests_ = 8, .slots_ = 16}};
                        check(chooser.choose(request, candidates) == 0);
                        check(chooser.choose({.promptTokens_ = 800}, candidates) == 1);
                    }),
            }),
        section("with a cached beginning",
            {
                // Guards against a shared part that is read again at one engine after the other.
                test("prefers the engine that holds it unless much is unread there",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request
                            = PromptRequest {.promptTokens_ = 9'000, .sharedPrefixId_ = 5, .sharedPrefixTokens_ = 0};
                        const auto engines = [](std::uint64_t unread) {
                            return std::vector<EngineCandidate> {{.id_ = "a", .slots_ = 8},
                                {.id_ = "b",
                                    .pendingPrefillTokens_ = unread,
                                    .cachedPrefixTokens_ = 6'300,
                                    .slots_ = 8}};
                        };
                        check(chooser.choose(request, engines(3'000)) == 1);
                        check(chooser.choose(request, engines(8'000)) == 0);
                    }),
                // Guards against a burst in which each queue drives shared parts to further engines, so that reading
                // them again makes the queues longer.
                test("keeps a long shared part where it is, behind a queue that other engines do not have",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 9'000, .sharedPrefixTokens_ = 6'300};
                        const auto engines = [](std::uint64_t unread) {
                            return std::vector<EngineCandidate> {{.id_ = "a", .slots_ = 8},
                                {.id_ = "b",
                                    .pendingPrefillTokens_ = unread,
                                    .cachedPrefixTokens_ = 6'300,
                                    .slots_ = 8},
                                {.id_ = "c", .slots_ = 8}};
                        };
                        check(chooser.choose(request, engines(40'000)) == 1);
                        check(chooser.choose(request, engines(80'000)) != 1);
                    }),
                // Guards against routers that each warm another engine for the same part.
                test("starts at the part's home, which all routers know",
                    [] {
                        const auto request = PromptRequest {
                            .promptTokens_ = 9'000, .sharedPrefixId_ = 77, .sharedPrefixTokens_ = 6'000};
                        auto engines = std::vector<EngineCandidate>();
                        for (const auto &id : engineIds(6)) {
                            engines.push_back({.id_ = id, .slots_ = 8});
                        }
                        const auto first = EngineChooser(1).choose(request, engines);
                        for (auto seed = 2; seed < 20; ++seed) {
                            check(EngineChooser(std::uint64_t(seed)).choose(request, engines) == first);
                        }
                    }),
            }),
        section("whose engines are full or slow",
            {
                // Guards against a request that waits for a slot while another engine has one.
                test("avoids them",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 800};
                        check(chooser.choose(request,
                                  {{.id_ = "a", .activeRequests_ = 8, .slots_ = 8},
                                      {.id_ = "b", .activeRequests_ = 7, .slots_ = 8}})
                            == 1);
                        check(chooser.choose(
                                  request, {{.id_ = "a", .slots_ = 8}, {.id_ = "b", .slots_ = 8, .slowness_ = 3}})
                            == 0);
                    }),
            }),
    }};

} // namespace
