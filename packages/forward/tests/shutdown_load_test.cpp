#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
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

constexpr auto stops = 24U;
constexpr auto callers = 32U;
constexpr auto longestPause = std::chrono::microseconds(30'000);

// Sends requests until the frontend accepts no connection.
auto callUntilGone(std::uint16_t port, std::uint32_t seed) -> void
{
    const auto request = std::string("POST /once/1 HTTP/1.1\r\nHost: shop\r\nRequest-Id: r") + std::to_string(seed)
        + "\r\nKey: " + sampleApiKey + "\r\nContent-Length: 4\r\n\r\nbody";
    testbench::sendUntilGone(port, request, longestPause, seed);
}

constexpr auto shortSoakStops = 6U;
constexpr auto longestWorkMilliseconds = 600U;
constexpr auto eventsOfStream = 5;

// Returns the number in an environment variable, with which a longer run is started by hand.
auto numberFrom(const char *variable, unsigned defaultNumber) -> unsigned
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? defaultNumber : unsigned(std::atol(text));
}

// What callers and the upstream saw in one stop.
struct Tally
{
    std::mutex mutex_;
    std::set<std::string> runIds_;
    std::set<std::string> refusedIds_;
    std::atomic<unsigned> requests_ = 0;
    std::atomic<unsigned> endedWithStatus_ = 0;
};

// Works for the time that the request states, in steps of an event if it is a stream.
auto work(const http::Request &request, Tally &tally) -> http::Response
{
    {
        const auto lock = std::scoped_lock(tally.mutex_);
        tally.runIds_.insert(request.headers_.at("request-id"));
    }
    const auto workTime = Milliseconds(std::stol(request.headers_.at("work-ms")));
    const auto response = authenticResponse(request, 200, "");
    if (request.path_.starts_with("/once/") || request.path_.starts_with("/again/")) {
        std::this_thread::sleep_for(workTime);
        return response;
    }
    auto fields = response.headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    return http::StreamResponse {
        .status_ = 200, .headers_ = fields, .nextEvent_ = [workTime, step = 0]() mutable -> http::StreamEvent {
            std::this_thread::sleep_for(workTime / eventsOfStream);
            return ++step > eventsOfStream
                ? http::StreamEvent(http::EndOfStream {})
                : http::StreamEvent(http::Chunk {.data_ = "id: " + std::to_string(step) + "\ndata: piece\n\n"});
        }};
}

// As callUntilGone(), with requests of all kinds, some of which last longer than the process.
auto callVariedUntilGone(std::uint16_t port, std::uint32_t seed, Tally &tally) -> void
{
    auto random = std::mt19937(seed);
    for (auto socket = connectTo(port); socket >= 0; socket = connectTo(port)) {
        auto open = true;
        while (open) {
            std::this_thread::sleep_for(std::chrono::microseconds(random() % longestPause.count()));
            const auto id = std::to_string(seed) + "-" + std::to_string(random());
            const auto *route = std::array {"once", "again", "stream", "resumable"}.at(random() % 4);
            const auto isStream = route[0] == 's' || route[0] == 'r';
            const auto *patience = random() % 2 == 0 ? "1000" : "20000";
            const auto workTime = std::to_string(random() % longestWorkMilliseconds);
            ++tally.requests_;
            sendText(socket,
                std::string("POST /") + route + "/ HTTP/1.1\r\nHost: shop\r\nRequest-Id: " + id
                    + "\r\nKey: " + sampleApiKey + "\r\nPatience-Ms: " + patience + "\r\nWork-Ms: " + workTime
                    + "\r\nContent-Length: 4\r\n\r\nbody");
            const auto head = readUntil(socket, "\r\n\r\n");
            const auto refused = head.find("HTTP/1.1 503") != std::string::npos;
            tally.endedWithStatus_ += head.find("HTTP/1.1 504") != std::string::npos ? 1 : 0;
            if (refused) {
                const auto lock = std::scoped_lock(tally.mutex_);
                tally.refusedIds_.insert(id);
            }
            open = !head.empty() && head.find("Connection: close") == std::string::npos;
            if (open && isStream && head.find("HTTP/1.1 200") != std::string::npos) {
                open = readUntil(socket, "0\r\n\r\n").ends_with("0\r\n\r\n");
            }
        }
        readToEnd(socket);
        close(socket);
    }
}

// Returns the number of requests of the metric's lines that contain both labels.
auto unservedRequests(const std::string &metrics, const std::string &label, const std::string &otherLabel) -> unsigned
{
    auto count = 0U;
    for (auto start = metrics.find("jasminewood_forward_unserved_total{"); start != std::string::npos;
         start = metrics.find("jasminewood_forward_unserved_total{", start + 1)) {
        const auto line = metrics.substr(start, metrics.find('\n', start) - start);
        if (line.find(label) != std::string::npos && line.find(otherLabel) != std::string::npos) {
            count += unsigned(std::atol(line.substr(line.rfind(' ') + 1).c_str()));
        }
    }
    return count;
}

// Stops a frontend under varied load and returns the number of aborted streams. Fails if a request that was read got
// no answer, or one that was refused has run.
auto stopUnderVariedLoad(std::uint32_t seed) -> unsigned
{
    auto random = std::mt19937(seed);
    auto tally = Tally();
    auto fixture = FrontendFixture();
    fixture.addUpstream("a", [&tally](const http::Request &request) {
        return work(request, tally);
    });
    auto threads = std::vector<std::thread>();
    for (auto caller = 0U; caller < callers; ++caller) {
        threads.emplace_back(&callVariedUntilGone, fixture.port(), seed * callers + caller, std::ref(tally));
    }
    usleep(300'000);
    constexpr auto grace = Milliseconds(30'000);
    const auto timeForRequests = Milliseconds(200 + random() % 400);
    fixture.frontend().drain(
        {.notice_ = Milliseconds(random() % 200), .grace_ = grace, .finalResponses_ = grace - timeForRequests});
    fixture.frontend().stop();
    for (auto &thread : threads) {
        thread.join();
    }
    const auto metrics = fixture.metrics();
    const auto unserved = unservedRequests(metrics, "read=\"whole\"", "");
    const auto aborted = unservedRequests(metrics, "read=\"whole\"", "reason=\"stream aborted\"");
    std::cout << "stop with seed " << seed << ": " << tally.requests_ << " requests, " << unserved - aborted << " cut, "
              << aborted << " streams aborted, " << tally.endedWithStatus_ << " ended with 504, "
              << tally.refusedIds_.size() << " refused" << std::endl;
    check(unserved == aborted, metrics.substr(std::min(metrics.size(), metrics.find("_unserved_total{")), 500));
    for (const auto &id : tally.refusedIds_) {
        check(!tally.runIds_.contains(id), "a refused request has run: " + id);
    }
    return aborted;
}

const testkit::TestSuite suite = {"a frontend that is stopped again and again",
    {
        section("under load on kept and on new connections",
            {
                // Guards against a request that is read while the process stops and gets no answer.
                test("answers each request that it has read",
                    [] {
                        for (auto stop = 0U; stop < stops; ++stop) {
                            auto fixture = FrontendFixture();
                            fixture.addUpstream("a", [](const http::Request &request) -> http::Response {
                                usleep(1'000);
                                return authenticResponse(request, 200, "");
                            });
                            auto threads = std::vector<std::thread>();
                            for (auto caller = 0U; caller < callers; ++caller) {
                                threads.emplace_back(&callUntilGone, fixture.port(), stop * callers + caller);
                            }
                            usleep(50'000);
                            const auto drained = fixture.frontend().drain({.notice_ = 50ms, .grace_ = 30s});
                            fixture.frontend().stop();
                            for (auto &thread : threads) {
                                thread.join();
                            }
                            check(drained);
                            const auto metrics = fixture.metrics();
                            const auto start = metrics.find("jasminewood_forward_unserved_total{");
                            check(metrics.find("read=\"whole\"") == std::string::npos,
                                "stop " + std::to_string(stop) + ": "
                                    + (start == std::string::npos ? "" : metrics.substr(start, 500)));
                        }
                    }),
            }),
        section("while requests are in flight that last longer than the process",
            {
                // Guards against a request that is cut off without an answer at the end of the grace period. A longer
                // run is started with JASMINEWOOD_STOPS=60 JASMINEWOOD_SEED=100.
                test("answers each request that it has read, or aborts it as a stream",
                    [] {
                        const auto firstSeed = numberFrom("JASMINEWOOD_SEED", 1);
                        auto aborted = 0U;
                        for (auto stop = 0U; stop < numberFrom("JASMINEWOOD_STOPS", shortSoakStops); ++stop) {
                            aborted += stopUnderVariedLoad(firstSeed + stop);
                        }
                        check(aborted > 0, "no stream lasted longer than the process");
                    }),
            }),
    }};

} // namespace
