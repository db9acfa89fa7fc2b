#include "jasminewood/http/client.h"

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <sys/socket.h>

#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::RawServer;
using jasminewood::testbench::readToEnd;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

const testkit::TestSuite clientCalls = {"a call",
    {
        section("to a peer that refuses the connection",
            {
                // Guards against "may have run" for a request that was never sent.
                test("fails as not run",
                    [] {
                        const auto server = Server::start({}, [](const Request &) {
                            return BufferedResponse {};
                        });
                        const auto peer = "127.0.0.1:" + std::to_string((*server)->port());
                        (*server)->stop();
                        const auto response = fetch({.url_ = "http://" + peer + "/"});
                        check(!response && response.failure().step_ == "connect" && response.failure().peer_ == peer);
                        check(response.failure().runState_ == RunState::NotRun);
                    }),
            }),
        section("whose response is cut off",
            {
                // Guards against a truncated response that is returned as complete.
                test("fails as may have run",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(responseHead) + "half");
                        });
                        const auto response = fetch({.url_ = peer.url()});
                        check(!response && response.failure().step_ == "receive");
                        check(response.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("without a response",
            {
                // Guards against a call that waits forever for a peer that sends nothing.
                test("fails by the idle timeout and by the timeout of the call",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readToEnd(socket);
                        });
                        for (const auto &request :
                            {ClientRequest {.url_ = peer.url(), .idleTimeout_ = Milliseconds(50)},
                                ClientRequest {.url_ = peer.url(), .timeout_ = Milliseconds(50)}}) {
                            const auto response = fetch(request);
                            check(!response && response.failure().step_ == "timeout", toString(response.failure()));
                            check(response.failure().runState_ == RunState::MayHaveRun);
                        }
                    }),
            }),
        section("on a reused connection that the peer closes when the request arrives",
            {
                // Guards against libcurl's automatic retry, which would run a booking twice.
                test("is not sent twice",
                    [] {
                        auto posts = std::make_shared<std::atomic<int>>(0);
                        auto postConnection = std::make_shared<std::atomic<int>>(0);
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([posts, postConnection, connections](int socket) {
                            const auto connection = ++*connections;
                            for (auto text = readUntil(socket, "\r\n\r\n"); !text.empty();
                                 text = readUntil(socket, "\r\n\r\n")) {
                                if (text.starts_with("POST")) {
                                    ++*posts;
                                    *postConnection = connection;
                                    return;
                                }
                                sendText(socket, std::string(responseHead) + "0123456789");
                            }
                        });
                        check(fetch({.url_ = peer.url()})->body_ == "0123456789");
                        const auto response = fetch({.method_ = "POST", .url_ = peer.url()});
                        check(!response && response.failure().runState_ == RunState::MayHaveRun);
                        // libcurl opens a new connection before its retry is aborted, so only sent requests are
                        // counted.
                        check(*posts == 1 && *postConnection == 1);
                    }),
            }),
        section("after one to a peer that states how long it keeps idle connections",
            {
                // Guards against a new connection for each request to an upstream that gets one every few seconds.
                // An idle connection was not used after 3 s, whatever the peer said.
                test("reuses the connection a second before the end of that time, and not after it",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto respondWith = [connections](const std::string &keepAlive) {
                            return [connections, keepAlive](int socket) {
                                ++*connections;
                                while (!readUntil(socket, "\r\n\r\n").empty()) {
                                    sendText(socket,
                                        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + keepAlive
                                            + "\r\nContent-Length: 2\r\n\r\nok");
                                }
                            };
                        };
                        const auto patient = RawServer(respondWith("30"));
                        const auto hasty = RawServer(respondWith("1"));
                        check(bool(fetch({.url_ = patient.url()})) && bool(fetch({.url_ = hasty.url()})));
                        check(*connections == 2);
                        std::this_thread::sleep_for(Milliseconds(3'200));
                        check(bool(fetch({.url_ = patient.url()})) && *connections == 2);
                        check(bool(fetch({.url_ = hasty.url()})) && *connections == 3);
                    }),
            }),
        section("to a peer that stops responding",
            {
                // Guards against one more timeout for each idle connection after a network failure.
                test("makes later calls open new connections",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([connections](int socket) {
                            ++*connections;
                            while (!readUntil(socket, "\r\n\r\n").empty()) {
                                sendText(socket, std::string(responseHead) + "0123456789");
                            }
                        });
                        const auto silent = RawServer([](int socket) {
                            readToEnd(socket);
                        });
                        auto call = StreamCall();
                        check(bool(fetch({.url_ = peer.url()})) && bool(fetch({.url_ = peer.url()})));
                        check(*connections == 1);
                        check(!call.perform({.url_ = silent.url(), .timeout_ = Milliseconds(50)}, nullptr, nullptr));
                        check(bool(fetch({.url_ = peer.url()})) && *connections == 2);
                    }),
            }),
        section("whose response is streamed",
            {
                // Guards against data that is delivered only at the end of the response, and a cancel() that waits for
                // data.
                test("delivers data as it arrives and ends at once when cancelled",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(responseHead) + "half");
                            readToEnd(socket);
                        });
                        auto call = StreamCall();
                        auto arrived = std::promise<std::string>();
                        auto status = 0;
                        auto result = std::async(std::launch::async, [&] {
                            return call.perform(
                                {.url_ = peer.url(), .timeout_ = Milliseconds(0)},
                                [&status](int received, const auto &) {
                                    status = received;
                                },
                                [&arrived](std::string_view data) {
                                    arrived.set_value(std::string(data));
                                    return true;
                                });
                        });
                        check(arrived.get_future().get() == "half" && status == 200);
                        call.cancel();
                        const auto ended = result.get();
                        check(!ended && ended.failure().step_ == "cancel");
                        check(ended.failure().runState_ == RunState::MayHaveRun);
                    }),
                // Guards against a data callback that cannot end the call.
                test("is cancelled when the data callback returns false",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(responseHead) + "half");
                            readToEnd(socket);
                        });
                        const auto ended = StreamCall().perform({.url_ = peer.url()}, nullptr, [](std::string_view) {
                            return false;
                        });
                        check(!ended && ended.failure().step_ == "cancel");
                    }),
            }),
    }};

} // namespace
