#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/socket.h>

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

constexpr auto events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::size_t longUploadBytes = 3'000'000;

// The fields by which a response is known as that of the request "r1".
constexpr auto ownFields = "Genuine: 1\r\nRequest-Id: r1\r\n";

// Returns the lines behind a malformed one, and the body.
auto restOfResponse() -> std::string
{
    return "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(std::string_view(events).size())
        + "\r\n\r\n" + events;
}

auto withStatusLine(const std::string &line) -> std::string
{
    return line + "\r\n" + ownFields + restOfResponse();
}

auto withFieldName(const std::string &name) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + std::string(ownFields) + name + ": a\r\n" + restOfResponse();
}

// Responses that a client must not get.
auto malformedResponses() -> std::vector<std::string>
{
    return {withStatusLine("HTTP/1.1 000 OK"), withStatusLine("HTTP/1.1 600 OK"), withStatusLine("HTTP/1.1  200 OK"),
        withFieldName("X Field"), withFieldName("X\x01Name"), withFieldName("X-Field "),
        withFieldName("Content Length"), "HTTP/1.1 101 Switching Protocols\r\n" + std::string(ownFields) + "\r\n"};
}

// An upstream that sends one response to all requests.
class RawUpstream
{
public:
    RawUpstream(FrontendFixture &fixture, const std::string &id, const std::string &response)
        : server_([this, response](int socket) {
            while (!testbench::readUntil(socket, "\r\n\r\n").empty()) {
                ++requests_;
                testbench::sendText(socket, response);
            }
        })
    {
        fixture.registerUpstream(id, server_.address(), "ready");
    }

    auto requests() const -> int
    {
        return requests_;
    }

private:
    std::atomic<int> requests_ = 0;
    testbench::RawServer server_;
};

auto addSoundUpstream(FrontendFixture &fixture, const std::string &id) -> void
{
    fixture.addUpstream(id, [](const http::Request &request) -> http::Response {
        auto fields = authenticResponse(request, 200, "").headers_;
        fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
        return http::BufferedResponse {.status_ = 200, .headers_ = fields, .body_ = events};
    });
}

auto send(const FrontendFixture &fixture, const std::string &path, const http::Body &body = {})
    -> Result<http::ClientResponse>
{
    return http::fetch({.method_ = body.empty() ? "GET" : "POST",
        .url_ = fixture.url(path),
        .headers_ = FrontendFixture::requestFields("r1"),
        .body_ = body,
        .retryable_ = false});
}

const testkit::TestSuite malformedHeads = {"an upstream that sends malformed heads",
    {
        section("and is the only one",
            {
                // Guards against a caller that gets a malformed response, or waits for its end.
                test("has its caller answered with 502 at once, on each route",
                    [] {
                        for (const auto &malformed : malformedResponses()) {
                            auto fixture = FrontendFixture();
                            const auto upstream = RawUpstream(fixture, "a", malformed);
                            for (const auto *path : {"/once/", "/again/", "/stream/", "/resumable/"}) {
                                const auto startedAt = Clock::now();
                                const auto response = send(fixture, path);
                                check(response && (response->status_ == 502 || response->status_ == 503),
                                    path + malformed);
                                check(Clock::now() - startedAt < 5s, path + malformed);
                            }
                            check(upstream.requests() > 0, malformed);
                        }
                    }),
                // Guards against an operator who can't tell what was wrong.
                test("has the rule and the byte named to the caller",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto upstream = RawUpstream(fixture, "a", withFieldName("X Field"));
                        const auto response = send(fixture, "/once/");
                        check(response && response->status_ == 502);
                        check(response->body_.find("field name: byte 0x20 at offset 1 (X Field)") != std::string::npos,
                            response->body_);
                    }),
            }),
        section("beside a sound one",
            {
                // Guards against a request that runs twice although its route forbids that.
                test("has requests sent to the sound one only where they may run again",
                    [] {
                        for (const auto &malformed : malformedResponses()) {
                            auto fixture = FrontendFixture();
                            const auto first = RawUpstream(fixture, "a", malformed);
                            check(send(fixture, "/once/")->status_ == 502, malformed);
                            addSoundUpstream(fixture, "b");
                            for (const auto *path : {"/again/", "/resumable/"}) {
                                const auto response = send(fixture, path);
                                check(response && response->status_ == 200 && response->body_ == events,
                                    path + malformed);
                            }
                        }
                    }),
                // Guards against an upstream that costs every second request an attempt.
                test("is put aside after its first failure",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto upstream = RawUpstream(fixture, "a", withFieldName("X Field"));
                        addSoundUpstream(fixture, "b");
                        constexpr int requests = 40;
                        auto whole = 0;
                        for (auto request = 0; request < requests; ++request) {
                            const auto response = send(fixture, "/once/");
                            whole += response && response->status_ == 200 ? 1 : 0;
                        }
                        check(upstream.requests() <= requests / 4,
                            std::to_string(upstream.requests()) + " requests were sent to it");
                        check(whole + upstream.requests() == requests, std::to_string(whole) + " complete responses");
                    }),
            }),
    }};

const testkit::TestSuite malformedTrailers = {"an upstream that sends a malformed trailer",
    {
        // Guards against a response that looks complete to its caller although its end is broken.
        test("has no response and no stream passed on as complete",
            [] {
                for (const auto *type : {"text/plain", "text/event-stream"}) {
                    auto fixture = FrontendFixture();
                    const auto upstream = RawUpstream(fixture, "a",
                        "HTTP/1.1 200 OK\r\n" + std::string(ownFields) + "Content-Type: " + type
                            + "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\nX Field: "
                              "a\r\n\r\n");
                    const auto response = send(fixture, type == std::string("text/plain") ? "/once/" : "/stream/");
                    check(!response || response->status_ == 502, type);
                }
            }),
    }};

const testkit::TestSuite cutResponses = {"an upstream that resets the connection in an early response to an upload",
    {
        // Guards against a part of a response that is taken for the whole.
        test("has its caller answered with 502 or a response of another upstream",
            [] {
                for (const auto delay : {0ms, 1ms, 10ms, 50ms}) {
                    for (const auto finishesFirst : {false, true}) {
                        auto fixture = FrontendFixture();
                        const auto upstream = testbench::RawServer([delay, finishesFirst](int socket) {
                            testbench::readUntil(socket, "\r\n\r\n");
                            testbench::sendText(socket, "HTTP/1.1 200 OK\r\n" + std::string(ownFields) + "\r\npart");
                            std::this_thread::sleep_for(delay);
                            if (finishesFirst) {
                                shutdown(socket, SHUT_WR);
                            }
                            testbench::resetConnection(socket);
                        });
                        fixture.registerUpstream("a", upstream.address(), "ready");
                        const auto upload = http::Body(std::string(longUploadBytes, 'u'));
                        const auto only = send(fixture, "/once/", upload);
                        check(only && only->status_ == 502, only ? std::to_string(only->status_) : "no response");
                        addSoundUpstream(fixture, "b");
                        const auto retried = send(fixture, "/again/", upload);
                        check(retried && retried->status_ == 200 && retried->body_ == events);
                    }
                }
            }),
    }};

} // namespace
