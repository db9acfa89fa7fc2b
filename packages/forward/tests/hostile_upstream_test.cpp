#include <algorithm>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "frontend_fixture.h"
#include "jasminewood/forward/frontend.h"
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
// Ends the sending of an upstream that nobody cuts off.
constexpr std::size_t manyBytes = 64U << 20U;

// Returns what the n-th call for data of a stream yields, counted from 0.
using StreamScript = std::function<auto(int step)->http::StreamEvent>;

// Counts the requests that an upstream ran and the bytes that it sent.
struct UpstreamCounts
{
    std::atomic<int> runs_ = 0;
    std::atomic<std::size_t> bytes_ = 0;
};

auto eventStream(const http::Request &request, const std::shared_ptr<UpstreamCounts> &counts,
    const StreamScript &script) -> http::Response
{
    ++counts->runs_;
    auto fields = authenticResponse(request, 200, "").headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    return http::StreamResponse {
        .status_ = 200, .headers_ = fields, .nextEvent_ = [counts, script, step = 0]() mutable -> http::StreamEvent {
            auto event = script(step++);
            if (const auto *chunk = std::get_if<http::Chunk>(&event)) {
                counts->bytes_ += chunk->data_.size();
            }
            return event;
        }};
}

// Adds two upstreams. The one that is asked first sends a stream by the script; the other one continues it with the
// second event.
auto addStreamUpstreams(FrontendFixture &fixture, const StreamScript &script) -> std::shared_ptr<UpstreamCounts>
{
    const auto counts = std::make_shared<UpstreamCounts>();
    for (const auto *id : {"a", "b"}) {
        fixture.addUpstream(id, [counts, script](const http::Request &request) -> http::Response {
            if (request.headers_.at("resume-after") == "1") {
                return eventStream(request, counts, [](int step) -> http::StreamEvent {
                    return step == 0 ? http::StreamEvent(http::Chunk {.data_ = secondEvent})
                                     : http::StreamEvent(http::EndOfStream {});
                });
            }
            return eventStream(request, counts, script);
        });
    }
    return counts;
}

auto get(const FrontendFixture &fixture, const std::string &path) -> Result<http::ClientResponse>
{
    return http::fetch(
        {.url_ = fixture.url(path), .headers_ = FrontendFixture::requestFields("r1"), .retryable_ = false});
}

// Registers an upstream whose responses have neither a length nor chunks and end with their connection.
auto addUnframedUpstream(FrontendFixture &fixture, const std::string &id, const std::string &type,
    const std::string &body) -> std::unique_ptr<testbench::RawServer>
{
    auto server = std::make_unique<testbench::RawServer>([type, body](int socket) {
        const auto head = testbench::readUntil(socket, "\r\n\r\n");
        const auto resumes = head.find("Resume-After: 1") != std::string::npos;
        testbench::sendText(socket,
            "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r1\r\nContent-Type: " + type + "\r\n\r\n"
                + (resumes ? secondEvent : body));
    });
    fixture.registerUpstream(id, server->address(), "ready");
    return server;
}

// Callers that wait, all at once, for responses of an upstream that sends so much to each and then falls silent.
class CallersOfEndlessResponses
{
public:
    CallersOfEndlessResponses(
        FrontendFixture &fixture, int count, const std::string &path, const std::string &type, std::size_t bytes)
    {
        fixture.addUpstream("a", [this, count, type, bytes](const http::Request &request) -> http::Response {
            auto fields = authenticResponse(request, 200, "").headers_;
            fields.push_back({.name_ = "Content-Type", .value_ = type});
            ++asked_;
            return http::StreamResponse {
                .status_ = 200, .headers_ = fields, .nextEvent_ = [this, count, left = bytes]() mutable {
                    return next(count, left);
                }};
        });
        for (auto index = 0; index < count; ++index) {
            callers_.push_back(std::async(std::launch::async, [url = fixture.url(path)] {
                const auto response = http::fetch({.url_ = url,
                    .headers_ = FrontendFixture::requestFields("r1"),
                    .retryable_ = false,
                    .ownConnection_ = true});
                return response && response->status_ == 200;
            }));
        }
    }

    ~CallersOfEndlessResponses()
    {
        released_ = true;
    }

    CallersOfEndlessResponses(const CallersOfEndlessResponses &) = delete;
    auto operator=(const CallersOfEndlessResponses &) -> CallersOfEndlessResponses & = delete;

    // Waits until at most so many callers still wait, long before the timeout of their requests.
    auto awaitWaiting(std::ptrdiff_t maximum) -> void
    {
        const auto startedAt = Clock::now();
        waitUntil(
            [this, maximum] {
                return std::count_if(callers_.begin(), callers_.end(), [](const auto &caller) {
                    return caller.wait_for(0s) != std::future_status::ready;
                }) <= maximum;
            },
            "responses are cut off");
        check(Clock::now() - startedAt < 10s, "the requests have not reached their timeout");
    }

    // Lets the responses that were not cut off end. Returns how many there were.
    auto complete() -> std::ptrdiff_t
    {
        released_ = true;
        return std::count_if(callers_.begin(), callers_.end(), [](auto &caller) {
            return caller.get();
        });
    }

private:
    auto next(int count, std::size_t &left) -> http::StreamEvent
    {
        constexpr std::size_t chunkBytes = 32U << 10U;
        while (!released_ && (asked_ < count || left == 0)) {
            std::this_thread::sleep_for(5ms);
        }
        if (left == 0) {
            return http::EndOfStream {};
        }
        const auto size = std::min(left, chunkBytes);
        left -= size;
        return http::Chunk {.data_ = std::string(size, 'x')};
    }

    std::atomic<bool> released_ = false;
    std::atomic<int> asked_ = 0;
    std::vector<std::future<bool>> callers_;
};

const testkit::TestSuite suite = {"an upstream in trouble",
    {
        section("whose responses end with their connection",
            {
                // Guards against a response that is refused because it states no length.
                test("has whole ones passed on",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto plain = addUnframedUpstream(fixture, "a", "text/plain", "whole");
                        const auto response = get(fixture, "/once/");
                        check(response && response->status_ == 200 && response->body_ == "whole");
                    }),
                test("has a whole stream passed on",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto events = std::string(firstEvent) + secondEvent;
                        const auto stream = addUnframedUpstream(fixture, "a", "text/event-stream", events);
                        const auto response = get(fixture, "/stream/");
                        check(response && response->body_ == events);
                    }),
                // Guards against a stream that appears complete although it was broken off inside an event.
                test("has a stream that ends inside an event aborted",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto stream = addUnframedUpstream(
                            fixture, "a", "text/event-stream", std::string(firstEvent) + "id: 2\ndata: b\n");
                        check(!get(fixture, "/stream/"));
                    }),
                test("has it resumed by another upstream if the route allows that",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto cutEvents = std::string(firstEvent) + "id: 2\nda";
                        const auto first = addUnframedUpstream(fixture, "a", "text/event-stream", cutEvents);
                        const auto second = addUnframedUpstream(fixture, "b", "text/event-stream", cutEvents);
                        const auto response = get(fixture, "/resumable/");
                        check(response && response->body_ == std::string(firstEvent) + secondEvent);
                    }),
            }),
        section("whose stream is slow but sound",
            {
                // Guards against a stream that is cut and computed again although its route allows longer pauses.
                test("completes it",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto counts = addStreamUpstreams(fixture, [](int step) -> http::StreamEvent {
                            if (step == 1) {
                                std::this_thread::sleep_for(1'600ms);
                            }
                            return step == 0 ? http::StreamEvent(http::Chunk {.data_ = firstEvent})
                                : step == 1  ? http::StreamEvent(http::Chunk {.data_ = secondEvent})
                                             : http::StreamEvent(http::EndOfStream {});
                        });
                        const auto response = get(fixture, "/patient/");
                        check(response && response->body_ == std::string(firstEvent) + secondEvent);
                        check(counts->runs_ == 1, "the stream ran once");
                    }),
            }),
        section("whose stream stalls but sends a comment now and then",
            {
                // Guards against a stream that never ends because single bytes count as progress.
                test("has it resumed by another upstream if the route allows that",
                    [] {
                        auto fixture = FrontendFixture();
                        static_cast<void>(addStreamUpstreams(fixture, [](int step) -> http::StreamEvent {
                            if (step == 0) {
                                return http::Chunk {.data_ = firstEvent};
                            }
                            std::this_thread::sleep_for(300ms);
                            return step < 40 ? http::StreamEvent(http::Chunk {.data_ = ": alive\n\n"})
                                             : http::StreamEvent(http::AbortStream {});
                        }));
                        const auto startedAt = Clock::now();
                        const auto response = get(fixture, "/resumable/");
                        check(response && response->body_.ends_with(secondEvent));
                        check(Clock::now() - startedAt < 3s, "the stream is resumed after the stall timeout");
                    }),
                // Guards against a thread and a caller that wait for such a stream until its deadline.
                test("has it aborted if it may not be resumed",
                    [] {
                        auto fixture = FrontendFixture(
                            sampleConfiguration(), std::nullopt, FrontendOptions {.streamStallTimeout_ = 1'000ms});
                        static_cast<void>(addStreamUpstreams(fixture, [](int step) -> http::StreamEvent {
                            std::this_thread::sleep_for(step == 0 ? 0ms : 100ms);
                            return http::Chunk {.data_ = step == 0 ? firstEvent : ":"};
                        }));
                        const auto startedAt = Clock::now();
                        check(!get(fixture, "/stream/"));
                        check(Clock::now() - startedAt < 3s, "the stream ends after the stall timeout");
                    }),
            }),
        section("that sends bytes without end",
            {
                // Guards against a response that fills the memory of the router.
                test("in a response has the request retried at another upstream",
                    [] {
                        auto fixture = FrontendFixture(
                            sampleConfiguration(), std::nullopt, FrontendOptions {.maximumResponseBytes_ = 1U << 20U});
                        const auto counts = std::make_shared<UpstreamCounts>();
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [counts](const http::Request &request) -> http::Response {
                                if (counts->runs_++ > 0) {
                                    return authenticResponse(request, 200, "done");
                                }
                                return http::StreamResponse {.status_ = 200,
                                    .headers_ = authenticResponse(request, 200, "").headers_,
                                    .nextEvent_ = [counts]() -> http::StreamEvent {
                                        counts->bytes_ += 4'096;
                                        return counts->bytes_ < manyBytes
                                            ? http::StreamEvent(http::Chunk {.data_ = std::string(4'096, 'x')})
                                            : http::StreamEvent(http::EndOfStream {});
                                    }};
                            });
                        }
                        const auto response = get(fixture, "/again/");
                        check(response && response->body_ == "done");
                        check(counts->bytes_ < manyBytes / 2, std::to_string(counts->bytes_) + " bytes were sent");
                    }),
                // Guards against an event that fills the memory of the router.
                test("in an event has the stream resumed by another upstream",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto counts = addStreamUpstreams(fixture, [](int step) -> http::StreamEvent {
                            return step == 0 ? http::StreamEvent(http::Chunk {.data_ = firstEvent})
                                : step < int(manyBytes / 4'096)
                                ? http::StreamEvent(http::Chunk {.data_ = std::string(4'096, 'x')})
                                : http::StreamEvent(http::EndOfStream {});
                        });
                        const auto response = get(fixture, "/resumable/");
                        check(bool(response), response ? "" : toString(response.failure()));
                        check(response->body_ == std::string(firstEvent) + secondEvent,
                            std::to_string(response->body_.size()) + " bytes: " + response->body_.substr(0, 200));
                        check(counts->bytes_ < manyBytes / 2, std::to_string(counts->bytes_) + " bytes were sent");
                    }),
            }),
        section("that sends bytes to many callers at once",
            {
                // Guards against responses that together fill the memory of the router although none exceeds its limit.
                test("in responses has all but a few cut off, and another upstream has none",
                    [] {
                        auto fixture = FrontendFixture();
                        auto callers = CallersOfEndlessResponses(fixture, 12, "/once/", "text/plain", 7U << 20U);
                        callers.awaitWaiting(2);
                        const auto address = fixture.upstreams().pool().recordOf("a")->address_;
                        fixture.registerUpstream("a", address, "leaving");
                        const auto large = std::string(1U << 20U, 'y');
                        fixture.addUpstream("b", [&large](const http::Request &request) -> http::Response {
                            return authenticResponse(request, 200, large);
                        });
                        const auto response = get(fixture, "/once/");
                        check(response && response->status_ == 200 && response->body_ == large);
                        check(callers.complete() >= 1, "one of the large responses is passed on");
                    }),
                // Guards against the same in the events of streams.
                test("in events has all but a few streams broken off",
                    [] {
                        auto fixture = FrontendFixture();
                        auto callers
                            = CallersOfEndlessResponses(fixture, 40, "/resumable/", "text/event-stream", 1'000'000);
                        callers.awaitWaiting(16);
                    }),
            }),
        section("that states a length above the limit",
            {
                // Guards against reading a response that cannot be passed on.
                test("has its response refused before it is read",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto server = testbench::RawServer([](int socket) {
                            static_cast<void>(testbench::readUntil(socket, "\r\n\r\n"));
                            testbench::sendText(socket,
                                "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r1\r\n"
                                "Content-Length: 1099511627776\r\n\r\nx");
                            // Returns when the router closes the connection.
                            static_cast<void>(testbench::readUntil(socket, "\r\n\r\n"));
                        });
                        fixture.registerUpstream("a", server.address(), "ready");
                        const auto startedAt = Clock::now();
                        const auto response = get(fixture, "/once/");
                        check(response && response->status_ == 502);
                        check(Clock::now() - startedAt < 5s, "the response is refused at once");
                    }),
            }),
        section("that sends a second copy of a response, late, on a kept connection",
            {
                // Guards against a caller that gets the response to another request, and against a good request that
                // fails for it.
                test("serves the next caller all the same",
                    [] {
                        auto fixture = FrontendFixture();
                        const auto peer = testbench::RawServer([](int socket) {
                            for (auto head = testbench::readUntil(socket, "\r\n\r\n"); !head.empty();
                                 head = testbench::readUntil(socket, "\r\n\r\n")) {
                                const auto field = head.find("Request-Id: ");
                                const auto id = head.substr(field + 12, head.find('\r', field) - field - 12);
                                const auto response = "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: " + id
                                    + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
                                testbench::sendText(socket, response);
                                std::this_thread::sleep_for(30ms);
                                testbench::sendText(socket, response);
                            }
                        });
                        fixture.registerUpstream("a", peer.address(), "ready");
                        for (const auto *id : {"r1", "r2", "r3"}) {
                            const auto response = http::fetch({.method_ = "POST",
                                .url_ = fixture.url("/once/"),
                                .headers_ = FrontendFixture::requestFields(id),
                                .retryable_ = false});
                            check(response && response->status_ == 200 && response->body_ == id, id);
                            std::this_thread::sleep_for(100ms);
                        }
                    }),
            }),
    }};

} // namespace
