#include "jasminewood/engine/chat_call.h"

#include <atomic>
#include <future>
#include <utility>

#include <poll.h>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"
#include "jasminewood/testbench/raw_peer.h"
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
const std::string doneEvent = "data: [DONE]\n\n";
// Ends the sending of an engine that nobody cuts off.
constexpr std::size_t manyBytes = 256U << 20U;

// A fake engine that streams scripted bytes and then ends or aborts the stream.
class ScriptedEngine
{
public:
    explicit ScriptedEngine(const std::string &script, const http::StreamEvent &end = http::EndOfStream {})
        : server_(*http::Server::start({}, [this, script, end](const http::Request &request) -> http::Response {
            body_.set_value(request.body_);
            // Sends the whole script in one chunk, then ends the stream.
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

    // Returns the body of the only request. Waits until it has arrived.
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

auto makeRequest(const ScriptedEngine &engine) -> engine::ChatCallRequest
{
    return {.engineUrl_ = engine.address(), .body_ = plainBody};
}

const testkit::TestSuite chatCalls = {"a chat call",
    {
        section("whose stream is complete",
            {
                test("returns the text, the finish reason and the engine's usage",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + usageChunk + doneEvent);
                        const auto call = Call(makeRequest(engine));
                        const auto usage = engine::TokenUsage {.promptTokens_ = 3, .completionTokens_ = 9};
                        check(call.outcome_ && call.text_ == "one two");
                        check(*call.outcome_ == engine::ChatOutcome(ChatCompleted {"stop", usage}));
                    }),
                test("counts chunks if the engine reports no usage",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + doneEvent);
                        const auto call = Call(makeRequest(engine));
                        check(bool(call.outcome_));
                        check(std::get<ChatCompleted>(*call.outcome_).usage_.completionTokens_ == 2);
                    }),
                test("requests a stream with its tier as priority, resumed after the delivered text",
                    [] {
                        auto engine = ScriptedEngine(firstChunks + lastChunk + doneEvent);
                        const auto call = Call(
                            {.engineUrl_ = engine.address(), .body_ = plainBody, .tier_ = 1, .resumeText_ = "zero "});
                        const auto body = engine.body();
                        check(call.outcome_ && body["stream"] == true && body["priority"] == 1);
                        check(body["messages"][1]["content"] == "zero ");
                    }),
            }),
        section("whose stream is incomplete",
            {
                // Guards against a truncated response that is reported as complete.
                test("fails with run state MayHaveRun",
                    [] {
                        const auto aborted = ScriptedEngine(firstChunks, http::AbortStream {});
                        check(Call(makeRequest(aborted)).failedWith("receive"));
                        const auto truncated = ScriptedEngine(firstChunks);
                        check(Call(makeRequest(truncated)).failedWith("read"));
                        const auto withoutDoneEvent = ScriptedEngine(firstChunks + lastChunk);
                        check(Call(makeRequest(withoutDoneEvent)).failedWith("read"));
                        const auto withoutFinishReason = ScriptedEngine(firstChunks + doneEvent);
                        check(Call(makeRequest(withoutFinishReason)).failedWith("read"));
                        const auto malformed = ScriptedEngine(firstChunks + "data: {\n\n" + lastChunk + doneEvent);
                        check(Call(makeRequest(malformed)).failedWith("read"));
                    }),
                test("fails with the engine's own message",
                    [] {
                        const auto engine
                            = ScriptedEngine(firstChunks + "data: {\"error\":{\"message\":\"x\"}}\n\n" + doneEvent);
                        const auto call = Call(makeRequest(engine));
                        check(call.failedWith("engine") && call.outcome_.failure().reason_ == "x");
                        check(call.outcome_.failure().peer_ == engine.address() && call.text_ == "one two");
                    }),
            }),
        section("after another one on a connection that the engine keeps",
            {
                // Guards against a caller that gets the text or the refusal of an earlier call.
                test("does not take a late copy of the earlier response for its own",
                    [] {
                        const auto respond = [](const std::string &status, const std::string &body) {
                            return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
                                + "\r\n\r\n" + body;
                        };
                        const auto own = respond("200 OK", firstChunks + lastChunk + doneEvent);
                        const auto earlier = respond("200 OK",
                            "data: {\"choices\":[{\"delta\":{\"content\":\"earlier\"}}]}\n\n" + lastChunk + doneEvent);
                        for (const auto &copy : {earlier, respond("503 Service Unavailable", "no room")}) {
                            const auto engine = testbench::RawServer([&copy, &own](int socket) {
                                auto isFirst = true;
                                while (!testbench::readUntil(socket, "\"stream\":true").empty()) {
                                    testbench::sendText(socket, std::exchange(isFirst, false) ? own : copy + own);
                                }
                            });
                            const auto url = engine.url().substr(0, engine.url().size() - 1);
                            for (auto calls = 0; calls < 2; ++calls) {
                                const auto call = Call({.engineUrl_ = url, .body_ = plainBody});
                                check(call.outcome_ && call.text_ == "one two", "the text is " + call.text_);
                            }
                        }
                    }),
            }),
        section("whose engine sends bytes without end",
            {
                // Guards against a head, an event or an error that fills the memory of the agent.
                test("fails, and the engine is cut off",
                    [] {
                        const auto piece = std::string(64U << 10U, 'x');
                        for (const auto *start : {"HTTP/1.1 200 OK\r\nX-Field: ", "HTTP/1.1 200 OK\r\n\r\ndata: ",
                                 "HTTP/1.1 500 Internal Server Error\r\n\r\n"}) {
                            auto sent = std::atomic<std::size_t>(0);
                            const auto engine = testbench::RawServer([&sent, &piece, start](int socket) {
                                testbench::readUntil(socket, "\"stream\":true");
                                testbench::sendText(socket, start);
                                auto poller = pollfd {.fd = socket, .events = POLLRDHUP, .revents = 0};
                                while (sent < manyBytes && poll(&poller, 1, 0) == 0) {
                                    testbench::sendText(socket, piece);
                                    sent += piece.size();
                                }
                            });
                            const auto url = engine.url().substr(0, engine.url().size() - 1);
                            const auto call = Call({.engineUrl_ = url, .body_ = plainBody});
                            check(!call.outcome_ && call.outcome_.failure().runState_ == RunState::MayHaveRun, start);
                            check(sent < manyBytes, std::to_string(sent) + " bytes were sent");
                        }
                    }),
            }),
        section("that the engine rejects",
            {
                test("returns the status and the body",
                    [] {
                        const auto server = *http::Server::start({}, [](const http::Request &) -> http::Response {
                            return http::BufferedResponse {.status_ = 400, .body_ = "too long"};
                        });
                        const auto call = Call(
                            {.engineUrl_ = "http://127.0.0.1:" + std::to_string(server->port()), .body_ = plainBody});
                        check(bool(call.outcome_));
                        const auto &errorResponse = std::get<ChatErrorResponse>(*call.outcome_);
                        check(errorResponse.status_ == 400 && errorResponse.body_ == "too long");
                    }),
            }),
        section("that never reaches an engine",
            {
                // Guards against a request that is not retried although it cannot have run.
                test("fails with run state NotRun",
                    [] {
                        // Nothing listens on the reserved port 1.
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
                // Guards against an engine slot that stays occupied after the caller has disconnected.
                test("by its callback ends with run state MayHaveRun",
                    [] {
                        const auto engine = ScriptedEngine(firstChunks + lastChunk + doneEvent);
                        auto stream = http::StreamCall();
                        const auto outcome = engine::performChat(stream, makeRequest(engine), [](std::string_view) {
                            return false;
                        });
                        check(!outcome && outcome.failure().step_ == "cancel");
                        check(outcome.failure().runState_ == RunState::MayHaveRun);
                    }),
                test("by another thread ends while the engine sends nothing",
                    [] {
                        auto releasePromise = std::promise<void>();
                        const auto release = releasePromise.get_future().share();
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
                        auto textReceived = std::promise<void>();
                        auto canceller = std::async(std::launch::async, [&] {
                            textReceived.get_future().wait();
                            call.cancel();
                        });
                        const auto request = engine::ChatCallRequest {
                            .engineUrl_ = "http://127.0.0.1:" + std::to_string(server->port()), .body_ = plainBody};
                        const auto outcome = engine::performChat(call, request, [&](std::string_view text) {
                            if (text == "two") {
                                textReceived.set_value();
                            }
                            return true;
                        });
                        releasePromise.set_value();
                        check(!outcome && outcome.failure().step_ == "cancel");
                    }),
            }),
        section("whose response is malformed",
            {
                // Guards against output of an engine in trouble.
                test("fails without any text",
                    [] {
                        for (const auto *head : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1  200 OK\r\n",
                                 "HTTP/1.1 200 OK\r\nX Field: a\r\n", "HTTP/1.1 200 OK\r\nX-Field: \x01\r\n"}) {
                            const auto engine = testbench::RawServer([head](int socket) {
                                testbench::readUntil(socket, "\r\n\r\n");
                                testbench::sendText(socket,
                                    head + std::string("Content-Type: text/event-stream\r\n\r\n") + firstChunks
                                        + lastChunk + doneEvent);
                            });
                            const auto call = Call({.engineUrl_ = "http://" + engine.address(), .body_ = plainBody});
                            check(call.failedWith("receive") && call.text_.empty(), head);
                        }
                    }),
            }),
    }};

const testkit::TestSuite probes = {"a probe of an engine",
    {
        test("fails for an unhealthy engine only",
            [] {
                const auto healthy = *http::Server::start({}, [](const http::Request &request) -> http::Response {
                    return http::BufferedResponse {.status_ = request.path_ == "/health" ? 200 : 404};
                });
                const auto unhealthy = *http::Server::start({}, [](const http::Request &) -> http::Response {
                    return http::BufferedResponse {.status_ = 503};
                });
                const auto timeout = Milliseconds(10'000);
                check(!engine::probeHealth("http://127.0.0.1:" + std::to_string(healthy->port()), timeout));
                const auto failed
                    = engine::probeHealth("http://127.0.0.1:" + std::to_string(unhealthy->port()), timeout);
                check(failed && failed->step_ == "probe" && failed->reason_ == "status 503");
            }),
    }};

} // namespace
