#include "jasminewood/forward/probes.h"

#include <unistd.h>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr unsigned maximumConnections = 3;

const testkit::TestSuite suite = {"a readiness probe",
    {
        section("of a router whose connections are all in use",
            {
                // Guards against a load balancer that sends callers to a router which closes each new connection.
                test("fails until one of them is closed",
                    [] {
                        auto fixture = FrontendFixture(sampleConfiguration(), std::nullopt,
                            FrontendOptions {.server_ = {.maximumConnections_ = maximumConnections}});
                        const auto isReady = [&fixture] {
                            return fixture.probes().ready();
                        };
                        waitUntil(isReady, "the router is ready");
                        auto sockets = std::vector<int>();
                        for (auto count = 0U; count < maximumConnections; ++count) {
                            sockets.push_back(testbench::connectTo(fixture.port()));
                        }
                        waitUntil(
                            [&isReady] {
                                return !isReady();
                            },
                            "the router is not ready");
                        close(sockets.front());
                        waitUntil(isReady, "the router is ready again");
                        for (auto index = std::size_t(1); index < sockets.size(); ++index) {
                            close(sockets[index]);
                        }
                    }),
            }),
        section("of a router that makes callers connect to larger ones",
            {
                // Guards against a load balancer that sends the callers back.
                test("fails until it has done so",
                    [] {
                        auto fixture = FrontendFixture(sampleConfiguration());
                        waitUntil(
                            [&fixture] {
                                return fixture.probes().ready();
                            },
                            "the router is ready");
                        fixture.probes().setShedding(true);
                        check(!fixture.probes().ready());
                        fixture.probes().setShedding(false);
                        check(fixture.probes().ready());
                    }),
            }),
    }};

} // namespace
