#include "jasminewood/forward/peer_load_exchange.h"

#include "jasminewood/testkit/test_suite.h"
#include "router_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto longPromptRequest() -> SelectionCriteria
{
    return {.service_ = "pool",
        .route_ = "quotes",
        .prompt_ = PromptInfo {.model_ = "m", .promptTokens_ = 9'000, .segments_ = {{.id_ = 1, .tokens_ = 9'000}}},
        .engineCacheTokens_ = 100'000};
}

const testkit::TestSuite suite = {"routers that share one pool",
    {
        section("that discover each other in the store",
            {
                // Guards against a long prompt being sent to an engine that another router has just loaded.
                test("send long prompts to engines that the others have not loaded",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto first = RouterFixture("first", store->port());
                        auto second = RouterFixture("second", store->port());
                        check(bool(first.store().put(std::string(upstreamPrefix) + "a", "127.0.0.1:1 ready")));
                        check(bool(first.store().put(std::string(upstreamPrefix) + "b", "127.0.0.1:2 ready")));
                        waitUntil(
                            [&] {
                                return first.pool().contains("b") && second.pool().contains("b")
                                    && first.network().peerCount() == 1 && second.network().peerCount() == 1;
                            },
                            "the routers discover each other and the engines");
                        const auto firstChoice = first.pool().choose(longPromptRequest(), Clock::now());
                        const auto loadedEngine = firstChoice->upstream_.id_;
                        waitUntil(
                            [&] {
                                const auto secondChoice = second.pool().choose(longPromptRequest(), Clock::now());
                                const auto onOtherEngine = secondChoice->upstream_.id_ != loadedEngine;
                                second.pool().recordAttemptEnd(*secondChoice, AttemptResult::Cancelled, Clock::now());
                                return onOtherEngine && secondChoice->pendingPrefillTokens_ == 0;
                            },
                            "the second router avoids the engine");
                    }),
            }),
    }};

} // namespace
