#include "jasminewood/http/client.h"

#include <atomic>
#include <future>
#include <string>

#include <sys/socket.h>

#include "jasminewood/testkit/test_suite.h"
#include "raw_peer.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto headersOnly = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

const testkit::TestSuite story = {"a call",
    {
        section("to a peer that refuses the connection",
            {
                // Guards against "may have run" for a request that never left.
                test("fails as not run",
                    [] {
                        const auto port = Server::start({}, [](const Request &) {
                            return BufferedResponse {};
                        });
                        const auto peer = "127.0.0.1:" + std::to_string((*port)->port());
                        (*port)->stop();
                        const auto answer = fetch({.url_ = "http://" + peer + "/"});
                        check(!answer && answer.failure().step_ == "connect" && answer.failure().peer_ == peer);
                        check(answer.failure().runState_ == RunState::NotRun);
                    }),
            }),
        section("whose answer is cut off",
            {
                // Guards against a fragment that passes for a whole answer.
                test("fails as may have run",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(headersOnly) + "half");
                        });
                        const auto answer = fetch({.url_ = peer.url()});
                        check(!answer && answer.failure().step_ == "receive");
                        check(answer.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("without an answer",
            {
                // Guards against a caller that waits without end for a silent peer.
                test("fails by the idle limit and by the whole limit",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "never sent");
                        });
                        for (const auto &request :
                            {ClientRequest {.url_ = peer.url(), .idleTimeout_ = Milliseconds(50)},
                                ClientRequest {.url_ = peer.url(), .timeout_ = Milliseconds(50)}}) {
                            const auto answer = fetch(request);
                            check(!answer && answer.failure().step_ == "timeout", toString(answer.failure()));
                            check(answer.failure().runState_ == RunState::MayHaveRun);
                        }
                    }),
            }),
        section("on a kept connection that the peer closes upon the request",
            {
                // Guards against libcurl's automatic repeat, by which a booking would run twice.
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
                                sendText(socket, std::string(headersOnly) + "0123456789");
                            }
                        });
                        check(fetch({.url_ = peer.url()})->body_ == "0123456789");
                        const auto answer = fetch({.method_ = "POST", .url_ = peer.url()});
                        check(!answer && answer.failure().runState_ == RunState::MayHaveRun);
                        // libcurl connects anew before it is stopped, so only what is sent counts.
                        check(*posts == 1 && *postConnection == 1);
                    }),
            }),
        section("to a peer that falls silent",
            {
                // Guards against one more timeout for each kept connection after the network went silent.
                test("makes later calls open new connections",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([connections](int socket) {
                            ++*connections;
                            while (!readUntil(socket, "\r\n\r\n").empty()) {
                                sendText(socket, std::string(headersOnly) + "0123456789");
                            }
                        });
                        const auto silent = RawServer([](int socket) {
                            readUntil(socket, "never sent");
                        });
                        auto call = StreamCall();
                        check(bool(fetch({.url_ = peer.url()})) && bool(fetch({.url_ = peer.url()})));
                        check(*connections == 1);
                        check(!call.perform({.url_ = silent.url(), .timeout_ = Milliseconds(50)}, nullptr, nullptr));
                        check(bool(fetch({.url_ = peer.url()})) && *connections == 2);
                    }),
            }),
        section("whose answer streams",
            {
                // Guards against data that arrives only with the end, and against a cancel that waits for data.
                test("delivers data as it comes and ends at once when cancelled",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(headersOnly) + "half");
                            readUntil(socket, "never sent");
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
                // Guards against a consumer that cannot end the call itself.
                test("ends when the consumer refuses data",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, std::string(headersOnly) + "half");
                            readUntil(socket, "never sent");
                        });
                        const auto ended = StreamCall().perform({.url_ = peer.url()}, nullptr, [](std::string_view) {
                            return false;
                        });
                        check(!ended && ended.failure().step_ == "cancel");
                    }),
            }),
    }};

} // namespace
