#include "jasminewood/platform/vm_list.h"

#include <chrono>
#include <string>

#include "jasminewood/http/client.h"
#include "jasminewood/http/server.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/testbench/fake_vm_list.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::platform;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto twoVms = R"([
    {"targets": ["10.0.0.1:7100"], "labels": {"role": "agent", "name": "vm-1", "pool": "chat", "data_centre": "lj-a",
                                              "state": "live"}},
    {"targets": ["10.0.0.2:7100"], "labels": {"role": "agent", "name": "vm-2", "pool": "chat", "data_centre": "lj-b",
                                              "state": "leaving"}}])";

auto urlOf(const testbench::FakeVmList &list) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(list.port()) + "/v1/targets";
}

auto put(const testbench::FakeVmList &list, const std::string &body) -> int
{
    return http::fetch({.method_ = "PUT", .url_ = urlOf(list), .body_ = body})->status_;
}

const testkit::TestSuite suite = {"a VM list client",
    {
        section("whose list has members",
            {
                // Guards against a leaving VM that is listed as live.
                test("returns them with their labels",
                    [] {
                        const auto list = testbench::FakeVmList::start({});
                        check(put(**list, twoVms) == 200);
                        const auto vms = VmListClient({.url_ = urlOf(**list)}).fetchVms();
                        check(vms && vms->size() == 2);
                        check((*vms)[1]
                            == VmEntry {.address_ = "10.0.0.2:7100",
                                .role_ = "agent",
                                .name_ = "vm-2",
                                .pool_ = "chat",
                                .dataCentre_ = "lj-b",
                                .state_ = VmState::Leaving});
                        check((*vms)[0].state_ == VmState::Live);
                    }),
                // Guards against a stand-in that shows changes at once, unlike the platform.
                test("does not see a change before the lag is over",
                    [] {
                        const auto list = testbench::FakeVmList::start({.lag_ = std::chrono::hours(1)});
                        check(put(**list, twoVms) == 200);
                        check(VmListClient({.url_ = urlOf(**list)}).fetchVms()->empty());
                    }),
            }),
        section("whose list is nested too deeply",
            {
                // Guards against a process that ends when the document is copied.
                test("fails, as does a client of the key-value service",
                    [] {
                        constexpr std::size_t depth = 100'000;
                        const auto nested = std::string(depth, '[') + std::string(depth, ']');
                        const auto server = *http::Server::start(
                            {}, [&nested](const http::Request &request) -> http::Response {
                                const auto isList = request.method_ == "GET";
                                return http::BufferedResponse {.body_ = isList ? nested : R"({"kvs":)" + nested + "}"};
                            });
                        const auto url = "http://127.0.0.1:" + std::to_string(server->port());
                        check(VmListClient({.url_ = url}).fetchVms().failure().step_ == "vm list");
                        check(KeyValueClient({.url_ = url}).get("a").failure().step_ == "kv get");
                    }),
            }),
        section("whose list is malformed or absent",
            {
                // Guards against a partial list that makes live VMs disappear.
                test("fails as a whole and names the peer",
                    [] {
                        const auto list = testbench::FakeVmList::start({});
                        const auto client = VmListClient({.url_ = urlOf(**list)});
                        check(put(**list, R"([{"targets": ["10.0.0.1:1"]}, {"labels": {}}])") == 200);
                        const auto malformed = client.fetchVms();
                        check(!malformed && malformed.failure().step_ == "vm list");
                        (*list)->stop();
                        const auto absent = client.fetchVms();
                        check(!absent && absent.failure().peer_ == "127.0.0.1:" + std::to_string((*list)->port()));
                    }),
            }),
    }};

} // namespace
