#include "jasminewood/http/server.h"

#include <atomic>
#include <future>
#include <string>

#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"
#include "raw_peer.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Generous, because a busy machine may run the tests slowly.
constexpr auto patience = std::chrono::seconds(30);

auto serve(Handler handler, const ServerOptions &options = {}) -> std::shared_ptr<Server>
{
    const auto server = Server::start(options, std::move(handler));
    check(bool(server), "the server starts");
    return *server;
}

auto echo(const Request &request) -> Response
{
    return BufferedResponse {.body_ = request.method_ + " " + request.path_ + " " + request.body_};
}

auto post(const std::string &body, std::size_t declared) -> std::string
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(declared) + "\r\n\r\n" + body;
}

const testkit::TestSuite story = {"a server",
    {
        section("with a connection that stays open",
            {
                // Guards against a connection that is closed, or a body that leaks, between two requests.
                test("answers each request on it",
                    [] {
                        const auto server = serve(&echo);
                        const auto socket = connectTo(server->port());
                        sendText(socket, post("one", 3));
                        check(readUntil(socket, "POST /p one").find("200") != std::string::npos);
                        sendText(socket, post("two", 3));
                        check(readUntil(socket, "POST /p two").find("200") != std::string::npos);
                        close(socket);
                    }),
            }),
        section("that streams",
            {
                // Guards against chunks held back until a buffer is full.
                test("sends each chunk before the next one is made",
                    [] {
                        auto step = std::make_shared<std::atomic<int>>(0);
                        auto seen = std::make_shared<std::promise<void>>();
                        auto closed = std::make_shared<std::promise<void>>();
                        const auto server = serve([step, seen, closed](const Request &) -> Response {
                            return StreamResponse {.nextEvent_ = [step, seen]() -> StreamEvent {
                                                       if (step->fetch_add(1) == 0) {
                                                           return Chunk {.data_ = "first"};
                                                       }
                                                       if (*step == 2) {
                                                           seen->get_future().wait_for(patience);
                                                           return Chunk {.data_ = "second"};
                                                       }
                                                       return EndOfStream {};
                                                   },
                                .onClosed_ =
                                    [closed] {
                                        closed->set_value();
                                    }};
                        });
                        const auto socket = connectTo(server->port());
                        sendText(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
                        check(readUntil(socket, "first").find("second") == std::string::npos);
                        seen->set_value();
                        check(readUntil(socket, "0\r\n\r\n").find("second") != std::string::npos);
                        check(closed->get_future().wait_for(patience) == std::future_status::ready);
                        close(socket);
                    }),
                // Guards against an answer that is cut because its handler or its stream was slow, not its caller.
                test("does not count its own pauses as idleness of the caller",
                    [] {
                        auto step = std::make_shared<std::atomic<int>>(0);
                        const auto server = serve(
                            [step](const Request &) -> Response {
                                usleep(1'300'000);
                                return StreamResponse {.nextEvent_ = [step]() -> StreamEvent {
                                    usleep(step->fetch_add(1) == 1 ? 1'300'000 : 0);
                                    return *step < 4 ? StreamEvent(Chunk {.data_ = "x"}) : StreamEvent(EndOfStream {});
                                }};
                            },
                            {.idleTimeout_ = std::chrono::seconds(1)});
                        const auto answer = fetch({.url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/"});
                        check(answer && answer->body_ == "xxx");
                    }),
                // Guards against work that goes on for a caller that has left, before and after the first byte.
                test("sees a caller that went away",
                    [] {
                        auto gone = std::make_shared<std::promise<bool>>();
                        auto closed = std::make_shared<std::promise<void>>();
                        auto entered = std::make_shared<std::promise<void>>();
                        const auto server = serve([=](const Request &request) -> Response {
                            entered->set_value();
                            const auto end = Clock::now() + patience;
                            while (!request.callerDisconnected_() && Clock::now() < end) {
                                usleep(1000);
                            }
                            gone->set_value(request.callerDisconnected_());
                            return StreamResponse {.nextEvent_ = []() -> StreamEvent {
                                                       return Chunk {.data_ = "x"};
                                                   },
                                .onClosed_ =
                                    [closed] {
                                        closed->set_value();
                                    }};
                        });
                        const auto socket = connectTo(server->port());
                        sendText(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
                        entered->get_future().wait();
                        close(socket);
                        check(gone->get_future().get());
                        check(closed->get_future().wait_for(patience) == std::future_status::ready);
                    }),
            }),
        section("given a body",
            {
                // Guards against unbounded memory for one caller.
                test("refuses one above the limit without calling the handler",
                    [] {
                        auto calls = std::make_shared<std::atomic<int>>(0);
                        const auto server = serve(
                            [calls](const Request &request) {
                                ++*calls;
                                return echo(request);
                            },
                            {.maximumBodyBytes_ = 1000});
                        const auto url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
                        for (const auto size : {1001U, 100'000U}) {
                            const auto answer
                                = fetch({.method_ = "POST", .url_ = url, .body_ = std::string(size, 'x')});
                            // A body far above the limit is cut off while it is sent.
                            check(
                                size > 16'000U ? !answer || answer->status_ == 413 : answer && answer->status_ == 413);
                        }
                        check(fetch({.method_ = "POST", .url_ = url, .body_ = std::string(1000, 'x')})->status_ == 200);
                        check(*calls == 1);
                    }),
                // Guards against a request that runs with part of its body.
                test("does not run one that was cut off",
                    [] {
                        auto calls = std::make_shared<std::atomic<int>>(0);
                        const auto server = serve([calls](const Request &request) {
                            ++*calls;
                            return echo(request);
                        });
                        const auto socket = connectTo(server->port());
                        sendText(socket, post("part", 100));
                        close(socket);
                        server->stopAccepting();
                        check(server->waitIdle(patience));
                        server->stop();
                        check(*calls == 0);
                    }),
            }),
        section("whose handler gives no answer",
            {
                // Guards against a fake outage that callers can tell from a real one.
                test("closes the connection, which the caller sees as may have run",
                    [] {
                        const auto server = serve([](const Request &) {
                            return BufferedResponse {.status_ = closeWithoutResponse};
                        });
                        const auto answer = fetch({.url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/"});
                        check(!answer && answer.failure().step_ == "receive");
                        check(answer.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("on a port in use",
            {
                // Guards against a program that starts without its port, and a failure that does not name it.
                test("does not start and names the address",
                    [] {
                        const auto first = serve(&echo);
                        const auto second = Server::start({.port_ = first->port()}, &echo);
                        check(!second && second.failure().step_ == "bind");
                        check(second.failure().peer_ == "127.0.0.1:" + std::to_string(first->port()));
                    }),
            }),
        section("that stops accepting",
            {
                // Guards against interrupted requests and late connections in a planned shutdown.
                test("finishes running requests and refuses connections",
                    [] {
                        auto entered = std::make_shared<std::promise<void>>();
                        auto leave = std::make_shared<std::promise<void>>();
                        const auto server = serve([=](const Request &request) {
                            entered->set_value();
                            leave->get_future().wait();
                            return echo(request);
                        });
                        const auto url = "http://127.0.0.1:" + std::to_string(server->port()) + "/slow";
                        auto answer = std::async(std::launch::async, [url] {
                            return fetch({.url_ = url});
                        });
                        entered->get_future().wait();
                        server->stopAccepting();
                        check(connectTo(server->port()) < 0);
                        check(!server->waitIdle(Milliseconds(0)));
                        leave->set_value();
                        check(answer.get()->body_ == "GET /slow ");
                        check(server->waitIdle(patience));
                    }),
            }),
    }};

} // namespace
