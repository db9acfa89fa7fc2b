#include "jasminewood/testbench/deployment.h"

#include <csignal>
#include <filesystem>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

constexpr auto manifest = R"([pool engines]
kind = engine
concurrency = 4
queue_limit = 16

[pool booking]
kind = service
concurrency = 4
queue_limit = 16
path = /services/booking

[model film-chat]
versions = 1
pool = engines

[class chat]
tier = 2
maximum_wait_ms = 60000
models = film-chat
pool = engines
cost_estimate = 20

[account pomoc-strankam]
key_sha256 = a2dba2cf872619f3e26307f84997f981b71236184b10a1e80a4741320dec555d
default_class = chat
classes = chat
requests_per_second = 100
work_per_second = 20000
weight = 1
)";

auto directory(const std::string &name) -> std::string
{
    return (std::filesystem::temp_directory_path() / ("jasminewood-" + name + "-" + std::to_string(getpid()))).string();
}

auto chat(const Deployment &system) -> Result<http::ClientResponse>
{
    return http::fetch({.method_ = "POST",
        .url_ = system.url("router-1") + "/v1/chat/completions",
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer demo-key-pomoc-strankam"}},
        .body_ = json {{"model", "film-chat"},
            {"messages", json::array({{{"role", "user"}, {"content", "which film? [tokens=5]"}}})}}
                     .dump()});
}

const testkit::TestSuite story = {"a deployment of one router, two engines and one booking service",
    {
        section("that has started",
            {
                // Guards against a harness that reports readiness before requests can be served.
                test("serves a request at once, and again after an engine was restarted",
                    [] {
                        const auto path = directory("deployment");
                        {
                            const auto started = Deployment::start(
                                {.directory_ = path, .manifest_ = manifest, .engineFlags_ = {"--time_scale=0.01"}});
                            check(bool(started), started ? "" : toString(started.failure()));
                            const auto first = chat(**started);
                            check(first && first->status_ == 200, first ? first->body_ : toString(first.failure()));
                            const auto port = (*started)->port("engine-1");
                            (*started)->kill("engine-1");
                            check(!(*started)->restart("engine-1"));
                            check((*started)->port("engine-1") == port);
                            const auto second = chat(**started);
                            check(second && second->status_ == 200);
                        }
                        std::filesystem::remove_all(path);
                    }),
                // Guards against processes that outlive the test.
                test("kills all processes when it is destroyed, also suspended ones",
                    [] {
                        const auto path = directory("deployment-end");
                        auto pid = 0;
                        {
                            const auto started = Deployment::start({.directory_ = path, .engineCount_ = 1});
                            check(bool(started), started ? "" : toString(started.failure()));
                            pid = (*started)->processId("router-1");
                            (*started)->suspend("router-1");
                        }
                        check(::kill(pid, 0) != 0);
                        std::filesystem::remove_all(path);
                    }),
            }),
    }};

} // namespace
