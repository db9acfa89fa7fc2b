#include <atomic>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "frontend_fixture.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testbench::connectTo;
using jasminewood::testbench::readToEnd;
using jasminewood::testbench::readUntil;
using jasminewood::testbench::sendText;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Requests in flight end after 4 s; there is ample time for their responses.
constexpr auto periods = StopPeriods {
    .notice_ = Milliseconds(3'000), .grace_ = Milliseconds(30'000), .finalResponses_ = Milliseconds(26'000)};
constexpr auto requestTime = periods.grace_ - periods.finalResponses_;
constexpr auto longTimeout = Milliseconds(60'000);
constexpr auto shortTimeout = Milliseconds(1'000);
// Ends the body of a stream that is complete.
constexpr auto endOfBody = "\r\n0\r\n\r\n";

auto requestText(const std::string &path, Milliseconds timeout) -> std::string
{
    return "POST " + path + " HTTP/1.1\r\nHost: shop\r\nRequest-Id: " + path + "\r\nKey: " + sampleApiKey
        + "\r\nPatience-Ms: " + std::to_string(timeout.count()) + "\r\nContent-Length: 0\r\n\r\n";
}

// Sends a request and returns everything that arrives until the connection is closed.
auto call(int socket, const std::string &path, Milliseconds timeout) -> std::future<std::string>
{
    sendText(socket, requestText(path, timeout));
    return std::async(std::launch::async, [socket] {
        auto text = readToEnd(socket).text_;
        close(socket);
        return text;
    });
}

auto eventStream(const http::Request &request) -> http::Response
{
    auto fields = authenticResponse(request, 200, "").headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    return http::StreamResponse {
        .status_ = 200, .headers_ = fields, .nextEvent_ = [step = 0]() mutable -> http::StreamEvent {
            std::this_thread::sleep_for(50ms);
            return http::Chunk {.data_ = "id: " + std::to_string(++step) + "\ndata: piece\n\n"};
        }};
}

// A frontend with one upstream, which works on requests for ".../slow" until their connection is closed.
struct StoppingFrontend
{
    FrontendFixture fixture_;
    std::atomic<int> slowRuns_ = 0;
    std::future<bool> drained_;

    StoppingFrontend()
    {
        fixture_.addUpstream("a", [this](const http::Request &request) -> http::Response {
            if (!request.path_.ends_with("/slow")) {
                return authenticResponse(request, 200, "done");
            }
            ++slowRuns_;
            if (request.path_.starts_with("/stream/") || request.path_.starts_with("/resumable/")) {
                return eventStream(request);
            }
            while (!request.callerDisconnected_()) {
                std::this_thread::sleep_for(5ms);
            }
            return authenticResponse(request, 200, "late");
        });
    }

    // Returns a connection on which a request was answered.
    auto keptConnection() const -> int
    {
        const auto socket = connectTo(fixture_.port());
        sendText(socket, requestText("/again/quick", longTimeout));
        readUntil(socket, "done");
        return socket;
    }

    // Starts the stop, after which the process would end, and returns during its notice period.
    auto startStop() -> void
    {
        drained_ = std::async(std::launch::async, [this] {
            const auto allCompleted = fixture_.frontend().drain(periods);
            fixture_.frontend().stop();
            return allCompleted;
        });
        waitUntil(
            [this] {
                const auto socket = connectTo(fixture_.port());
                sendText(socket, requestText("/again/quick", shortTimeout));
                const auto head = readUntil(socket, "\r\n\r\n");
                close(socket);
                return head.find("Connection: close") != std::string::npos;
            },
            "the stop began");
    }
};

// Returns the responses to a slow request of each path, on a kept and on a new connection, late in a stop.
auto lateResponses(StoppingFrontend &frontend, const std::vector<std::string> &paths)
    -> std::multimap<std::string, std::string>
{
    auto calls = std::vector<std::pair<std::string, std::future<std::string>>>();
    auto kept = std::vector<int>();
    for (auto count = std::size_t(0); count < paths.size(); ++count) {
        kept.push_back(frontend.keptConnection());
    }
    frontend.startStop();
    for (auto index = std::size_t(0); index < paths.size(); ++index) {
        calls.emplace_back(paths[index], call(kept[index], paths[index], longTimeout));
        calls.emplace_back(paths[index], call(connectTo(frontend.fixture_.port()), paths[index], longTimeout));
    }
    auto responses = std::multimap<std::string, std::string>();
    for (auto &[path, response] : calls) {
        responses.emplace(path, response.get());
    }
    return responses;
}

auto route(routes::RetrySafety safety, bool resumable) -> routes::Route
{
    return {.name_ = "r", .retrySafety_ = safety, .resumable_ = resumable};
}

const testkit::TestSuite decision = {"the decision whether a router that stops forwards a request",
    {
        // Guards against a request that is taken although it may not run again and can outlast the process.
        test("depends on whether it may run again and on its remaining time",
            [] {
                const auto start = TimePoint(1h);
                const auto schedule = makeStopSchedule(start, {.notice_ = 2'500ms, .grace_ = 7'700ms});
                const auto refused
                    = [&](routes::RetrySafety safety, bool resumable, Milliseconds remaining, Milliseconds sinceStart) {
                          const auto refusal
                              = refusalWhileStopping(schedule, route(safety, resumable), remaining, start + sinceStart);
                          check(!refusal || (refusal->status_ == 503 && refusal->retryAfter_.count() > 0));
                          return refusal.has_value();
                      };
                using routes::RetrySafety;
                check(refused(RetrySafety::AtMostOnce, false, 6'000ms, 2'400ms));
                check(refused(RetrySafety::Stream, false, 15'000ms, 0ms));
                check(!refused(RetrySafety::AtMostOnce, false, 2'000ms, 2'400ms));
                check(!refused(RetrySafety::Stream, false, 6'000ms, 1'000ms));
                check(!refused(RetrySafety::Idempotent, false, 15'000ms, 2'400ms));
                check(!refused(RetrySafety::Stream, true, 15'000ms, 2'400ms));
                check(refused(RetrySafety::Idempotent, false, 100ms, 2'500ms), "after the notice period");
            }),
    }};

const testkit::TestSuite suite = {"a request at a frontend that stops",
    {
        section("which arrives during the notice and whose timeout ends after the process",
            {
                // Guards against a request that is cut off without an answer when the process ends, although it may
                // not be sent again.
                test("is refused as not run if it may not run again",
                    [] {
                        auto frontend = StoppingFrontend();
                        for (const auto &[path, response] : lateResponses(frontend, {"/once/slow", "/stream/slow"})) {
                            check(response.starts_with("HTTP/1.1 503")
                                    && response.find("Retry-After") != std::string::npos,
                                path + ": " + response);
                        }
                        check(frontend.slowRuns_ == 0, "an upstream got a request");
                        frontend.fixture_.frontend().stop();
                    }),
                // Guards against a request that ends without an answer with the process.
                test("gets an answer before the process ends if it may run again",
                    [] {
                        auto frontend = StoppingFrontend();
                        for (const auto &[path, response] : lateResponses(frontend, {"/again/slow"})) {
                            check(response.starts_with("HTTP/1.1 504"), path + ": " + response);
                        }
                        check(frontend.slowRuns_ == 2);
                        check(!frontend.drained_.get(), "the requests counted as complete");
                    }),
                // Guards against a stream that ends as if it were complete, or is refused although another router can
                // resume it.
                test("is relayed until shortly before the process ends if it is a stream that can be resumed",
                    [] {
                        auto frontend = StoppingFrontend();
                        const auto startedAt = Clock::now();
                        for (const auto &[path, response] : lateResponses(frontend, {"/resumable/slow"})) {
                            check(response.starts_with("HTTP/1.1 200")
                                    && response.find("data: piece") != std::string::npos
                                    && response.find(endOfBody) == std::string::npos,
                                path + ": " + response);
                        }
                        check(Clock::now() - startedAt >= requestTime, "the streams ended early");
                        frontend.drained_.wait();
                    }),
            }),
        section("which arrives during the notice and can end in time",
            {
                // Guards against callers that are turned away while the load balancer still sends them.
                test("is served",
                    [] {
                        auto frontend = StoppingFrontend();
                        frontend.startStop();
                        for (const auto *path : {"/once/quick", "/stream/quick"}) {
                            const auto response = call(connectTo(frontend.fixture_.port()), path, shortTimeout).get();
                            check(response.starts_with("HTTP/1.1 200"), response);
                        }
                        frontend.fixture_.frontend().stop();
                    }),
            }),
        section("which was in flight when the stop began",
            {
                // Guards against a request that may have run and ends without an answer with the process.
                test("is answered before the process ends",
                    [] {
                        auto frontend = StoppingFrontend();
                        auto response = call(connectTo(frontend.fixture_.port()), "/once/slow", longTimeout);
                        waitUntil(
                            [&frontend] {
                                return frontend.slowRuns_ == 1;
                            },
                            "the upstream got the request");
                        check(!frontend.fixture_.frontend().drain({.grace_ = 30'000ms, .finalResponses_ = 29'000ms}));
                        frontend.fixture_.frontend().stop();
                        const auto text = response.get();
                        check(text.starts_with("HTTP/1.1 504") && text.find("may_have_run") != std::string::npos, text);
                    }),
                // Guards against a request that is cut off without an answer since its caller sent the next one early.
                test("is answered before the process ends, also if its caller has sent the next one",
                    [] {
                        auto frontend = StoppingFrontend();
                        const auto socket = connectTo(frontend.fixture_.port());
                        auto response = call(socket, "/once/slow", longTimeout);
                        waitUntil(
                            [&frontend] {
                                return frontend.slowRuns_ == 1;
                            },
                            "the upstream got the request");
                        sendText(socket, requestText("/once/next", longTimeout));
                        frontend.fixture_.frontend().drain({.grace_ = 3'000ms, .finalResponses_ = 2'000ms});
                        frontend.fixture_.frontend().stop();
                        const auto text = response.get();
                        check(text.starts_with("HTTP/1.1 504") && text.find("may_have_run") != std::string::npos, text);
                    }),
            }),
    }};

} // namespace
