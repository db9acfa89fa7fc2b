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

const testkit::TestSuite story = {"an engine chooser",
    {
        section("with lanes",
            {
                // Guards against a lane without an engine, and against routers that compute different lanes.
                property("sizes each lane by its share, regardless of the order of the engines",
                    [](std::uint8_t engineCount, std::uint8_t percentage) {
                        auto ids = engineIds(engineCount % 30 + 2);
                        const auto share = (percentage % 100 + 1) / 101.0;
                        const auto laneEngines = longPromptLaneSize(share, ids.size(), 0);
                        const auto lanes = selectLongPromptLane(ids, laneEngines);
                        const auto members = std::size_t(std::count(lanes.begin(), lanes.end(), true));
                        RC_ASSERT(members == laneEngines && members >= 1 && members < ids.size());
                        RC_ASSERT(std::abs(double(members) - share * double(ids.size())) <= 1);
                        const auto first = ids.front();
                        std::reverse(ids.begin(), ids.end());
                        const auto reversed = selectLongPromptLane(ids, laneEngines);
                        RC_ASSERT(reversed.back() == lanes.front());
                    }),
                // Guards against engines that change lanes with every small change of the traffic.
                test("keeps their sizes while the share changes by less than one engine",
                    [] {
                        check(longPromptLaneSize(0.5, 12, 0) == 6 && longPromptLaneSize(0.57, 12, 6) == 6
                            && longPromptLaneSize(0.6, 12, 6) == 7);
                        check(longPromptLaneSize(0, 12, 6) == 0 && longPromptLaneSize(0.9, 2, 0) == 1
                            && longPromptLaneSize(0.5, 1, 0) == 0);
                    }),
                // Guards against a long prompt that increases the inter-token latency of short streams although its own
                // lane has capacity.
                test("keeps a long prompt in its lane until the lane is overloaded",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 9'000, .isLongPrompt_ = true};
                        const auto lane = [](std::uint64_t pendingTokens) {
                            return std::vector<EngineCandidate> {{.id_ = "a",
                                                                     .pendingPrefillTokens_ = pendingTokens,
                                                                     .slots_ = 8,
                                                                     .inLongPromptLane_ = true},
                                {.id_ = "b", .slots_ = 8}};
                        };
                        check(chooser.choose(request, lane(8'000)) == 0);
                        check(chooser.choose(request, lane(30'000)) == 1);
                    }),
                // Guards against one long prompt that increases the inter-token latency of many streams.
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
        section("with a cached prefix",
            {
                // Guards against a shared prefix that is computed again at one engine after the other.
                test("prefers the engine that holds it unless much prefill is pending there",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request
                            = PromptRequest {.promptTokens_ = 9'000, .sharedPrefixId_ = 5, .sharedPrefixTokens_ = 0};
                        const auto engines = [](std::uint64_t pendingTokens) {
                            return std::vector<EngineCandidate> {{.id_ = "a", .slots_ = 8},
                                {.id_ = "b",
                                    .pendingPrefillTokens_ = pendingTokens,
                                    .cachedPrefixTokens_ = 6'300,
                                    .slots_ = 8}};
                        };
                        check(chooser.choose(request, engines(3'000)) == 1);
                        check(chooser.choose(request, engines(8'000)) == 0);
                    }),
                // Guards against a burst in which queues divert requests with a shared prefix to further engines, where
                // computing it again makes the queues longer.
                test("prefers the engine that holds a long shared prefix even if only that engine has a queue",
                    [] {
                        auto chooser = EngineChooser(1);
                        const auto request = PromptRequest {.promptTokens_ = 9'000, .sharedPrefixTokens_ = 6'300};
                        const auto engines = [](std::uint64_t pendingTokens) {
                            return std::vector<EngineCandidate> {{.id_ = "a", .slots_ = 8},
                                {.id_ = "b",
                                    .pendingPrefillTokens_ = pendingTokens,
                                    .cachedPrefixTokens_ = 6'300,
                                    .slots_ = 8},
                                {.id_ = "c", .slots_ = 8}};
                        };
                        check(chooser.choose(request, engines(40'000)) == 1);
                        check(chooser.choose(request, engines(80'000)) != 1);
                    }),
                // Guards against a burst in which requests queue beyond their target behind a shared prefix, while
                // other engines are idle.
                test("leaves it for an idle engine if the first token would be late there",
                    [] {
                        const auto engines = std::vector<EngineCandidate> {{.id_ = "a", .slots_ = 12},
                            {.id_ = "b",
                                .pendingPrefillTokens_ = 27'000,
                                .cachedPrefixTokens_ = 6'300,
                                .activeRequests_ = 4,
                                .slots_ = 12}};
                        const auto choose = [&engines](std::optional<std::uint64_t> tokensUntilDue) {
                            return EngineChooser(1).choose({.promptTokens_ = 9'190,
                                                               .sharedPrefixTokens_ = 6'300,
                                                               .tokensUntilDue_ = tokensUntilDue},
                                engines);
                        };
                        check(choose(15'000) == 0, "the idle engine is in time");
                        check(choose(60'000) == 1, "both are in time");
                        check(choose(5'000) == 1, "both are late");
                        check(choose(std::nullopt) == 1, "no target is known");
                    }),
                // Guards against requests that leave a cached prefix because of late prompts, which the engine prefills
                // after them.
                test("stays with it if only later prompts are pending there",
                    [] {
                        const auto choose = [](std::uint64_t laterTokens) {
                            return EngineChooser(1).choose(
                                {.promptTokens_ = 9'190, .sharedPrefixTokens_ = 6'300, .tokensUntilDue_ = 15'000},
                                {{.id_ = "a", .slots_ = 12},
                                    {.id_ = "b",
                                        .pendingPrefillTokens_ = 27'000,
                                        .laterPrefillTokens_ = laterTokens,
                                        .cachedPrefixTokens_ = 6'300,
                                        .activeRequests_ = 4,
                                        .slots_ = 12}});
                        };
                        check(choose(0) == 0);
                        check(choose(20'000) == 1);
                    }),
                // Guards against a home engine that changes with the lanes and reads again what another engine keeps.
                test("prefers an engine that is known to hold it to the home engine, which may not",
                    [] {
                        auto engines = std::vector<EngineCandidate>();
                        for (const auto &id : engineIds(6)) {
                            engines.push_back({.id_ = id, .slots_ = 8});
                        }
                        const auto request = PromptRequest {
                            .promptTokens_ = 15'000, .sharedPrefixId_ = 77, .sharedPrefixTokens_ = 14'000};
                        const auto home = EngineChooser(1).choose(request, engines);
                        const auto holder = (home + 1) % engines.size();
                        auto afterwards = std::vector<EngineCandidate>();
                        for (auto index = std::size_t(0); index < engines.size(); ++index) {
                            afterwards.push_back({.id_ = engines[index].id_,
                                .pendingPrefillTokens_ = index == holder ? 20'000U : 0U,
                                .cachedPrefixTokens_ = index == holder ? 14'000U : 0U,
                                .slots_ = 8});
                        }
                        check(EngineChooser(1).choose(request, afterwards) == holder);
                    }),
                // Guards against routers that each fill the cache of a different engine with the same prefix.
                test("sends an uncached shared prefix to the same home engine from all routers",
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
                // Guards against a request that waits for a slot while another engine has a free one.
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
