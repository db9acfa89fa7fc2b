#include "jasminewood/forward/peer_load_exchange.h"

#include "front_under_test.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// One router's feed and exchange, without a front.
struct Router
{
    Router(const std::string &name, const std::string &storeUrl)
        : client_(std::make_shared<platform::KeyValueClient>(platform::KeyValueOptions {.url_ = storeUrl}))
        , upstreams_(std::make_shared<UpstreamWatcher>(client_, testDialect(sampleConfiguration()), "local", 1))
        , peers_(std::make_shared<PeerLoadExchange>(client_, PeerLoadExchangeOptions {.address_ = "127.0.0.1"}, 1))
    {
        registry_.add("environment",
            std::make_shared<node::Environment>(
                node::createIdentity(name, wire::Role::Router, "local", ""), observe::Level::Error));
        registry_.add("upstreams", upstreams_);
        registry_.add("peers", peers_);
        check(!registry_.startAll());
    }

    ~Router()
    {
        registry_.stopAll();
    }

    std::shared_ptr<platform::KeyValueClient> client_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<PeerLoadExchange> peers_;
    kernel::ServiceRegistry registry_;
};

auto longPrompt() -> SelectionRequest
{
    return {.service_ = "pool",
        .route_ = "quotes",
        .prompt_ = PromptInfo {.model_ = "m", .promptTokens_ = 9'000, .segments_ = {{.id_ = 1, .tokens_ = 9'000}}},
        .engineCacheTokens_ = 100'000};
}

const testkit::TestSuite story = {"routers before one pool",
    {
        section("that find each other in the store",
            {
                // Guards against a long prompt that goes to the engine which another router has just filled.
                test("send long prompts to engines that the others did not fill",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        const auto url = "http://127.0.0.1:" + std::to_string(store->port());
                        auto first = Router("first", url);
                        auto second = Router("second", url);
                        check(bool(first.client_->put(std::string(upstreamPrefix) + "a", "127.0.0.1:1 ready")));
                        check(bool(first.client_->put(std::string(upstreamPrefix) + "b", "127.0.0.1:2 ready")));
                        await(
                            [&] {
                                return first.upstreams_->pool().contains("b") && second.upstreams_->pool().contains("b")
                                    && first.peers_->peerCount() == 1 && second.peers_->peerCount() == 1;
                            },
                            "the routers know each other and the engines");
                        const auto chosen = first.upstreams_->pool().choose(longPrompt(), Clock::now());
                        const auto filled = chosen->upstream_.id_;
                        await(
                            [&] {
                                const auto other = second.upstreams_->pool().choose(longPrompt(), Clock::now());
                                const auto elsewhere = other->upstream_.id_ != filled;
                                second.upstreams_->pool().recordAttemptEnd(
                                    *other, AttemptResult::Cancelled, Clock::now());
                                return elsewhere && other->queuedPrefillTokens_ == 0;
                            },
                            "the second router avoids the engine");
                    }),
            }),
    }};

} // namespace
