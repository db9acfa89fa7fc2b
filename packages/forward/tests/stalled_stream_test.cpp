#include <atomic>
#include <future>
#include <thread>

#include <fmt/format.h>
#include <unistd.h>

#include "jasminewood/routing/answer_age.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"
#include "silent_upstream_fixture.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto eventInterval = Milliseconds(100);
// The router reads the first event up to 250 ms late, since it waits for the other engine.
constexpr auto longAnswer = routing::minimumSurvivalTime + Milliseconds(550);

// Lets a stream fall silent before its first event until another engine is asked, then send this many events and end
// with the crash of its engine. Checks the number of prompts that the router counts as lost in crashes.
auto checkCrashOfWokenStream(int events, int countedCrashes) -> void
{
    auto fixture = FrontendFixture(engineSample());
    const auto requests = std::make_shared<std::atomic<int>>(0);
    auto wake = std::promise<void>();
    auto first = std::make_unique<testbench::RawServer>([&wake, requests, events](int socket) {
        testbench::readUntil(socket, "\r\n\r\n");
        ++*requests;
        testbench::sendText(socket,
            "HTTP/1.1 200 OK\r\nGenuine: 1\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
        wake.get_future().wait();
        for (auto number = 1; number <= events; ++number) {
            std::this_thread::sleep_for(number == 1 ? Milliseconds(0) : eventInterval);
            testbench::sendText(socket, fmt::format("{:x}\r\n{}\r\n", event(number).size(), event(number)));
        }
        testbench::readUntil(socket, "the end");
    });
    const auto url = first->url();
    const auto start = std::string("http://").size();
    fixture.registerUpstream("a", url.substr(start, url.size() - start - 1), "ready");
    const auto caller = testbench::connectTo(fixture.port());
    testbench::sendText(caller, streamRequestText());
    waitUntil(
        [&requests] {
            return *requests == 1;
        },
        "the stream runs");
    fixture.addUpstream("b", [&wake](const http::Request &) -> http::Response {
        wake.set_value();
        std::this_thread::sleep_for(shortSilence);
        return refusal();
    });
    const auto received = testbench::readUntil(caller, event(events));
    check(received.find(event(events)) != std::string::npos, received);
    first.reset();
    testbench::readUntil(caller, "the end");
    close(caller);
    const auto counted = fmt::format("jasminewood_forward_prompt_crashes_total {}\n", countedCrashes);
    check(fixture.metrics().find(counted) != std::string::npos);
}

// The cases in which the stream does not simply go on; silent_upstream_test.cpp has the others.
const testkit::TestSuite suite = {"a stream whose upstream falls silent and goes on",
    {
        // Guards against work that goes on for a caller who has left while two upstreams are asked.
        test("is closed at both upstreams if its caller leaves while another one is asked",
            [] {
                auto fixture = FrontendFixture(engineSample());
                const auto requests = std::make_shared<std::atomic<int>>(0);
                const auto runs = std::make_shared<StreamRuns>();
                for (const auto *id : {"a", "b"}) {
                    fixture.addUpstream(id, [requests, runs](const http::Request &request) -> http::Response {
                        if (++*requests == 2) {
                            runs->woken_.wait_for(longSilence);
                        }
                        return streamResponse(request, [runs](int step) -> http::StreamEvent {
                            if (step > 0) {
                                runs->woken_.wait_for(longSilence);
                            }
                            return http::Chunk {.data_ = event(1)};
                        });
                    });
                }
                const auto caller = testbench::connectTo(fixture.port());
                testbench::sendText(caller, streamRequestText());
                waitUntil(
                    [&requests] {
                        return *requests == 2;
                    },
                    "another upstream is asked");
                close(caller);
                const auto closedAt = Clock::now();
                waitUntil(
                    [&fixture] {
                        return fixture.upstreams().pool().localEngineLoads().empty();
                    },
                    "no attempt counts as in flight");
                check(Clock::now() - closedAt < 5s, "closed soon");
                runs->wake_.set_value();
            }),
        // Guards against an upstream that is closed just as it begins to respond, for one that does not.
        test("while it is to resume another stream is kept if it responds while a third one is asked",
            [] {
                const auto base = engineSample();
                auto routes = std::vector<routes::Route>();
                for (const auto &route : base.routes_) {
                    if (route.name_ == "resumable") {
                        routes.push_back({.name_ = route.name_,
                            .host_ = route.host_,
                            .pathPrefix_ = route.pathPrefix_,
                            .retrySafety_ = route.retrySafety_,
                            .timeout_ = Milliseconds(6'000),
                            .weightedServices_ = route.weightedServices_,
                            .maximumAttempts_ = 3,
                            .resumable_ = true});
                    }
                }
                auto fixture = FrontendFixture(
                    {.version_ = 1, .routes_ = routes, .services_ = base.services_, .access_ = base.access_});
                const auto requests = std::make_shared<std::atomic<int>>(0);
                const auto runs = std::make_shared<StreamRuns>();
                const auto end = std::make_shared<StreamRuns>();
                for (const auto *id : {"a", "b", "c"}) {
                    fixture.addUpstream(id, [requests, runs, end](const http::Request &request) -> http::Response {
                        const auto number = ++*requests;
                        if (number == 1) {
                            return streamResponse(request, [](int step) -> http::StreamEvent {
                                return step == 0 ? http::StreamEvent(http::Chunk {.data_ = event(1)})
                                                 : http::StreamEvent(http::AbortStream {});
                            });
                        }
                        if (number == 2) {
                            runs->woken_.wait_for(longSilence);
                        } else {
                            runs->wake_.set_value();
                            end->woken_.wait_for(longSilence);
                        }
                        return streamResponse(request, [](int step) -> http::StreamEvent {
                            return step == 0 ? http::StreamEvent(http::Chunk {.data_ = event(2)})
                                             : http::StreamEvent(http::EndOfStream {});
                        });
                    });
                }
                const auto response = getStream(fixture);
                end->wake_.set_value();
                checkComplete(fixture, response);
            }),
        section("with its first event while another one is asked, and then crashes",
            {
                // Guards against a prompt that counts as sound because its first event left the engine before the
                // crash.
                test("at once, is evidence against its prompt",
                    [] {
                        checkCrashOfWokenStream(1, 1);
                    }),
                // Guards against a prompt that counts as crashing engines although its answer had long begun.
                test("after it has gone on for a while, is no evidence against its prompt",
                    [] {
                        checkCrashOfWokenStream(int(longAnswer / eventInterval), 0);
                    }),
            }),
        section("and breaks off soon after a search",
            {
                // Guards against a request that is sent right after the newest configuration refused it.
                test("is not sent on if the newest configuration no longer has its route",
                    [] {
                        auto fixture = FrontendFixture(engineSample());
                        const auto requests = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [requests](const http::Request &request) -> http::Response {
                                ++*requests;
                                return streamResponse(request, [](int step) -> http::StreamEvent {
                                    if (step == 0) {
                                        return http::Chunk {.data_ = event(1)};
                                    }
                                    std::this_thread::sleep_for(soonAfterSearch);
                                    return http::AbortStream {};
                                });
                            });
                        }
                        auto change = std::async(std::launch::async, [&fixture, &requests] {
                            waitUntil(
                                [&requests] {
                                    return *requests == 1;
                                },
                                "the stream runs");
                            fixture.publishWithoutRoutes(2);
                        });
                        check(!getStream(fixture), "the stream was broken off");
                        change.get();
                        check(*requests == 1, "nothing was sent to another upstream");
                    }),
            }),
        // Guards against a search after a search while the upstream is silent.
        test("has a replacement sought less and less often until it goes on",
            [] {
                const auto start = TimePoint(1h);
                auto progress = internal::StreamProgress({.stallTimeout_ = 1s, .maximumEventBytes_ = 100}, start);
                check(progress.stallsAt() == start + 1s);
                progress.recordFailedSearch(start + 1s);
                check(progress.stallsAt() == start + 2s);
                progress.recordFailedSearch(start + 2s);
                check(progress.stallsAt() == start + 4s);
                progress.record(event(1), start + 3s);
                check(progress.stallsAt() == start + 4s);
                progress.recordFailedSearch(start + 4s);
                check(progress.stallsAt() == start + 5s);
            }),
    }};

} // namespace
