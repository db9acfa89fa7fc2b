#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"
#include "jasminewood/testbench/fake_vm_list.h"
#include "jasminewood/testkit/test_suite.h"
#include "router_under_test.h"

namespace jasminewood::router
{

namespace
{

using testkit::check;
using testkit::test;

constexpr auto firstChunk = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n";
constexpr auto errorText = "no room for this request";

auto localUrl(std::uint16_t port) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(port);
}

// Breaks each new stream off after its first chunk, and refuses to continue one.
auto serveEngine(const http::Request &request) -> http::Response
{
    if (request.path_ != "/v1/chat/completions") {
        return http::BufferedResponse {};
    }
    if (nlohmann::json::parse(request.body_.text())["messages"].size() > 1) {
        return http::BufferedResponse {.status_ = 503, .body_ = errorText};
    }
    return http::StreamResponse {.nextEvent_ = [sent = false]() mutable -> http::StreamEvent {
        return std::exchange(sent, true) ? http::StreamEvent(http::AbortStream {})
                                         : http::StreamEvent(http::Chunk {.data_ = firstChunk});
    }};
}

const testkit::TestSuite suite = {"a chat stream that broke off",
    {
        // Guards against the text of an engine's error that is passed on as model output in the middle of a stream.
        test("and that the next engine refuses to continue ends with an error event, without the text of the refusal",
            [] {
                const auto engine = *http::Server::start({}, &serveEngine);
                const auto target = agent::EngineUpstream {.baseUrl_ = localUrl(engine->port())};
                const auto first = AgentUnderTest(target, "first");
                const auto second = AgentUnderTest(target, "second");
                auto list = nlohmann::json::parse(first.vmList());
                list.push_back(nlohmann::json::parse(second.vmList())[0]);
                const auto vms = *testbench::FakeVmList::start({});
                check(bool(http::fetch(
                    {.method_ = "PUT", .url_ = localUrl(vms->port()) + "/v1/targets", .body_ = list.dump()})));
                auto router = RouterUnderTest(PlatformUrls {.vmList_ = localUrl(vms->port())});
                router.setManifest(sampleManifest());
                router.awaitReadiness(200, "ready");
                const auto response = router.call("POST", "/v1/chat/completions",
                    R"({"model":"film-chat","stream":true,"messages":[{"role":"user","content":"hello"}]})");
                check(response.body_.find("one ") != std::string::npos, response.body_);
                check(response.body_.find(errorText) == std::string::npos, response.body_);
                check(response.body_.find("event: error") != std::string::npos, response.body_);
                check(response.body_.find("[DONE]") == std::string::npos, response.body_);
            }),
    }};

} // namespace

} // namespace jasminewood::router
