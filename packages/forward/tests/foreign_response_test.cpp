#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto firstEvent = "id: 1\ndata: a\n\n";
constexpr auto secondEvent = "id: 2\ndata: b\n\n";

// Returns the value of a field of a request's head.
auto fieldOf(const std::string &head, const std::string &name) -> std::string
{
    const auto start = head.find(name + ": ");
    if (start == std::string::npos) {
        return "";
    }
    const auto valueStart = start + name.size() + 2;
    return head.substr(valueStart, head.find('\r', valueStart) - valueStart);
}

auto ownResponse(const std::string &id) -> std::string
{
    return "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(id.size())
        + "\r\n\r\n" + id;
}

auto refusal(const std::string &fields) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

// What two upstreams did with the requests of one test.
struct Runs
{
    std::mutex mutex_;
    std::map<std::string, int> byRequest_;
    int strayResponses_ = 0;
};

// Registers two upstreams that run every request. From the second request of a connection on, they write a stray
// response before their own.
class StrayUpstreams
{
public:
    StrayUpstreams(FrontendFixture &fixture, const std::string &strayResponse)
    {
        for (const auto *id : {"a", "b"}) {
            servers_.push_back(std::make_unique<testbench::RawServer>([this, strayResponse](int socket) {
                serve(socket, strayResponse);
            }));
            fixture.registerUpstream(id, servers_.back()->address(), "ready");
        }
    }

    auto runs() -> Runs &
    {
        return runs_;
    }

private:
    auto serve(int socket, const std::string &strayResponse) -> void
    {
        auto isFirst = true;
        for (auto head = testbench::readUntil(socket, "\r\n\r\n"); !head.empty();
             head = testbench::readUntil(socket, "\r\n\r\n")) {
            const auto id = fieldOf(head, "Request-Id");
            {
                const auto lock = std::scoped_lock(runs_.mutex_);
                ++runs_.byRequest_[id];
                runs_.strayResponses_ += isFirst ? 0 : 1;
            }
            testbench::sendText(socket, isFirst ? ownResponse(id) : strayResponse + ownResponse(id));
            isFirst = false;
        }
    }

    Runs runs_;
    std::vector<std::unique_ptr<testbench::RawServer>> servers_;
};

// Sends requests that must not repeat, and checks that each ran once and was not refused. Both upstreams stay in use.
auto checkStrayResponse(const std::string &strayResponse) -> void
{
    auto fixture = FrontendFixture();
    auto upstreams = StrayUpstreams(fixture, strayResponse);
    for (const auto *id : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
        const auto response = http::fetch({.method_ = "POST",
            .url_ = fixture.url("/once/"),
            .headers_ = FrontendFixture::requestFields(id),
            .retryable_ = false});
        check(bool(response), "an answer");
        const auto lock = std::scoped_lock(upstreams.runs().mutex_);
        check(upstreams.runs().byRequest_[id] == 1,
            strayResponse + id + " ran " + std::to_string(upstreams.runs().byRequest_[id]) + " times");
        check(response->status_ == 502 || (response->status_ == 200 && response->body_ == id),
            strayResponse + id + " ran and got status " + std::to_string(response->status_));
    }
    check(upstreams.runs().strayResponses_ > 0, "a stray response was sent");
}

// The body that a caller received, and whether it looked complete.
struct Received
{
    std::string body_;
    bool isComplete_ = false;
};

// Gets a stream whose upstreams send the first event and break off; each answers the resumed request with the given
// text.
auto resumedStream(const std::string &resumedResponse) -> Received
{
    auto fixture = FrontendFixture();
    auto servers = std::vector<std::unique_ptr<testbench::RawServer>>();
    for (const auto *id : {"a", "b"}) {
        servers.push_back(std::make_unique<testbench::RawServer>([resumedResponse](int socket) {
            const auto head = testbench::readUntil(socket, "\r\n\r\n");
            const auto resumes = fieldOf(head, "Resume-After") == "1";
            testbench::sendText(socket,
                resumes ? resumedResponse
                        : "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n\r\n"
                        + std::string(firstEvent) + "id: 2\nda");
        }));
        fixture.registerUpstream(id, servers.back()->address(), "ready");
    }
    auto received = Received();
    auto call = http::StreamCall();
    const auto status = call.perform({.url_ = fixture.url("/resumable/"),
                                         .headers_ = FrontendFixture::requestFields("r1"),
                                         .timeout_ = 10'000ms,
                                         .retryable_ = false},
        {}, [&received](std::string_view data) {
            received.body_.append(data);
            return true;
        });
    received.isComplete_ = bool(status);
    return received;
}

constexpr auto genuine = "Genuine: 1\r\nRequest-Id: r1\r\n";
constexpr auto eventStreamType = "Content-Type: text/event-stream\r\n";

const testkit::TestSuite suite = {"a response that belongs to no request or is none",
    {
        section("written once more on a kept connection, before the response to the next request",
            {
                // Guards against a request that is refused or run again although the upstream has run it.
                test("and refusing an earlier request without naming it is not believed",
                    [] {
                        checkStrayResponse(refusal(""));
                    }),
                test("and refusing an earlier request by its id is not believed",
                    [] {
                        checkStrayResponse(refusal("Request-Id: r0\r\n"));
                    }),
                // Guards against an upstream that is removed from the pool for what it said of an earlier request.
                test("and stating that an earlier request was misdirected is not believed",
                    [] {
                        const auto misdirected = std::string("HTTP/1.1 421 Misdirected Request\r\n");
                        checkStrayResponse(misdirected + "Content-Length: 0\r\n\r\n");
                        checkStrayResponse(misdirected + "Request-Id: r0\r\nContent-Length: 0\r\n\r\n");
                    }),
            }),
        section("that refuses the request on a new connection",
            {
                // Guards against an upstream without room that costs the caller its request.
                test("is believed, also if it is sent twice and names no request",
                    [] {
                        for (const auto *fields : {"", "Request-Id: r1\r\n"}) {
                            auto fixture = FrontendFixture();
                            const auto server = testbench::RawServer([fields](int socket) {
                                testbench::readUntil(socket, "\r\n\r\n");
                                testbench::sendText(socket, refusal(fields) + refusal(fields));
                                // Keeps the connection open until the peer closes it.
                                testbench::readUntil(socket, "\r\n\r\n");
                            });
                            fixture.registerUpstream("a", server.address(), "ready");
                            for (const auto *id : {"r1", "r1"}) {
                                const auto response = http::fetch({.method_ = "POST",
                                    .url_ = fixture.url("/once/"),
                                    .headers_ = FrontendFixture::requestFields(id),
                                    .retryable_ = false});
                                check(response && response->status_ == 503);
                            }
                        }
                    }),
            }),
        section("sent by the upstream that is to resume a stream",
            {
                // Guards against the text of an error in the middle of a stream, and against a stream that ends as
                // complete there.
                test("reaches no caller, and the stream does not end as complete",
                    [] {
                        const auto fields = std::string(genuine) + eventStreamType;
                        for (const auto &response : std::vector<std::string> {
                                 "HTTP/1.1 500 Internal Server Error\r\n" + fields + "\r\n" + secondEvent,
                                 "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + fields + "\r\nno room\n\n",
                                 "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad",
                                 "HTTP/1.1 200 OK\r\n" + std::string(genuine)
                                     + "Content-Type: text/plain\r\n\r\nother\n\n",
                                 "HTTP/1.1 200 OK\r\n" + std::string(eventStreamType) + "\r\n" + secondEvent,
                                 "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r0\r\n" + std::string(eventStreamType)
                                     + "\r\n" + secondEvent,
                                 "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", "HTTP/1.1 200 OK\r\n" + fields,
                                 "HTTP/1.1 200 OK\r\n" + fields + "X-Fie", "HTTP/1.1 100 Continue\r\n\r\n",
                                 "id: 2\ndata: b\n\n", "",
                                 "HTTP/1.1 200 OK\r\n" + fields
                                     + "Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 503 Busy\r\n\r\nno room\n\n",
                                 "HTTP/1.1 200 OK\r\n" + fields + "\r\ndata: cut off"}) {
                            const auto received = resumedStream(response);
                            check(received.body_ == firstEvent, response + "gave: " + received.body_);
                            check(!received.isComplete_, response + "ended the stream as complete");
                        }
                    }),
                // Guards against a sound stream that is broken off for bytes that belong to no request.
                test("behind a whole rest of the stream is dropped",
                    [] {
                        const auto received = resumedStream("HTTP/1.1 200 OK\r\n" + std::string(genuine)
                            + eventStreamType + "Content-Length: " + std::to_string(std::string(secondEvent).size())
                            + "\r\n\r\n" + secondEvent + refusal(""));
                        check(received.isComplete_ && received.body_ == std::string(firstEvent) + secondEvent,
                            received.body_);
                    }),
                // Guards against events that reach the caller twice because the upstream starts again.
                test("and repeating events that the caller has is not joined to the stream",
                    [] {
                        const auto received = resumedStream("HTTP/1.1 200 OK\r\n" + std::string(genuine)
                            + eventStreamType + "\r\n" + firstEvent + secondEvent);
                        check(received.body_ == firstEvent && !received.isComplete_, received.body_);
                    }),
            }),
    }};

} // namespace
