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

constexpr auto timeout = Milliseconds(1'000);
// The time by which a response may exceed its timeout.
constexpr auto tolerance = Milliseconds(400);

auto head(const std::string &id, std::size_t bodyBytes) -> std::string
{
    return "POST /once/ HTTP/1.1\r\nHost: shop\r\nKey: " + std::string(sampleApiKey) + "\r\nRequest-Id: " + id
        + "\r\nPatience-Ms: " + std::to_string(timeout.count()) + "\r\nContent-Length: " + std::to_string(bodyBytes)
        + "\r\n\r\n";
}

// Adds an upstream that answers the request "quick" after a while and holds every other one until long after its
// timeout.
auto addHoldingUpstream(FrontendFixture &fixture) -> void
{
    fixture.addUpstream("a", [](const http::Request &request) -> http::Response {
        std::this_thread::sleep_for(request.headers_.at("request-id") == "quick" ? 600ms : 3'000ms);
        return authenticResponse(request, 200, "done");
    });
}

const testkit::TestSuite suite = {"a request that reaches its timeout",
    {
        section("whose body arrived late",
            {
                // Guards against a caller that waits longer than its route allows, since the time until the end of the
                // body was not counted.
                test("is answered within the timeout after its first line",
                    [] {
                        auto fixture = FrontendFixture();
                        addHoldingUpstream(fixture);
                        const auto socket = testbench::connectTo(fixture.port());
                        const auto sentAt = Clock::now();
                        testbench::sendText(socket, head("r1", 4));
                        std::this_thread::sleep_for(700ms);
                        testbench::sendText(socket, "body");
                        check(testbench::readUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 504"));
                        check(Clock::now() - sentAt < timeout + tolerance, "the caller waited for too long");
                        close(socket);
                    }),
            }),
        section("that was not read as soon as it arrived",
            {
                // Guards against a caller that waits longer than its route allows, since the time until a thread of
                // this process had read the request was not counted.
                test("is answered within the timeout after its arrival",
                    [] {
                        auto fixture = FrontendFixture();
                        addHoldingUpstream(fixture);
                        const auto socket = testbench::connectTo(fixture.port());
                        const auto sentAt = Clock::now();
                        testbench::sendText(socket, head("quick", 0));
                        std::this_thread::sleep_for(100ms);
                        testbench::sendText(socket, head("r2", 0));
                        check(testbench::readUntil(socket, "done").starts_with("HTTP/1.1 200"));
                        check(testbench::readUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 504"));
                        check(Clock::now() - sentAt < 100ms + timeout + tolerance, "the caller waited for too long");
                        close(socket);
                    }),
            }),
    }};

} // namespace
