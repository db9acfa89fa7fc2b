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

auto requestWithPrefix(std::uint64_t prefixId, std::uint64_t ownId) -> SelectionCriteria
{
    return {.service_ = "pool",
        .route_ = "quotes",
        .prompt_ = PromptInfo {.model_ = "m",
            .promptTokens_ = 9'000,
            .segments_ = {{.id_ = prefixId, .tokens_ = 6'300}, {.id_ = ownId, .tokens_ = 2'700}}},
        .engineCacheTokens_ = 100'000};
}

const testkit::TestSuite suite = {"routers that share one pool",
    {
        section("one of which reports a prompt at an engine that another one has never used",
            {
                // Guards against a fleet of many routers and engines in which nearly all such reports are dropped, so
                // that a prefix is computed again at engine after engine.
                test("send prompts with the same prefix to that engine",
                    [] {
                        for (const auto *holder : {"a", "b", "c", "d"}) {
                            auto pool = UpstreamPool(1, "local");
                            auto routable = std::vector<membership::RoutableUpstream>();
                            for (const auto *id : {"a", "b", "c", "d"}) {
                                routable.push_back({.record_ = {.id_ = id, .service_ = "pool", .slots_ = 8}});
                            }
                            pool.setUpstreams(routable);
                            const auto first = pool.choose(requestWithPrefix(1, 2), Clock::now());
                            pool.recordAttemptEnd(*first, AttemptResult::Responded, Clock::now());
                            const auto shared = routing::PromptSegment {.id_ = 7, .tokens_ = 6'300};
                            pool.applyPeerReport("other",
                                {.prompts_ = {RoutedPrompt {.engine_ = holder, .segments_ = {shared}}}}, Clock::now());
                            check(pool.choose(requestWithPrefix(7, 8), Clock::now())->upstream_.id_ == holder, holder);
                        }
                    }),
            }),
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
