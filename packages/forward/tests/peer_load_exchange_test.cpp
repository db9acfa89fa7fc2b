#include "jasminewood/forward/peer_load_exchange.h"

#include "frontend_fixture.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// The upstream pool and the load exchange of one router, without a frontend.
struct RouterUnderTest
{
    RouterUnderTest(const std::string &name, const std::string &storeUrl)
        : client_(std::make_shared<platform::KeyValueClient>(platform::KeyValueOptions {.url_ = storeUrl}))
        , upstreams_(std::make_shared<UpstreamWatcher>(client_, testProtocolAdapter(sampleConfiguration()), "local", 1))
        , peers_(std::make_shared<PeerLoadExchange>(client_, PeerLoadExchangeOptions {.address_ = "127.0.0.1"}, 1))
    {
        registry_.add("environment",
            std::make_shared<node::Environment>(
                node::createIdentity(name, wire::Role::Router, "local", ""), observe::Level::Error));
        registry_.add("upstreams", upstreams_);
        registry_.add("peers", peers_);
        check(!registry_.startAll());
    }

    ~RouterUnderTest()
    {
        registry_.stopAll();
    }

    std::shared_ptr<platform::KeyValueClient> client_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<PeerLoadExchange> peers_;
    kernel::ServiceRegistry registry_;
};

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
                        const auto url = "http://127.0.0.1:" + std::to_string(store->port());
                        auto first = RouterUnderTest("first", url);
                        auto second = RouterUnderTest("second", url);
                        check(bool(first.client_->put(std::string(upstreamPrefix) + "a", "127.0.0.1:1 ready")));
                        check(bool(first.client_->put(std::string(upstreamPrefix) + "b", "127.0.0.1:2 ready")));
                        waitUntil(
                            [&] {
                                return first.upstreams_->pool().contains("b") && second.upstreams_->pool().contains("b")
                                    && first.peers_->peerCount() == 1 && second.peers_->peerCount() == 1;
                            },
                            "the routers discover each other and the engines");
                        const auto firstChoice = first.upstreams_->pool().choose(longPromptRequest(), Clock::now());
                        const auto loadedEngine = firstChoice->upstream_.id_;
                        waitUntil(
                            [&] {
                                const auto secondChoice
                                    = second.upstreams_->pool().choose(longPromptRequest(), Clock::now());
                                const auto onOtherEngine = secondChoice->upstream_.id_ != loadedEngine;
                                second.upstreams_->pool().recordAttemptEnd(
                                    *secondChoice, AttemptResult::Cancelled, Clock::now());
                                return onOtherEngine && secondChoice->pendingPrefillTokens_ == 0;
                            },
                            "the second router avoids the engine");
                    }),
            }),
    }};

} // namespace
