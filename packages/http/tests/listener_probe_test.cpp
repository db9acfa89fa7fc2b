#include "jasminewood/http/listener_probe.h"

#include <memory>

#include "jasminewood/http/server.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testkit::check;
using jasminewood::testkit::test;

namespace
{

constexpr auto timeout = Milliseconds(1'000);

const testkit::TestSuite suite = {"a probe of a listener",
    {
        // Guards against a process that is up and counts as crashed, and the reverse.
        test("tells a process that listens from one that has ended",
            [] {
                auto server = *Server::start({}, [](const Request & /*request*/) -> Response {
                    return BufferedResponse {};
                });
                const auto address = "127.0.0.1:" + std::to_string(server->port());
                check(probeListener(address, timeout) == ListenerState::Listening);
                server->stop();
                check(probeListener(address, timeout) == ListenerState::Refused);
            }),
        // Guards against an address of another writer that ends the process.
        test("knows nothing of a malformed address",
            [] {
                check(probeListener("", timeout) == ListenerState::Unknown);
                check(probeListener("nowhere:80", timeout) == ListenerState::Unknown);
                check(probeListener("127.0.0.1:70000", timeout) == ListenerState::Unknown);
            }),
    }};

} // namespace
