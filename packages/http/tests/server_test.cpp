#include "jasminewood/http/server.h"

#include <atomic>
#include <future>
#include <stdexcept>
#include <string>

#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::connectTo;
using jasminewood::testbench::readToEnd;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Generous, because a busy machine may run the tests slowly.
constexpr auto generousTimeout = std::chrono::seconds(30);

auto serve(Handler handler, const ServerOptions &options = {}, UnservedListener onUnserved = {})
    -> std::shared_ptr<Server>
{
    const auto server = Server::start(options, std::move(handler), std::move(onUnserved));
    check(bool(server), "the server starts");
    return *server;
}

auto echo(const Request &request) -> Response
{
    return BufferedResponse {.body_ = request.method_ + " " + request.path_ + " " + request.body_.text()};
}

// Returns what a server reports for the bytes of one caller, which then waits for the end of the connection.
auto reportFor(const Handler &handler, const std::string &bytes, const ServerOptions &options = {}) -> UnservedRequest
{
    auto reported = std::make_shared<std::promise<UnservedRequest>>();
    const auto server = serve(handler, options, [reported](const UnservedRequest &request) {
        reported->set_value(request);
    });
    const auto socket = connectTo(server->port());
    sendText(socket, bytes);
    auto report = reported->get_future();
    check(report.wait_for(generousTimeout) == std::future_status::ready, "the end of the request is reported");
    close(socket);
    return report.get();
}

// Returns a server that refuses requests at the path /refused by their header section.
auto serveChecked(const std::shared_ptr<std::atomic<int>> &calls, const std::shared_ptr<std::atomic<int>> &reports)
    -> std::shared_ptr<Server>
{
    const auto handler = [calls](const Request &request) {
        ++*calls;
        return echo(request);
    };
    const auto onUnserved = [reports](const UnservedRequest &) {
        ++*reports;
    };
    const auto check = [](const Request &request) {
        return request.path_ == "/refused"
            ? std::optional<BufferedResponse>(BufferedResponse {.status_ = 404, .body_ = "not here"})
            : std::nullopt;
    };
    const auto server = Server::start({}, handler, onUnserved, {}, check);
    testkit::check(bool(server), "the server starts");
    return *server;
}

auto post(const std::string &body, std::size_t declared) -> std::string
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(declared) + "\r\n\r\n" + body;
}

const testkit::TestSuite serverRequests = {"a server",
    {
        section("with a connection that stays open",
            {
                // Guards against a connection that is closed, or a body that leaks, between two requests.
                test("serves each request on it",
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
        section("that is asked to close some of its connections",
            {
                // Guards against callers that stay although they should reconnect, and against closes of connections
                // that were opened since.
                test("closes as many old ones, each with a complete response that says so",
                    [] {
                        const auto server = serve(&echo);
                        const auto isClosedAfterResponse = [](int socket) {
                            sendText(socket, post("one", 3));
                            return readUntil(socket, "POST /p one").find("Connection: close") != std::string::npos;
                        };
                        const auto first = connectTo(server->port());
                        const auto second = connectTo(server->port());
                        check(!isClosedAfterResponse(first) && !isClosedAfterResponse(second));
                        const auto openedBefore = Clock::now();
                        const auto third = connectTo(server->port());
                        check(server->closeAfterResponses(5, openedBefore) == 2);
                        check(server->closeAfterResponses(1, openedBefore) == 1);
                        check(!isClosedAfterResponse(third));
                        check(isClosedAfterResponse(first));
                        check(!isClosedAfterResponse(second));
                        check(readToEnd(first).text_.empty());
                        close(first);
                        close(second);
                        close(third);
                    }),
            }),
        section("that streams",
            {
                // Guards against chunks held back until a buffer is full.
                test("sends each chunk before the next one is made",
                    [] {
                        auto step = std::make_shared<std::atomic<int>>(0);
                        auto firstRead = std::make_shared<std::promise<void>>();
                        auto closed = std::make_shared<std::promise<void>>();
                        const auto server = serve([step, firstRead, closed](const Request &) -> Response {
                            return StreamResponse {.nextEvent_ = [step, firstRead]() -> StreamEvent {
                                                       if (step->fetch_add(1) == 0) {
                                                           return Chunk {.data_ = "first"};
                                                       }
                                                       if (*step == 2) {
                                                           firstRead->get_future().wait_for(generousTimeout);
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
                        firstRead->set_value();
                        check(readUntil(socket, "0\r\n\r\n").find("second") != std::string::npos);
                        check(closed->get_future().wait_for(generousTimeout) == std::future_status::ready);
                        close(socket);
                    }),
                // Guards against a response that is cut off by the idle timeout although the handler or the stream was
                // slow, not the caller.
                test("does not count its own pauses towards the idle timeout",
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
                        const auto response
                            = fetch({.url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/"});
                        check(response && response->body_ == "xxx");
                    }),
                // Guards against work that continues for a disconnected caller, before and after the first byte.
                test("detects that the caller disconnected",
                    [] {
                        auto disconnected = std::make_shared<std::promise<bool>>();
                        auto closed = std::make_shared<std::promise<void>>();
                        auto entered = std::make_shared<std::promise<void>>();
                        const auto server = serve([=](const Request &request) -> Response {
                            entered->set_value();
                            const auto end = Clock::now() + generousTimeout;
                            while (!request.callerDisconnected_() && Clock::now() < end) {
                                usleep(1000);
                            }
                            disconnected->set_value(request.callerDisconnected_());
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
                        check(disconnected->get_future().get());
                        check(closed->get_future().wait_for(generousTimeout) == std::future_status::ready);
                    }),
            }),
        section("that receives a body",
            {
                // Guards against unbounded memory use by one caller.
                test("rejects one above the limit without calling the handler",
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
                            const auto response
                                = fetch({.method_ = "POST", .url_ = url, .body_ = std::string(size, 'x')});
                            check(response && response->status_ == 413);
                        }
                        check(fetch({.method_ = "POST", .url_ = url, .body_ = std::string(1000, 'x')})->status_ == 200);
                        check(*calls == 1);
                    }),
                // Guards against a caller that gets no answer to a body without a declared length, and against one
                // that holds a thread or memory by sending on.
                test("answers one without a declared length that exceeds the limit, and then closes",
                    [] {
                        const auto server = serve(&echo, {.maximumBodyBytes_ = 1000});
                        const auto chunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
                        const auto head = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
                        for (const auto chunks : {2, 30}) {
                            const auto socket = connectTo(server->port());
                            sendText(socket, head);
                            for (auto sent = 0; sent < chunks; ++sent) {
                                sendText(socket, chunk);
                            }
                            const auto response = readUntil(socket, "\"run_state\":\"not_run\"}}");
                            check(response.starts_with("HTTP/1.1 413 "), response);
                            check(response.find("Connection: close") != std::string::npos, response);
                            // The caller leaves its end open and sends now and then.
                            const auto end = Clock::now() + generousTimeout;
                            while (server->connectionCount() > 0) {
                                check(Clock::now() < end, "the connection is closed");
                                sendText(socket, "x");
                                usleep(10'000);
                            }
                            close(socket);
                        }
                    }),
                // Guards against a request that runs with a part of its body.
                test("does not call the handler for a truncated one",
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
                        check(server->waitUntilIdle(generousTimeout));
                        server->stop();
                        check(*calls == 0);
                    }),
            }),
        section("that checks the admission of requests",
            {
                // Guards against memory for the body of a request that is refused anyway.
                test("refuses one without waiting for its body, and closes",
                    [] {
                        auto calls = std::make_shared<std::atomic<int>>(0);
                        auto reports = std::make_shared<std::atomic<int>>(0);
                        const auto server = serveChecked(calls, reports);
                        for (const auto *field : {"Content-Length: 1000000", "Transfer-Encoding: chunked"}) {
                            const auto socket = connectTo(server->port());
                            sendText(socket, "POST /refused HTTP/1.1\r\nHost: h\r\n" + std::string(field) + "\r\n\r\n");
                            const auto response = readUntil(socket, "not here");
                            check(response.starts_with("HTTP/1.1 404 "), response);
                            check(response.find("Connection: close") != std::string::npos, response);
                            close(socket);
                        }
                        check(server->waitUntilIdle(generousTimeout));
                        check(*calls == 0 && *reports == 0, "neither handled nor reported as without a response");
                    }),
                // Guards against a new connection for each small request that is refused.
                test("passes a small one to the handler on a connection that stays open",
                    [] {
                        auto calls = std::make_shared<std::atomic<int>>(0);
                        const auto server = serveChecked(calls, std::make_shared<std::atomic<int>>(0));
                        const auto socket = connectTo(server->port());
                        for (auto index = 1; index <= 2; ++index) {
                            sendText(socket, "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
                            check(readUntil(socket, "/refused body").starts_with("HTTP/1.1 200 "));
                            check(*calls == index);
                        }
                        close(socket);
                    }),
                test("passes an admitted one to the handler with its whole body",
                    [] {
                        auto calls = std::make_shared<std::atomic<int>>(0);
                        const auto server = serveChecked(calls, std::make_shared<std::atomic<int>>(0));
                        const auto body = std::string(1'000'000, 'x');
                        const auto response = fetch({.method_ = "POST",
                            .url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/admitted",
                            .body_ = body});
                        check(response && response->status_ == 200 && response->body_ == "POST /admitted " + body);
                        check(*calls == 1);
                    }),
            }),
        section("whose handler returns closeWithoutResponse",
            {
                // Guards against a simulated outage that callers could distinguish from a real one.
                test("closes the connection, and the call fails as may have run",
                    [] {
                        const auto server = serve([](const Request &) {
                            return BufferedResponse {.status_ = closeWithoutResponse};
                        });
                        const auto response
                            = fetch({.url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/"});
                        check(!response && response.failure().step_ == "receive");
                        check(response.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("that ends a request without a complete response of the handler",
            {
                // Guards against a request that ends without an answer and without a trace, and against "not run" for
                // one that the handler may have passed on.
                test("reports the reason, and what was read and sent",
                    [] {
                        const auto get = std::string("GET /p?q HTTP/1.1\r\nHost: h\r\n\r\n");
                        const auto closed = reportFor(
                            [](const Request &) {
                                return BufferedResponse {.status_ = closeWithoutResponse};
                            },
                            get);
                        check(closed
                            == UnservedRequest {
                                .reason_ = EndReason::HandlerClosed, .target_ = "/p?q", .requestRead_ = true});
                        const auto step = std::make_shared<std::atomic<int>>(0);
                        const auto threw = reportFor(
                            [step](const Request &) {
                                return StreamResponse {.nextEvent_ = [step]() -> StreamEvent {
                                    if (step->fetch_add(1) > 0) {
                                        throw std::runtime_error("no more");
                                    }
                                    return Chunk {.data_ = "first"};
                                }};
                            },
                            get);
                        check(threw
                            == UnservedRequest {.reason_ = EndReason::StreamThrew,
                                .target_ = "/p?q",
                                .requestRead_ = true,
                                .responseBegun_ = true,
                                .streamedBytes_ = 5,
                                .detail_ = "no more"});
                        const auto partial
                            = reportFor(&echo, post("part", 100), {.idleTimeout_ = std::chrono::seconds(1)});
                        check(partial == UnservedRequest {.reason_ = EndReason::IdleTimeout, .target_ = "/p"});
                    }),
                // Guards against a caller that repeats a request which has run.
                test("answers an exception of the handler as may have run",
                    [] {
                        const auto server = serve([](const Request &) -> Response {
                            throw std::runtime_error("broken");
                        });
                        const auto response
                            = fetch({.url_ = "http://127.0.0.1:" + std::to_string(server->port()) + "/"});
                        check(response && response->status_ == 500);
                        check(response->body_.find(R"("run_state":"may_have_run")") != std::string::npos,
                            response->body_);
                    }),
                // Guards against connections that are closed unread and appear nowhere.
                test("reports a connection for which there is no room",
                    [] {
                        auto reported = std::make_shared<std::promise<UnservedRequest>>();
                        const auto server = serve(&echo, {.maximumConnections_ = 1}, [reported](const auto &request) {
                            reported->set_value(request);
                        });
                        const auto first = connectTo(server->port());
                        sendText(first, post("one", 3));
                        readUntil(first, "POST /p one");
                        const auto second = connectTo(server->port());
                        auto report = reported->get_future();
                        check(report.wait_for(generousTimeout) == std::future_status::ready, "it is reported");
                        check(report.get().reason_ == EndReason::NoRoom);
                        close(first);
                        close(second);
                    }),
            }),
        section("whose limits change",
            {
                // Guards against a connection that is closed sooner than its caller was told, and against limits of the
                // operators that are not applied.
                test("tells each caller the limit in force, keeps the connection for that time and then closes it",
                    [] {
                        auto idleMs = std::make_shared<std::atomic<int>>(3'000);
                        const auto started = Server::start({}, &echo, {}, [idleMs] {
                            return ConnectionLimits {.maximumHeaderBytes_ = 1'000,
                                .maximumBodyBytes_ = 10,
                                .idleTimeout_ = Milliseconds(idleMs->load())};
                        });
                        const auto &server = *started;
                        const auto socket = connectTo(server->port());
                        sendText(socket, post("one", 3));
                        check(readUntil(socket, "one").find("Keep-Alive: timeout=3\r\n") != std::string::npos);
                        *idleMs = 1'000;
                        usleep(2'000'000);
                        sendText(socket, post("two", 3));
                        check(readUntil(socket, "two").find("Keep-Alive: timeout=1\r\n") != std::string::npos);
                        check(readUntil(socket, "three").empty(), "the connection is closed by the new limit");
                        close(socket);
                        const auto url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
                        check(fetch({.method_ = "POST", .url_ = url, .body_ = std::string(11, 'x')})->status_ == 413);
                        const auto longField = HeaderField {.name_ = "X-Long", .value_ = std::string(1'000, 'x')};
                        check(fetch({.url_ = url, .headers_ = {longField}})->status_ == 431);
                    }),
            }),
        section("on a port in use",
            {
                // Guards against a process that starts without its port, and a failure without the address.
                test("does not start and reports the address",
                    [] {
                        const auto first = serve(&echo);
                        const auto second = Server::start({.port_ = first->port()}, &echo);
                        check(!second && second.failure().step_ == "bind");
                        check(second.failure().peer_ == "127.0.0.1:" + std::to_string(first->port()));
                    }),
            }),
        section("that stops accepting",
            {
                // Guards against aborted requests and new connections during a planned shutdown.
                test("finishes running requests and refuses connections",
                    [] {
                        auto entered = std::make_shared<std::promise<void>>();
                        auto finishHandler = std::make_shared<std::promise<void>>();
                        const auto server = serve([=](const Request &request) {
                            entered->set_value();
                            finishHandler->get_future().wait();
                            return echo(request);
                        });
                        const auto url = "http://127.0.0.1:" + std::to_string(server->port()) + "/slow";
                        auto response = std::async(std::launch::async, [url] {
                            return fetch({.url_ = url});
                        });
                        entered->get_future().wait();
                        server->stopAccepting();
                        check(connectTo(server->port()) < 0);
                        check(!server->waitUntilIdle(Milliseconds(0)));
                        finishHandler->set_value();
                        check(response.get()->body_ == "GET /slow ");
                        check(server->waitUntilIdle(generousTimeout));
                    }),
            }),
    }};

} // namespace
