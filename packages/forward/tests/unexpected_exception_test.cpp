#include <algorithm>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

#include "jasminewood/testkit/test_suite.h"
#include "router_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto awaitVersion(const std::vector<std::unique_ptr<RouterFixture>> &routers, std::int64_t version) -> void
{
    waitUntil(
        [&routers, version] {
            return std::all_of(routers.begin(), routers.end(), [version](const auto &router) {
                const auto table = router->configuration().current();
                return table && table->configuration().version_ == version;
            });
        },
        "all routers have the configuration");
}

const testkit::TestSuite suite = {"routers with a parser that throws for some entries",
    {
        section("in a snapshot, in a change that they read, and in one that another router passes on",
            {
                // Guards against an exception that leaves a thread and so ends the process.
                test("go on, and apply all other changes",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto routers = std::vector<std::unique_ptr<RouterFixture>>();
                        routers.push_back(std::make_unique<RouterFixture>("router-0", store->port()));
                        const auto write = [&routers](const std::string &key, const std::string &value) {
                            check(bool(routers.front()->store().put(key, value)));
                        };
                        // The parsers of the tests throw for what is not a number.
                        write(upstreamPrefix + std::string("odd"), "127.0.0.1:1 ready incarnation");
                        write(configurationKey, "version");
                        routers.push_back(std::make_unique<RouterFixture>("router-1", store->port()));
                        waitUntil(
                            [&routers] {
                                return routers[0]->network().peerCount() == 1 && routers[1]->network().peerCount() == 1;
                            },
                            "the routers discover each other");
                        write(configurationKey, "2");
                        awaitVersion(routers, 2);
                        write(upstreamPrefix + std::string("odd"), "127.0.0.1:2 ready incarnation");
                        write(configurationKey, "version");
                        write(upstreamPrefix + std::string("good"), "127.0.0.1:3 ready");
                        write(configurationKey, "3");
                        awaitVersion(routers, 3);
                        for (const auto &router : routers) {
                            waitUntil(
                                [&router] {
                                    return router->pool().contains("good");
                                },
                                "the router uses the upstream");
                            check(router->metrics().find("jasminewood_unexpected_exceptions_total{")
                                != std::string::npos);
                        }
                    }),
                // Guards against an entry that hides all others of a snapshot, so that the router is never ready.
                test("use the other upstreams of a snapshot, and are ready",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto first = RouterFixture("first", store->port());
                        const auto prefix = std::string(upstreamPrefix);
                        check(bool(first.store().put(prefix + "odd", "127.0.0.1:1 ready incarnation")));
                        check(bool(first.store().put(prefix + "good", "127.0.0.1:3 ready")));
                        check(bool(first.store().put(configurationKey, "1")));
                        auto second = RouterFixture("second", store->port());
                        waitUntil(
                            [&second] {
                                return second.probes().ready() && second.pool().contains("good");
                            },
                            "the router that starts later is ready");
                    }),
                // Guards against requests to an upstream whose entry names none any more.
                test("stop using a known upstream whose entry becomes one of those",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto router = RouterFixture("router", store->port());
                        const auto key = upstreamPrefix + std::string("known");
                        for (const auto *entry :
                            {"127.0.0.1:1 ready", "127.0.0.1:1 ready incarnation", "127.0.0.1:1 ready"}) {
                            check(bool(router.store().put(key, entry)));
                            const auto isValid = std::string_view(entry).ends_with("ready");
                            waitUntil(
                                [&router, isValid] {
                                    return router.pool().contains("known") == isValid;
                                },
                                "the upstream is used as its entry says");
                        }
                    }),
            }),
        section("that trust API keys for a limited time, and cannot read the newest configuration",
            {
                // Guards against a revoked key that stays in force without a limit.
                test("trust them no longer, until there is one that they can read",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto router = RouterFixture("router", store->port(), Milliseconds(600));
                        for (const auto *value : {"1", "version", "2"}) {
                            check(bool(router.store().put(configurationKey, value)));
                            const auto isValid = std::string_view(value) != "version";
                            waitUntil(
                                [&router, isValid] {
                                    return router.configuration().keysConfirmed() == isValid;
                                },
                                "the keys are trusted as long as the configuration is the newest one");
                        }
                    }),
            }),
    }};

} // namespace
