#include <atomic>
#include <thread>

#include <unistd.h>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// The sample with a route that has a latency target.
auto configurationWithTarget() -> routes::Configuration
{
    const auto sample = sampleConfiguration();
    return {.version_ = sample.version_,
        .routes_ = {{.name_ = "timely",
            .host_ = "shop",
            .pathPrefix_ = "/timely/",
            .retrySafety_ = routes::RetrySafety::AtMostOnce,
            .timeout_ = 20s,
            .targetLatency_ = 200ms,
            .weightedServices_ = {{.service_ = "pool"}}}},
        .services_ = sample.services_,
        .access_ = sample.access_};
}

auto sendRequest(const FrontendFixture &fixture, const std::string &id, Milliseconds timeout) -> int
{
    const auto socket = testbench::connectTo(fixture.port());
    testbench::sendText(socket,
        "POST /timely/ HTTP/1.1\r\nHost: shop\r\nKey: " + std::string(sampleApiKey) + "\r\nRequest-Id: " + id
            + "\r\nPrompt: 7\r\nPatience-Ms: " + std::to_string(timeout.count()) + "\r\nContent-Length: 0\r\n\r\n");
    return socket;
}

// One engine, at which another router reports a backlog of 4 s.
class BusyEngine
{
public:
    BusyEngine()
        : fixture_(configurationWithTarget())
    {
        fixture_.addUpstream("a", [this](const http::Request &request) -> http::Response {
            ++requests_;
            urgency_ = std::stoi(request.headers_.at("urgency"));
            return authenticResponse(request, 200, "done");
        });
        report({{"a", {.pendingPrefillTokens_ = 100'000}}});
    }

    auto report(const routing::EngineLoads &loads) -> void
    {
        pool().applyPeerReport("other", {.isFullReport_ = true, .loads_ = loads}, Clock::now());
    }

    auto awaitWaiting(std::size_t count) -> void
    {
        waitUntil(
            [this, count] {
                return pool().waitingRequests() == count;
            },
            "so many requests wait");
    }

    auto fixture() -> FrontendFixture &
    {
        return fixture_;
    }

    auto pool() -> UpstreamPool &
    {
        return fixture_.upstreams().pool();
    }

    auto requests() const -> int
    {
        return requests_;
    }

    // The urgency of the last request.
    auto urgency() const -> int
    {
        return urgency_;
    }

private:
    std::atomic<int> requests_ = 0;
    std::atomic<int> urgency_ = -1;
    FrontendFixture fixture_;
};

const testkit::TestSuite suite = {"a late request at a frontend whose engine is busy",
    {
        section("until there is room",
            {
                // Guards against late prompts that are prefilled before prompts which can still be in time, and against
                // late requests that are not served at all.
                test("waits and is then answered",
                    [] {
                        auto engine = BusyEngine();
                        const auto socket = sendRequest(engine.fixture(), "r1", 20s);
                        engine.awaitWaiting(1);
                        check(engine.pool().localEngineLoads().empty(), "it counts as load while it waits");
                        check(engine.requests() == 0);
                        engine.report({});
                        check(testbench::readUntil(socket, "done").starts_with("HTTP/1.1 200"));
                        engine.awaitWaiting(0);
                        close(socket);
                        check(engine.fixture().metrics().find("jasminewood_forward_waiting_requests 0")
                            != std::string::npos);
                    }),
            }),
        section("whose caller disconnects",
            {
                // Guards against work for a caller that has left, and against threads that wait for nobody.
                test("ends its wait and is not sent",
                    [] {
                        auto engine = BusyEngine();
                        const auto socket = sendRequest(engine.fixture(), "r1", 20s);
                        engine.awaitWaiting(1);
                        close(socket);
                        engine.awaitWaiting(0);
                        check(engine.requests() == 0);
                    }),
            }),
        section("that stays busy",
            {
                // Guards against late requests that wait until their timeout, and that then go before those in time.
                test("is sent after a share of its timeout, behind those in time of its rank",
                    [] {
                        auto engine = BusyEngine();
                        const auto sentAt = Clock::now();
                        const auto socket = sendRequest(engine.fixture(), "r1", 2s);
                        check(testbench::readUntil(socket, "done").starts_with("HTTP/1.1 200"));
                        check(Clock::now() - sentAt >= 400ms, "it did not wait");
                        check(engine.requests() == 1 && engine.urgency() == 1);
                        close(socket);
                        engine.report({});
                        const auto next = sendRequest(engine.fixture(), "r2", 2s);
                        check(testbench::readUntil(next, "done").starts_with("HTTP/1.1 200"));
                        check(engine.urgency() == 0);
                        close(next);
                    }),
            }),
        section("and is removed",
            {
                // Guards against requests that wait for an engine that has left while another one is idle.
                test("goes to another engine",
                    [] {
                        auto engine = BusyEngine();
                        const auto socket = sendRequest(engine.fixture(), "r1", 20s);
                        engine.awaitWaiting(1);
                        engine.fixture().addUpstream("b", [](const http::Request &request) -> http::Response {
                            return authenticResponse(request, 200, "done by b");
                        });
                        engine.fixture().registerUpstream("a", "127.0.0.1:1", "leaving");
                        check(testbench::readUntil(socket, "done by b").starts_with("HTTP/1.1 200"));
                        check(engine.requests() == 0);
                        close(socket);
                    }),
            }),
        section("when the process stops",
            {
                // Guards against a planned stop that takes as long as late requests wait, or that leaves them without a
                // response.
                test("is refused as not run",
                    [] {
                        auto engine = BusyEngine();
                        const auto socket = sendRequest(engine.fixture(), "r1", 20s);
                        engine.awaitWaiting(1);
                        engine.fixture().frontend().drain({.notice_ = 100ms, .grace_ = 600ms});
                        check(testbench::readUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 503"));
                        check(engine.requests() == 0);
                        close(socket);
                    }),
            }),
    }};

} // namespace
