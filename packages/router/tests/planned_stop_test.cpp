#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_under_test.h"

using namespace jasminewood;
using namespace jasminewood::router;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto stops = 24U;
constexpr auto callers = 32U;
constexpr auto longestPause = std::chrono::microseconds(3'000);

// Sends requests until the router accepts no connection.
auto callUntilGone(std::uint16_t port, std::uint32_t seed) -> void
{
    const auto request
        = std::string("GET /v1/models HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer ") + callersKey + "\r\n\r\n";
    testbench::sendUntilGone(port, request, longestPause, seed);
}

const testkit::TestSuite suite = {"a router that is stopped again and again",
    {
        section("under load on kept and on new connections",
            {
                // Guards against a request that is read while the process stops and gets no answer.
                test("answers each request that it has read",
                    [] {
                        for (auto stop = 0U; stop < stops; ++stop) {
                            auto router = RouterUnderTest();
                            router.setManifest(sampleManifest());
                            auto threads = std::vector<std::thread>();
                            for (auto caller = 0U; caller < callers; ++caller) {
                                threads.emplace_back(&callUntilGone, router.callersPort(), stop * callers + caller);
                            }
                            usleep(30'000);
                            check(router.stopCallers(Milliseconds(30)));
                            for (auto &thread : threads) {
                                thread.join();
                            }
                            const auto metrics = router.administer("GET", "/metrics").body_;
                            const auto start = metrics.find("jasminewood_unserved_total{");
                            check(metrics.find("read=\"whole\"") == std::string::npos,
                                "stop " + std::to_string(stop) + ": "
                                    + (start == std::string::npos ? "" : metrics.substr(start, 300)));
                        }
                    }),
            }),
    }};

} // namespace
