#include <atomic>
#include <future>

#include <fmt/format.h>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// How long an upstream waits if its test fails before it releases it.
constexpr auto maximumWait = std::chrono::seconds(40);
const auto leaving = http::HeaderField {.name_ = "Leaving", .value_ = "1"};

auto send(const FrontendFixture &fixture, const std::string &path = "/once/") -> http::ClientResponse
{
    const auto response = http::fetch({.method_ = "POST",
        .url_ = fixture.url(path),
        .headers_ = FrontendFixture::requestFields("r1"),
        .retryable_ = false});
    check(bool(response), response ? "" : toString(response.failure()));
    return *response;
}

// An upstream that counts its requests and is not registered yet.
class CountingUpstream
{
public:
    explicit CountingUpstream(
        const std::function<auto(const http::Request &request, int number)->http::Response> &answer)
        : requests_(std::make_shared<std::atomic<int>>(0))
        , server_(*http::Server::start({}, [requests = requests_, answer](const http::Request &request) {
            return answer(request, ++*requests);
        }))
    {
    }

    auto address() const -> std::string
    {
        return fmt::format("127.0.0.1:{}", server_->port());
    }

    auto requests() const -> int
    {
        return *requests_;
    }

private:
    std::shared_ptr<std::atomic<int>> requests_;
    std::shared_ptr<http::Server> server_;
};

auto withField(const http::BufferedResponse &response, const http::HeaderField &field) -> http::BufferedResponse
{
    auto fields = response.headers_;
    fields.push_back(field);
    return {.status_ = response.status_, .headers_ = fields, .body_ = response.body_};
}

// Returns a refusal by an upstream that wants no requests for this time.
auto refusal(const http::Request &request, Milliseconds time) -> http::BufferedResponse
{
    const auto notRun = withField(authenticResponse(request, 503, ""), {.name_ = "Not-Run", .value_ = "1"});
    return withField(notRun, {.name_ = "Wait-Ms", .value_ = std::to_string(time.count())});
}

auto retryAfterOf(const http::ClientResponse &response) -> double
{
    return std::stod(response.headers_.at("retry-after"));
}

// Returns an upstream whose first response has this text before its end, and whose later ones are complete.
auto rawUpstream(const std::string &firstResponse) -> std::unique_ptr<testbench::RawServer>
{
    return std::make_unique<testbench::RawServer>([firstResponse, first = std::make_shared<std::atomic<bool>>(true)](
                                                      int socket) {
        testbench::readUntil(socket, "\r\n\r\n");
        testbench::sendText(socket,
            first->exchange(false) ? firstResponse
                                   : "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n");
    });
}

// Returns the status of the second request to an upstream that sent this response to the first one.
auto statusAfter(const std::string &firstResponse) -> int
{
    auto fixture = FrontendFixture();
    const auto upstream = rawUpstream(firstResponse);
    fixture.registerUpstream("a", upstream->address(), "ready");
    static_cast<void>(send(fixture));
    return send(fixture).status_;
}

const testkit::TestSuite suite = {"an upstream that takes no new requests",
    {
        section("since it said with a response that it leaves",
            {
                // Guards against work that is sent to an upstream which is about to end, and is lost with it.
                test("gets none whatever its entry says meanwhile, until it restarts",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto upstream = CountingUpstream([](const http::Request &request, int number) {
                            return number > 1 ? authenticResponse(request, 200, "")
                                              : withField(authenticResponse(request, 404, ""), leaving);
                        });
                        fixture.registerUpstream("a", upstream.address(), "ready 7");
                        check(send(fixture).status_ == 404);
                        for (const auto *state : {"leaving 7", "ready 7"}) {
                            fixture.registerUpstream("a", upstream.address(), state);
                            const auto refused = send(fixture);
                            check(refused.status_ == 503 && refused.headers_.contains("retry-after"),
                                fmt::format("status {} in state {}", refused.status_, state));
                        }
                        check(upstream.requests() == 1);
                        fixture.registerUpstream("a", upstream.address(), "ready 8");
                        waitUntil(
                            [&fixture] {
                                return send(fixture).status_ == 200;
                            },
                            "the new incarnation is used");
                    }),
                // Guards against the word being read only when the response is complete, and against a stream that is
                // cut because its upstream leaves.
                test("gets none from the head of a stream on, and completes the stream",
                    [] {
                        auto fixture = FrontendFixture();
                        auto release = std::promise<void>();
                        const auto upstream
                            = CountingUpstream([released = release.get_future().share()](
                                                   const http::Request &request, int /*number*/) -> http::Response {
                                  auto head = withField(authenticResponse(request, 200, ""), leaving).headers_;
                                  head.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
                                  return http::StreamResponse {.status_ = 200,
                                      .headers_ = head,
                                      .nextEvent_ = [released, step = 0]() mutable -> http::StreamEvent {
                                          if (step == 1) {
                                              released.wait_for(maximumWait);
                                          }
                                          return step++ < 2 ? http::StreamEvent(http::Chunk {.data_ = "data: a\n\n"})
                                                            : http::StreamEvent(http::EndOfStream {});
                                      }};
                              });
                        fixture.registerUpstream("a", upstream.address(), "ready");
                        auto stream = std::async(std::launch::async, [&fixture] {
                            return send(fixture, "/stream/");
                        });
                        waitUntil(
                            [&fixture] {
                                return fixture.metrics().find("unavailable_upstreams_total{reason=\"leaving\"} 1")
                                    != std::string::npos;
                            },
                            "the head was read");
                        check(send(fixture).status_ == 503);
                        release.set_value();
                        check(stream.get().body_ == "data: a\n\ndata: a\n\n");
                        check(upstream.requests() == 1);
                    }),
                // Guards against a sound upstream that is left unused for the word of another one, or for bytes that
                // belong to no request.
                test("is not meant by a response to another request, an interim response or one of no service",
                    [] {
                        check(statusAfter("HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r0\r\nLeaving: 1\r\n"
                                          "Content-Length: 0\r\n\r\n")
                            == 200);
                        check(statusAfter("HTTP/1.1 103 Early Hints\r\nLeaving: 1\r\n\r\nHTTP/1.1 200 OK\r\n"
                                          "Genuine: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
                            == 200);
                        check(statusAfter("HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n") == 200);
                    }),
                // Guards against an upstream that is left unused because another one, which has its old address,
                // leaves.
                test("is not meant by the response of another upstream at its address",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto other = CountingUpstream([](const http::Request &request, int /*number*/) {
                            return withField(authenticResponse(request, 421, ""), leaving);
                        });
                        const auto upstream = CountingUpstream([](const http::Request &request, int /*number*/) {
                            return authenticResponse(request, 200, "");
                        });
                        fixture.registerUpstream("a", other.address(), "ready");
                        check(send(fixture).status_ == 503 && other.requests() == 1);
                        fixture.registerUpstream("a", upstream.address(), "ready");
                        waitUntil(
                            [&fixture] {
                                return send(fixture).status_ == 200;
                            },
                            "the upstream is used at its new address");
                    }),
            }),
        section("since it refused one and asked for none within a time",
            {
                // Guards against requests that reach an overloaded upstream because another one of its responses was
                // good, and against callers that wait for it or are told to return too early.
                test("gets none before its end, though it completes an earlier request; others are used, or none",
                    [] {
                        auto fixture = FrontendFixture();
                        auto release = std::promise<void>();
                        const auto upstream
                            = CountingUpstream([released = release.get_future().share()](
                                                   const http::Request &request, int number) -> http::Response {
                                  if (number == 1) {
                                      released.wait_for(maximumWait);
                                      return authenticResponse(request, 200, "");
                                  }
                                  return refusal(request, Milliseconds(20'000));
                              });
                        fixture.registerUpstream("a", upstream.address(), "ready");
                        auto first = std::async(std::launch::async, [&fixture] {
                            return send(fixture);
                        });
                        waitUntil(
                            [&upstream] {
                                return upstream.requests() == 1;
                            },
                            "the upstream has a request");
                        const auto refused = send(fixture);
                        check(refused.status_ == 503 && retryAfterOf(refused) > 10 && retryAfterOf(refused) <= 25,
                            "retry after " + refused.headers_.at("retry-after"));
                        release.set_value();
                        check(first.get().status_ == 200);
                        const auto refusedLater = send(fixture);
                        check(refusedLater.status_ == 503 && retryAfterOf(refusedLater) > 5,
                            fmt::format("status {}", refusedLater.status_));
                        check(upstream.requests() == 2);
                        const auto other = CountingUpstream([](const http::Request &request, int /*number*/) {
                            return authenticResponse(request, 200, "");
                        });
                        fixture.registerUpstream("b", other.address(), "ready");
                        check(send(fixture).status_ == 200 && send(fixture).status_ == 200);
                        check(upstream.requests() == 2);
                    }),
                // Guards against an upstream that is not used again, and against one that is used too early.
                test("gets them again after it, not before",
                    [] {
                        constexpr auto time = Milliseconds(400);
                        auto fixture = FrontendFixture();
                        auto refusedAt = TimePoint();
                        auto returnedAt = TimePoint();
                        const auto upstream
                            = CountingUpstream([&](const http::Request &request, int number) -> http::Response {
                                  (number == 1 ? refusedAt : returnedAt) = Clock::now();
                                  return number == 1 ? refusal(request, time) : authenticResponse(request, 200, "");
                              });
                        fixture.registerUpstream("a", upstream.address(), "ready");
                        waitUntil(
                            [&fixture] {
                                return send(fixture).status_ == 200;
                            },
                            "the upstream is used again");
                        check(returnedAt - refusedAt >= time);
                    }),
            }),
    }};

} // namespace
