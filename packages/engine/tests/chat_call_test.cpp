#include "jasminewood/engine/chat_call.h"

#include <future>
#include <utility>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using jasminewood::engine::ChatCompleted;
using jasminewood::engine::ChatErrorResponse;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const std::string plainBody = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
const std::string firstChunks = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
                                "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
                                "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n";
const std::string lastChunk = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const std::string usageChunk = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":9}}\n\n";
const std::string done = "data: [DONE]\n\n";

// An engine that streams the bytes of a script and then ends, breaks off or waits.
class ScriptedEngine
{
public:
    explicit ScriptedEngine(const std::string &script, const http::StreamEvent &end = http::EndOfStream {})
        : server_(*http::Server::start({}, [this, script, end](const http::Request &request) -> http::Response {
            body_.set_value(request.body_);
            // The whole script in one step, and then the end.
            auto sent = std::make_shared<bool>(false);
            return http::StreamResponse {.nextEvent_ = [script, end, sent]() -> http::StreamEvent {
                if (!std::exchange(*sent, true)) {
                    return http::Chunk {.data_ = script};
                }
                return end;
            }};
        }))
    {
    }

    auto address() const -> std::string
    {
        return "http://127.0.0.1:" + std::to_string(server_->port());
    }

    // The body of the one request.
    auto body() -> nlohmann::json
    {
        return nlohmann::json::parse(body_.get_future().get());
    }

private:
    std::promise<std::string> body_;
    const std::shared_ptr<http::Server> server_;
};

struct Call
{
    explicit Call(const engine::ChatCallRequest &request)
        : outcome_(engine::performChat(stream_, request, [this](std::string_view text) {
            text_ += text;
            return true;
        }))
    {
    }

    auto failedWith(const std::string &step) const -> bool
    {
        return !outcome_ && outcome_.failure().step_ == step && outcome_.failure().runState_ == RunState::MayHaveRun;
    }

    std::string text_;
    http::StreamCall stream_;
    const Result<engine::ChatOutcome> outcome_;
};

auto callOf(const ScriptedEngine &engine) -> engine::ChatCallRequest
{
    return {.engineUrl_ = engine.address(), .body_ = plainBody};
}

const testkit::TestSuite answers = {"a chat call",
    {
        section("whose stream is complete",
            {
                test("gives the text, the finish reason and the engine's usage",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + usageChunk + done);
                        const auto call = Call(callOf(engine));
                        const auto usage = engine::TokenUsage {.promptTokens_ = 3, .completionTokens_ = 9};
                        check(call.outcome_ && call.text_ == "one two");
                        check(*call.outcome_ == engine::ChatOutcome(ChatCompleted {"stop", usage}));
                    }),
                test("counts chunks if the engine reports no usage",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + done);
                        const auto call = Call(callOf(engine));
                        check(bool(call.outcome_));
                        check(std::get<ChatCompleted>(*call.outcome_).usage_.completionTokens_ == 2);
                    }),
                test("asks for a stream of its tier after the delivered text",
                    [] {
                        auto engine = ScriptedEngine(firstChunks + lastChunk + done);
                        const auto call = Call(
                            {.engineUrl_ = engine.address(), .body_ = plainBody, .tier_ = 1, .resumeText_ = "zero "});
                        const auto body = engine.body();
                        check(call.outcome_ && body["stream"] == true && body["priority"] == 1);
                        check(body["messages"][1]["content"] == "zero ");
                    }),
            }),
        section("whose stream is not complete",
            {
                // Guards against a fragment that passes for the whole answer.
                test("fails and may have run",
                    [] {
                        const auto broken = ScriptedEngine(firstChunks, http::AbortStream {});
                        check(Call(callOf(broken)).failedWith("receive"));
                        const auto ended = ScriptedEngine(firstChunks);
                        check(Call(callOf(ended)).failedWith("read"));
                        const auto unmarked = ScriptedEngine(firstChunks + lastChunk);
                        check(Call(callOf(unmarked)).failedWith("read"));
                        const auto unfinished = ScriptedEngine(firstChunks + done);
                        check(Call(callOf(unfinished)).failedWith("read"));
                        const auto malformed = ScriptedEngine(firstChunks + "data: {\n\n" + lastChunk + done);
                        check(Call(callOf(malformed)).failedWith("read"));
                    }),
                test("fails with the engine's own message",
                    [] {
                        const auto engine
                            = ScriptedEngine(firstChunks + "data: {\"error\":{\"message\":\"x\"}}\n\n" + done);
                        const auto call = Call(callOf(engine));
                        check(call.failedWith("engine") && call.outcome_.failure().reason_ == "x");
                        check(call.outcome_.failure().peer_ == engine.address() && call.text_ == "one two");
                    }),
            }),
        section("that the engine refuses",
            {
                test("gives the status and the body",
                    [] {
                        const auto server = *http::Server::start({}, [](const http::Request &) -> http::Response {
                            return http::BufferedResponse {.status_ = 400, .body_ = "too long"};
                        });
                        const auto call = Call(
                            {.engineUrl_ = "http://127.0.0.1:" + std::to_string(server->port()), .body_ = plainBody});
                        check(bool(call.outcome_));
                        const auto &refused = std::get<ChatErrorResponse>(*call.outcome_);
                        check(refused.status_ == 400 && refused.body_ == "too long");
                    }),
            }),
        section("that never reaches an engine",
            {
                // Guards against work that is given up as possibly run although a retry is safe.
                test("has not run",
                    [] {
                        // Nobody listens on the reserved port 1.
                        const auto call = Call({.engineUrl_ = "http://127.0.0.1:1", .body_ = plainBody});
                        check(!call.outcome_ && call.outcome_.failure().step_ == "connect");
                        check(call.outcome_.failure().runState_ == RunState::NotRun);
                        const auto invalid = Call({.engineUrl_ = "http://127.0.0.1:1", .body_ = "[]"});
                        check(!invalid.outcome_ && invalid.outcome_.failure().step_ == "priority");
                        check(invalid.outcome_.failure().runState_ == RunState::NotRun);
                    }),
            }),
        section("that is cancelled",
            {
                // Guards against an engine slot that stays taken after the caller has gone.
                test("by its callback ends and may have run",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + done);
                        auto stream = http::StreamCall();
                        const auto outcome = engine::performChat(stream, callOf(engine), [](std::string_view) {
                            return false;
                        });
                        check(!outcome && outcome.failure().step_ == "cancel");
                        check(outcome.failure().runState_ == RunState::MayHaveRun);
                    }),
                test("by another task ends while the engine is silent",
                    [] {
                        auto released = std::promise<void>();
                        const auto release = released.get_future().share();
                        auto sent = std::make_shared<bool>(false);
                        const auto server = *http::Server::start({}, [&](const http::Request &) -> http::Response {
                            return http::StreamResponse {.nextEvent_ = [release, sent]() -> http::StreamEvent {
                                if (!std::exchange(*sent, true)) {
                                    return http::Chunk {.data_ = firstChunks};
                                }
                                release.wait();
                                return http::EndOfStream {};
                            }};
                        });
                        auto call = http::StreamCall();
                        auto texts = std::promise<void>();
                        auto cancelling = std::async(std::launch::async, [&] {
                            texts.get_future().wait();
                            call.cancel();
                        });
                        const auto request = engine::ChatCallRequest {
                            .engineUrl_ = "http://127.0.0.1:" + std::to_string(server->port()), .body_ = plainBody};
                        const auto outcome = engine::performChat(call, request, [&](std::string_view text) {
                            if (text == "two") {
                                texts.set_value();
                            }
                            return true;
                        });
                        released.set_value();
                        check(!outcome && outcome.failure().step_ == "cancel");
                    }),
            }),
    }};

const testkit::TestSuite probes = {"a probe of an engine",
    {
        test("tells a healthy one from others",
            [] {
                const auto server = *http::Server::start({}, [](const http::Request &request) -> http::Response {
                    return http::BufferedResponse {.status_ = request.path_ == "/health" ? 200 : 404};
                });
                const auto ill = *http::Server::start({}, [](const http::Request &) -> http::Response {
                    return http::BufferedResponse {.status_ = 503};
                });
                const auto timeout = Milliseconds(10'000);
                check(!engine::probeHealth("http://127.0.0.1:" + std::to_string(server->port()), timeout));
                const auto failed = engine::probeHealth("http://127.0.0.1:" + std::to_string(ill->port()), timeout);
                check(failed && failed->step_ == "probe" && failed->reason_ == "status 503");
            }),
    }};

} // namespace
