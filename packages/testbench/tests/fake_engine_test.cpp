#include "jasminewood/testbench/fake_engine.h"

#include <string>

#include <nlohmann/json.hpp>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/expected_output.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

auto startEngine() -> std::shared_ptr<FakeEngine>
{
    const auto engine = FakeEngine::start({.baseTokenMs_ = 0.01, .prefillMicrosecondsPerByte_ = 0});
    check(bool(engine), "the engine starts");
    return *engine;
}

auto urlOf(const FakeEngine &engine, const std::string &path) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(engine.port()) + path;
}

auto requestOf(const FakeEngine &engine, const json &body, const std::string &id = "r-1") -> http::ClientRequest
{
    return {.method_ = "POST",
        .url_ = urlOf(engine, "/v1/chat/completions"),
        .headers_ = {{.name_ = "X-Request-Id", .value_ = id}},
        .body_ = body.dump()};
}

auto sendRequest(const FakeEngine &engine, const json &body, const std::string &id = "r-1")
    -> Result<http::ClientResponse>
{
    return http::fetch(requestOf(engine, body, id));
}

auto requestBody(const std::string &message) -> json
{
    return {{"messages", json::array({{{"role", "user"}, {"content", message}}})}};
}

auto contentOf(const http::ClientResponse &response) -> std::string
{
    return json::parse(response.body_)["choices"][0]["message"]["content"];
}

// Joins the content deltas of a complete stream.
auto deltasOf(const std::string &body) -> std::string
{
    auto text = std::string();
    for (auto start = body.find("data: {"); start != std::string::npos; start = body.find("data: {", start + 1)) {
        const auto end = body.find("\n\n", start);
        const auto chunk = json::parse(body.substr(start + 6, end - start - 6));
        text += chunk["choices"][0]["delta"].value("content", "");
    }
    return text;
}

auto injectFault(const FakeEngine &engine, const json &body) -> void
{
    const auto response = http::fetch({.method_ = "POST", .url_ = urlOf(engine, "/fault"), .body_ = body.dump()});
    check(response && response->status_ == 200);
}

const testkit::TestSuite suite = {"a fake engine",
    {
        section("called for a completion",
            {
                // Guards against a response that a checker cannot recognise as complete and as the caller's own.
                test("returns the same text buffered and streamed",
                    [] {
                        const auto engine = startEngine();
                        const auto expected = expectedText("hi [tokens=20]", 0, 20);
                        auto body = requestBody("hi [tokens=20]");
                        check(contentOf(*sendRequest(*engine, body)) == expected);
                        body["stream"] = true;
                        const auto streamed = sendRequest(*engine, body);
                        check(deltasOf(streamed->body_) == expected);
                        check(streamed->body_.ends_with("data: [DONE]\n\n"));
                        check(expected != expectedText("ho [tokens=20]", 0, 20));
                        const auto runs = http::fetch({.url_ = urlOf(*engine, "/runs")});
                        check(json::parse(runs->body_)["r-1"] == 2);
                    }),
                // Guards against a resumed stream with a gap or a repeated token.
                test("continues a final assistant message at the right token",
                    [] {
                        const auto engine = startEngine();
                        auto body = requestBody("hi [tokens=20]");
                        body["continue_final_message"] = true;
                        for (const auto &start : {expectedText("hi [tokens=20]", 0, 7), std::string("")}) {
                            body["messages"].push_back({{"role", "assistant"}, {"content", start}});
                            check(start + contentOf(*sendRequest(*engine, body))
                                == expectedText("hi [tokens=20]", 0, 20));
                        }
                    }),
                // Guards against responses longer than the caller allowed.
                test("generates max_tokens tokens",
                    [] {
                        const auto engine = startEngine();
                        auto body = requestBody("hello");
                        body["max_tokens"] = 3;
                        check(contentOf(*sendRequest(*engine, body)) == expectedText("hello", 0, 3));
                    }),
                // Guards against load metrics that a parser of vLLM's metrics does not find.
                test("reports its load",
                    [] {
                        const auto engine = startEngine();
                        const auto metrics = http::fetch({.url_ = urlOf(*engine, "/metrics")});
                        for (const auto *name : {"running", "waiting"}) {
                            const auto line
                                = "vllm:num_requests_" + std::string(name) + "{model_name=\"fake-model\"} 0\n";
                            check(metrics->body_.find(line) != std::string::npos);
                        }
                    }),
            }),
        section("with an injected fault",
            {
                // Guards against a truncated stream that ends as if it were complete.
                test("truncates a response after the given number of tokens",
                    [] {
                        const auto engine = startEngine();
                        injectFault(*engine, {{"drop_after_tokens", 4}});
                        auto body = requestBody("hi [tokens=20]");
                        body["stream"] = true;
                        auto text = std::string();
                        const auto cut = http::StreamCall().perform(requestOf(*engine, body), nullptr, [&](auto data) {
                            text += data;
                            return true;
                        });
                        check(!cut && cut.failure().step_ == "receive");
                        check(deltasOf(text) == expectedText("hi [tokens=20]", 0, 4));
                        check(bool(sendRequest(*engine, body)));
                    }),
                // Guards against a crash that callers cannot distinguish from a response.
                test("crashes on a request that contains the crash marker",
                    [] {
                        const auto engine = startEngine();
                        const auto response = sendRequest(*engine, requestBody("please [crash]"));
                        check(!response && response.failure().runState_ == RunState::MayHaveRun);
                        const auto next = sendRequest(*engine, requestBody("hello"));
                        check(!next && next.failure().runState_ == RunState::NotRun);
                    }),
                // Guards against a stall that closes connections or that cannot be ended.
                test("stalls and resumes",
                    [] {
                        const auto engine = startEngine();
                        injectFault(*engine, {{"stall", true}});
                        const auto stalled
                            = http::fetch({.url_ = urlOf(*engine, "/health"), .timeout_ = Milliseconds(50)});
                        check(!stalled && stalled.failure().step_ == "timeout");
                        injectFault(*engine, {{"stall", false}});
                        check(http::fetch({.url_ = urlOf(*engine, "/health")})->status_ == 200);
                    }),
            }),
    }};

} // namespace
