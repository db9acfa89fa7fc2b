#include "jasminewood/forward/frontend.h"

#include <atomic>
#include <future>
#include <thread>

#include "frontend_fixture.h"
#include "jasminewood/forward/admission.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto sendRequest(const FrontendFixture &fixture, const std::string &method, const std::string &path,
    const std::vector<http::HeaderField> &fields, const std::string &body = {}) -> http::ClientResponse
{
    const auto response = http::fetch(
        {.method_ = method, .url_ = fixture.url(path), .headers_ = fields, .body_ = body, .retryable_ = false});
    check(bool(response), response ? "" : toString(response.failure()));
    return *response;
}

// Adds two upstreams. Each sends one event and a part of the next one and then aborts the stream, or sends the second
// event if the request resumes after the first.
auto addUpstreamsThatAbortStreams(FrontendFixture &fixture) -> void
{
    for (const auto *id : {"a", "b"}) {
        fixture.addUpstream(id, [](const http::Request &request) -> http::Response {
            const auto resumed = request.headers_.at("resume-after") == "1";
            auto steps = std::make_shared<std::vector<http::StreamEvent>>();
            if (resumed) {
                steps->push_back(http::EndOfStream {});
                steps->push_back(http::Chunk {.data_ = "id: 2\ndata: b\n\n"});
            } else {
                steps->push_back(http::AbortStream {});
                steps->push_back(http::Chunk {.data_ = "id: 1\ndata: a\n\nid: 2\nda"});
            }
            auto fields = authenticResponse(request, 200, "").headers_;
            fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
            return http::StreamResponse {.status_ = 200, .headers_ = fields, .nextEvent_ = [steps] {
                                             const auto step = steps->back();
                                             steps->pop_back();
                                             return step;
                                         }};
        });
    }
}

const testkit::TestSuite suite = {"a frontend",
    {
        section("that forwards a request",
            {
                // Guards against a path, body or field that is changed on the way, and against the response of another
                // run.
                test("forwards path, query and body unchanged",
                    [] {
                        auto fixture = FrontendFixture();
                        auto received = std::promise<std::string>();
                        fixture.addUpstream("a", [&received](const http::Request &request) -> http::Response {
                            received.set_value(request.method_ + " " + request.requestTarget_ + " "
                                + request.body_.text() + " " + request.headers_.at("x-own") + " "
                                + request.headers_.at("upstream"));
                            return authenticResponse(request, 200, "whole");
                        });
                        auto fields = FrontendFixture::requestFields("r1");
                        fields.push_back({.name_ = "X-Own", .value_ = "kept"});
                        const auto response = http::fetch({.method_ = "POST",
                            .url_ = fixture.url("/"),
                            .headers_ = fields,
                            .body_ = "body",
                            .requestTarget_ = "/once/a%20b/../c?x=%2F&y"});
                        check(response && response->status_ == 200 && response->body_ == "whole");
                        check(received.get_future().get() == "POST /once/a%20b/../c?x=%2F&y body kept a");
                    }),
                // Guards against a request without an account or a route being forwarded.
                test("refuses unknown keys and paths",
                    [] {
                        auto fixture = FrontendFixture();
                        check(
                            sendRequest(fixture, "GET", "/none/", FrontendFixture::requestFields("r1")).status_ == 404);
                        check(sendRequest(fixture, "GET", "/again/", {{.name_ = "Host", .value_ = "shop"}}).status_
                            == 401);
                        check(sendRequest(fixture, "GET", "/again/", FrontendFixture::requestFields("r1")).status_
                            == 503);
                    }),
            }),
        section("whose upstream did not run the request",
            {
                // Guards against a failure being reported although another upstream could serve the request.
                test("retries at another upstream, also for a request that must run at most once",
                    [] {
                        auto fixture = FrontendFixture();
                        auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [runs](const http::Request &request) -> http::Response {
                                if ((*runs)++ == 0) {
                                    return http::BufferedResponse {
                                        .status_ = 503, .headers_ = {{.name_ = "Not-Run", .value_ = "1"}}};
                                }
                                return authenticResponse(request, 200, "done");
                            });
                        }
                        check(sendRequest(fixture, "POST", "/once/", FrontendFixture::requestFields("r1")).body_
                            == "done");
                        check(*runs == 2);
                    }),
            }),
        section("that holds a request while its keys cease to be confirmed",
            {
                // Guards against a request that is sent although the permission that it was admitted with has run out.
                test("does not send it to another upstream",
                    [] {
                        auto fixture = FrontendFixture(sampleConfiguration(), Milliseconds(1'000));
                        auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [runs, &fixture](const http::Request &request) -> http::Response {
                                if ((*runs)++ > 0) {
                                    return authenticResponse(request, 200, "done");
                                }
                                while (fixture.configuration().keysConfirmed()) {
                                    std::this_thread::sleep_for(Milliseconds(10));
                                }
                                return http::BufferedResponse {
                                    .status_ = 503, .headers_ = {{.name_ = "Not-Run", .value_ = "1"}}};
                            });
                        }
                        waitUntil(
                            [&fixture] {
                                return fixture.configuration().keysConfirmed();
                            },
                            "the keys are confirmed");
                        fixture.stopStore();
                        const auto response
                            = sendRequest(fixture, "GET", "/again/", FrontendFixture::requestFields("r1"));
                        check(response.status_ == 503 && *runs == 1);
                    }),
                // Guards against an upstream that works longer than the caller waits, since the clock of the timeout
                // stood still while the machine was suspended.
                test("counts the time of a suspension",
                    [] {
                        const auto second = Milliseconds(1'000);
                        check(remainingTimeout(4 * second, second, second) == 3 * second);
                        check(remainingTimeout(4 * second, second, 3 * second) == second);
                    }),
            }),
        section("whose upstream closes the connection without a response",
            {
                // Guards against a request that runs twice, and against a wrong "not run".
                test("does not retry a request that must run at most once, and does not report it as not run",
                    [] {
                        auto fixture = FrontendFixture();
                        auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [runs](const http::Request & /*request*/) -> http::Response {
                                ++*runs;
                                return http::BufferedResponse {.status_ = http::closeWithoutResponse};
                            });
                        }
                        check(sendRequest(fixture, "POST", "/once/", FrontendFixture::requestFields("r1")).status_
                            == 502);
                        check(*runs == 1);
                        check(sendRequest(fixture, "GET", "/again/", FrontendFixture::requestFields("r2")).status_
                            == 502);
                        check(*runs == 3);
                    }),
                // Guards against the response to another request being passed to the caller.
                test("does not pass on the response to another request",
                    [] {
                        auto fixture = FrontendFixture();
                        fixture.addUpstream("a", [](const http::Request & /*request*/) -> http::Response {
                            return http::BufferedResponse {.status_ = 200,
                                .headers_
                                = {{.name_ = "Genuine", .value_ = "1"}, {.name_ = "Request-Id", .value_ = "other"}}};
                        });
                        check(sendRequest(fixture, "POST", "/once/", FrontendFixture::requestFields("r1")).status_
                            == 502);
                    }),
            }),
        section("whose upstream aborts a stream",
            {
                // Guards against an event that is lost, repeated or truncated where a stream is resumed at another
                // upstream.
                test("resumes a resumable stream after the last complete event",
                    [] {
                        auto fixture = FrontendFixture();
                        addUpstreamsThatAbortStreams(fixture);
                        const auto response
                            = sendRequest(fixture, "POST", "/resumable/", FrontendFixture::requestFields("r1"));
                        check(response.status_ == 200);
                        check(response.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.body_);
                    }),
                // Guards against a stream that runs twice, and against a truncated response that appears complete.
                test("aborts a stream that must not run again",
                    [] {
                        auto fixture = FrontendFixture();
                        addUpstreamsThatAbortStreams(fixture);
                        const auto response = http::fetch({.method_ = "POST",
                            .url_ = fixture.url("/stream/"),
                            .headers_ = FrontendFixture::requestFields("r1"),
                            .retryable_ = false});
                        check(!response && response.failure().step_ == "receive");
                    }),
            }),
        section("whose configuration limits what callers may send",
            {
                // Guards against limits of the operators that are not applied, and against settings that override them.
                test("applies them, and its settings where there are none",
                    [] {
                        const auto settings
                            = http::ServerOptions {.maximumBodyBytes_ = 500, .idleTimeout_ = std::chrono::seconds(30)};
                        const auto limits = connectionLimits(
                            {.maximumHeaderBytes_ = 1'000, .idleTimeout_ = Milliseconds(15'000)}, settings);
                        check(limits
                            == http::ConnectionLimits {.maximumHeaderBytes_ = 1'000,
                                .maximumBodyBytes_ = 500,
                                .idleTimeout_ = Milliseconds(15'000)});
                        const auto sample = sampleConfiguration();
                        auto fixture = FrontendFixture({.version_ = 1,
                            .routes_ = sample.routes_,
                            .services_ = sample.services_,
                            .access_ = sample.access_,
                            .callerLimits_ = {.maximumBodyBytes_ = 10, .idleTimeout_ = Milliseconds(15'000)}});
                        fixture.addUpstream("a", [](const http::Request &request) -> http::Response {
                            return authenticResponse(request, 200, "done");
                        });
                        const auto fields = FrontendFixture::requestFields("r1");
                        const auto response = sendRequest(fixture, "POST", "/once/", fields, "short");
                        check(response.status_ == 200 && response.headers_.at("keep-alive") == "timeout=15");
                        check(sendRequest(fixture, "POST", "/once/", fields, "more than ten").status_ == 413);
                    }),
            }),
        section("that has just started",
            {
                // Guards against requests being refused between the start of the process and the first response of the
                // store.
                test("holds a request until the configuration has been read",
                    [] {
                        const auto sample = sampleConfiguration();
                        auto fixture = FrontendFixture({.version_ = 0,
                            .routes_ = sample.routes_,
                            .services_ = sample.services_,
                            .access_ = sample.access_});
                        fixture.addUpstream("a", [](const http::Request &request) -> http::Response {
                            return authenticResponse(request, 200, "done");
                        });
                        auto response = std::async(std::launch::async, [&fixture] {
                            return sendRequest(fixture, "POST", "/once/", FrontendFixture::requestFields("r1"));
                        });
                        fixture.publish(1);
                        check(response.get().status_ == 200);
                    }),
                // Guards against a request being held although no configuration arrives.
                test("refuses a request as not run if no configuration arrives",
                    [] {
                        auto fixture = FrontendFixture(routes::Configuration {.version_ = 0});
                        const auto response
                            = sendRequest(fixture, "POST", "/once/", FrontendFixture::requestFields("r1"));
                        check(response.status_ == 503 && response.headers_.contains("retry-after"));
                    }),
            }),
        section("whose upstreams both fail a request that may run again",
            {
                // Guards against a metric and a log line with a status other than the one sent to the caller.
                test("passes on the last failure and counts it under its own status",
                    [] {
                        auto fixture = FrontendFixture();
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [](const http::Request &request) -> http::Response {
                                return authenticResponse(request, 500, "failed");
                            });
                        }
                        const auto response
                            = sendRequest(fixture, "GET", "/again/", FrontendFixture::requestFields("r1"));
                        check(response.status_ == 500 && response.body_ == "failed");
                        const auto counted = "jasminewood_forward_outcomes_total"
                                             "{outcome=\"answered with a failure\",status=\"500\"} 1";
                        check(fixture.metrics().find(counted) != std::string::npos, fixture.metrics());
                    }),
            }),
        section("that shuts down",
            {
                // Guards against a process that waits for the end of the notice period although it was told to stop at
                // once.
                test("ends the notice period early when it is stopped",
                    [] {
                        auto fixture = FrontendFixture();
                        auto drained = std::async(std::launch::async, [&fixture] {
                            return fixture.frontend().drain({.notice_ = 600s, .grace_ = 600s});
                        });
                        fixture.frontend().stop();
                        check(drained.get());
                    }),
                // Guards against a request that is accepted on an open connection long after the shutdown began and is
                // cut off when the process is killed.
                test("refuses requests on open connections once the notice period is over",
                    [] {
                        auto fixture = FrontendFixture();
                        fixture.addUpstream("a", [](const http::Request &request) -> http::Response {
                            return authenticResponse(request, 200, "done");
                        });
                        auto release = std::make_shared<std::promise<void>>();
                        auto released = release->get_future().share();
                        fixture.addUpstream("slow", [released](const http::Request &request) -> http::Response {
                            if (request.path_.ends_with("slow")) {
                                released.wait();
                            }
                            return authenticResponse(request, 200, "done");
                        });
                        check(sendRequest(fixture, "POST", "/once/1", FrontendFixture::requestFields("r1")).status_
                            == 200);
                        auto drained = std::async(std::launch::async, [&fixture] {
                            return fixture.frontend().drain({.grace_ = 30s});
                        });
                        waitUntil(
                            [&fixture] {
                                return fixture.frontend().refusesRequests();
                            },
                            "the frontend refuses requests");
                        const auto lateResponse = http::fetch({.method_ = "POST",
                            .url_ = fixture.url("/once/2"),
                            .headers_ = FrontendFixture::requestFields("r2"),
                            .retryable_ = false});
                        check(!lateResponse
                            || (lateResponse->status_ == 503 && lateResponse->headers_.contains("retry-after")));
                        release->set_value();
                        check(drained.get());
                    }),
            }),
    }};

} // namespace
