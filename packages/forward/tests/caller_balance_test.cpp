#include "jasminewood/forward/caller_balance.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto callerCount = 31;
// A third of the callers belongs to each of three routers; fewer than half of them may stay at the first one. A router
// with 1.5 times the mean, here exactly half, keeps its callers, so their number is odd.
constexpr auto fairShare = 15;

struct Caller
{
    int socket_ = -1;
    // The router that the load balancer chooses for the caller's next connection.
    std::size_t nextRouter_ = 0;
    int reconnects_ = 0;
};

// Lets the load balancer know that the router is ready.
auto probeUntilReady(RouterFixture &router) -> void
{
    waitUntil(
        [&router] {
            const auto response
                = http::fetch({.url_ = fmt::format("http://127.0.0.1:{}/ready", router.probes().readinessPort())});
            return response && response->status_ == 200;
        },
        "the router is ready");
}

// Sends a request on the caller's connection and reads the response. Returns whether the connection stays open.
auto call(const Caller &caller) -> bool
{
    testbench::sendText(caller.socket_,
        fmt::format("GET /once/1 HTTP/1.1\r\nHost: shop\r\nRequest-Id: r\r\nKey: {}\r\n\r\n", sampleApiKey));
    const auto response = testbench::readUntil(caller.socket_, "}}");
    check(response.ends_with("}}"), "each request gets a complete response");
    return response.find("Connection: close") == std::string::npos;
}

const testkit::TestSuite suite = {"routers that returned together",
    {
        section("of which the first one that was ready got the callers of all",
            {
                // Guards against a router that keeps all callers, which then wait for seconds until their requests are
                // read.
                test("share the callers after some seconds, and each one reconnects at most once",
                    [] {
                        const auto store = *testbench::FakeKv::start({});
                        auto first = RouterFixture("first", store->port());
                        auto second = RouterFixture("second", store->port());
                        auto third = RouterFixture("third", store->port());
                        const auto routers = std::vector<RouterFixture *> {&first, &second, &third};
                        check(bool(first.store().put(configurationKey, "1")));
                        probeUntilReady(first);
                        auto callers = std::vector<Caller>();
                        for (auto index = std::size_t(0); index < callerCount; ++index) {
                            callers.push_back({.socket_ = testbench::connectTo(first.frontend().port()),
                                .nextRouter_ = index % routers.size()});
                        }
                        probeUntilReady(second);
                        probeUntilReady(third);
                        waitUntil(
                            [&] {
                                for (auto &caller : callers) {
                                    if (!call(caller)) {
                                        close(caller.socket_);
                                        caller.socket_
                                            = testbench::connectTo(routers[caller.nextRouter_]->frontend().port());
                                        ++caller.reconnects_;
                                    }
                                }
                                return first.frontend().connectionCount() <= fairShare;
                            },
                            "the other routers have most of the callers");
                        for (const auto &caller : callers) {
                            check(caller.reconnects_ <= 1, "a caller reconnects more than once");
                            close(caller.socket_);
                        }
                    }),
            }),
    }};

} // namespace
