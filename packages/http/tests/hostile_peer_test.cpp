#include <array>
#include <atomic>
#include <map>
#include <string>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/http/client.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::testbench::RawServer;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto responseWithBody(const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends the text again and again until the peer closes, at most maximumBytes in total; returns the bytes sent.
auto sendWithoutEnd(int socket, const std::string &text, std::size_t maximumBytes) -> std::size_t
{
    auto sent = std::size_t(0);
    auto poller = pollfd {.fd = socket, .events = POLLRDHUP, .revents = 0};
    while (sent < maximumBytes && poll(&poller, 1, 0) == 0) {
        sendText(socket, text);
        sent += text.size();
    }
    return sent;
}

// Returns a peer that answers the first request of a connection and then sends `extra`, and answers each later request
// with "own".
auto peerWithLateBytes(const std::string &extra, const std::shared_ptr<std::atomic<int>> &connections)
{
    return [extra, connections](int socket) {
        ++*connections;
        readUntil(socket, "\r\n\r\n");
        sendText(socket, responseWithBody("first"));
        std::this_thread::sleep_for(50ms);
        sendText(socket, extra);
        while (!readUntil(socket, "\r\n\r\n").empty()) {
            sendText(socket, responseWithBody("own"));
        }
    };
}

constexpr std::size_t manyBytes = 64U << 20U;

// A pair of connected sockets, such as those of a caller and a router.
struct SocketPair
{
    SocketPair()
    {
        check(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()) == 0, "sockets");
    }

    ~SocketPair()
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    SocketPair(const SocketPair &) = delete;
    auto operator=(const SocketPair &) -> SocketPair & = delete;

    std::array<int, 2> ends_ = {-1, -1};
};

const testkit::TestSuite suite = {"a peer",
    {
        section("whose caller has left before the request could be sent",
            {
                // Guards against work for callers who are gone, at the time when the processor is short.
                test("does not get the request",
                    [] {
                        auto received = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([received](int socket) {
                            while (!readUntil(socket, "\r\n\r\n").empty()) {
                                ++*received;
                                sendText(socket, responseWithBody("own"));
                            }
                        });
                        // The connection is kept, so the next request could be sent at once.
                        check(bool(fetch({.url_ = peer.url()})));
                        const auto caller = SocketPair();
                        const auto request = ClientRequest {.url_ = peer.url(), .watchedDescriptor_ = caller.ends_[1]};
                        shutdown(caller.ends_[0], SHUT_RDWR);
                        auto exchange = Exchange(request);
                        const auto head = exchange.head(Clock::now() + 5s);
                        check(!head && head.failure().step_ == "caller");
                        check(head.failure().runState_ == RunState::NotRun, "the failure says that it was not sent");
                        std::this_thread::sleep_for(100ms);
                        check(*received == 1, "the request was not sent");
                    }),
            }),
        section("that sends a second copy of a response, late, on a kept connection",
            {
                // Guards against a caller that gets the response to another request.
                test("does not get the next request on that connection",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer(peerWithLateBytes(responseWithBody("first"), connections));
                        check(fetch({.url_ = peer.url()})->body_ == "first");
                        std::this_thread::sleep_for(150ms);
                        const auto second = fetch({.url_ = peer.url()});
                        check(second && second->body_ == "first" && *connections == 2,
                            "the second request has a new connection");
                    }),
            }),
        section("that sends a second response behind the first one",
            {
                // Guards against leftover bytes that are taken for the next response.
                test("does not get the next request on that connection",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([connections](int socket) {
                            const auto number = std::to_string(++*connections);
                            while (!readUntil(socket, "\r\n\r\n").empty()) {
                                sendText(socket, responseWithBody(number) + responseWithBody("extra"));
                            }
                        });
                        check(fetch({.url_ = peer.url()})->body_ == "1");
                        check(fetch({.url_ = peer.url()})->body_ == "2");
                    }),
            }),
        section("that closes a kept connection",
            {
                // Guards against a request that may have run because it was sent on a connection that was closed
                // before.
                test("gets the next request on a new connection",
                    [] {
                        auto connections = std::make_shared<std::atomic<int>>(0);
                        const auto peer = RawServer([connections](int socket) {
                            ++*connections;
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, responseWithBody("own"));
                        });
                        check(bool(fetch({.method_ = "POST", .url_ = peer.url()})));
                        std::this_thread::sleep_for(50ms);
                        const auto second = fetch({.method_ = "POST", .url_ = peer.url()});
                        check(second && second->body_ == "own" && *connections == 2);
                    }),
            }),
        section("that writes another head into that of its response",
            {
                // Guards against a status of one response that is joined to the fields of another.
                test("fails the call, and the request may have run",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, "HTTP/1.1 200 OK\r\nX-Field: a\r\n" + responseWithBody("other"));
                            // Keeps the connection open until the peer closes it.
                            readUntil(socket, "\r\n\r\n");
                        });
                        const auto response = fetch({.method_ = "POST", .url_ = peer.url()});
                        check(!response && response.failure().step_ == "receive");
                        check(response.failure().runState_ == RunState::MayHaveRun);
                    }),
                // Guards against interim responses that are taken for one.
                test("does not fail the call if the first head is that of an interim response",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket,
                                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                                    + responseWithBody("own"));
                        });
                        const auto response = fetch({.method_ = "POST", .url_ = peer.url()});
                        check(response && response->body_ == "own" && !response->headers_.contains("link"));
                    }),
            }),
        section("that closes inside the head of its response",
            {
                // Guards against a response cut in its head that is taken for an empty success.
                test("fails the call, whichever way it is read, and the request may have run",
                    [] {
                        for (const auto *head :
                            {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Field: a\r\n", "HTTP/1.1 200 OK\r\nX-Fie",
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nX-Field: a\r\n \r\n",
                                "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"}) {
                            const auto peer = RawServer([head](int socket) {
                                readUntil(socket, "\r\n\r\n");
                                sendText(socket, head);
                            });
                            const auto request = ClientRequest {.method_ = "POST", .url_ = peer.url()};
                            const auto fetched = fetch(request);
                            check(!fetched, "fetch: " + std::string(head));
                            check(fetched.failure().step_ == "receive"
                                    && fetched.failure().runState_ == RunState::MayHaveRun,
                                toString(fetched.failure()));
                            auto headers = 0;
                            auto call = StreamCall();
                            const auto countHeaders = [&headers](int, const std::map<std::string, std::string> &) {
                                ++headers;
                            };
                            const auto status = call.perform(request, countHeaders, {});
                            check(!status && headers == 0, "stream call: " + std::string(head));
                            auto exchange = Exchange(request);
                            const auto received = exchange.head(Clock::now() + 5s);
                            check(!received && received.failure().step_ == "receive", "exchange: " + std::string(head));
                        }
                    }),
            }),
        section("that sends bytes without end",
            {
                // Guards against a head that fills the memory or keeps the caller until its deadline.
                test("is cut off in the head, in a line of the head and in interim responses",
                    [] {
                        for (const auto &[start, repeated] : std::vector<std::pair<std::string, std::string>> {
                                 {"HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(500, 'x') + "\r\n"},
                                 {"HTTP/1.1 200 OK\r\nX-Field: ", std::string(500, 'x')},
                                 {"", "HTTP/1.1 100 Continue\r\nX-Field: " + std::string(500, 'x') + "\r\n\r\n"},
                                 {"", std::string(500, 'x')}}) {
                            auto sent = std::make_shared<std::atomic<std::size_t>>(0);
                            auto done = std::make_shared<std::atomic<bool>>(false);
                            const auto peer = RawServer([sent, done, start = start, repeated = repeated](int socket) {
                                readUntil(socket, "\r\n\r\n");
                                sendText(socket, start);
                                *sent = sendWithoutEnd(socket, repeated, manyBytes);
                                *done = true;
                            });
                            const auto request = ClientRequest {.url_ = peer.url(), .timeout_ = 20s};
                            auto exchange = Exchange(request);
                            const auto head = exchange.head(Clock::now() + 10s);
                            check(!head && head.failure().step_ != "wait", "the head fails before the deadline");
                            while (!*done) {
                                std::this_thread::sleep_for(5ms);
                            }
                            check(*sent < manyBytes / 4, std::to_string(*sent) + " bytes were sent");
                        }
                    }),
                // Guards against a body that fills the memory.
                test("is cut off in a body beyond the limit of the call",
                    [] {
                        const auto peer = RawServer([](int socket) {
                            readUntil(socket, "\r\n\r\n");
                            sendText(socket, "HTTP/1.1 200 OK\r\n\r\n");
                            sendWithoutEnd(socket, std::string(4'096, 'x'), manyBytes);
                        });
                        const auto response = fetch({.url_ = peer.url(), .maximumBodyBytes_ = 1U << 20U});
                        check(!response && response.failure().step_ == "receive");
                        check(
                            response.failure().reason_.find("limit") != std::string::npos, response.failure().reason_);
                        check(response.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
    }};

} // namespace
