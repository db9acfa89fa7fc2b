#include "jasminewood/forward/frontend.h"

#include <atomic>
#include <future>
#include <thread>

#include "front_under_test.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto call(const FrontUnderTest &front, const std::string &method, const std::string &path,
    const std::vector<http::HeaderField> &fields, const std::string &body = {}) -> http::ClientResponse
{
    const auto answer = http::fetch(
        {.method_ = method, .url_ = front.url(path), .headers_ = fields, .body_ = body, .retryable_ = false});
    check(bool(answer), answer ? "" : toString(answer.failure()));
    return *answer;
}

// Each upstream sends one event and a part of the next and breaks off, or the rest if it is asked to go on.
auto addBreakingUpstreams(FrontUnderTest &front) -> void
{
    for (const auto *id : {"a", "b"}) {
        front.addUpstream(id, [](const http::Request &request) -> http::Response {
            const auto resumed = request.headers_.at("resume-after") == "1";
            auto steps = std::make_shared<std::vector<http::StreamEvent>>();
            if (resumed) {
                steps->push_back(http::EndOfStream {});
                steps->push_back(http::Chunk {.data_ = "id: 2\ndata: b\n\n"});
            } else {
                steps->push_back(http::AbortStream {});
                steps->push_back(http::Chunk {.data_ = "id: 1\ndata: a\n\nid: 2\nda"});
            }
            auto fields = genuine(request, 200, "").headers_;
            fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
            return http::StreamResponse {.status_ = 200, .headers_ = fields, .nextEvent_ = [steps] {
                                             const auto step = steps->back();
                                             steps->pop_back();
                                             return step;
                                         }};
        });
    }
}

const testkit::TestSuite forwarding = {"a front",
    {
        section("that forwards a request",
            {
                // Guards against a changed path, body or field, and against an answer of another run.
                test("passes path, query and body on unchanged",
                    [] {
                        auto front = FrontUnderTest();
                        auto seen = std::promise<std::string>();
                        front.addUpstream("a", [&seen](const http::Request &request) -> http::Response {
                            seen.set_value(request.method_ + " " + request.requestTarget_ + " " + request.body_ + " "
                                + request.headers_.at("x-own") + " " + request.headers_.at("upstream"));
                            return genuine(request, 200, "whole");
                        });
                        auto fields = FrontUnderTest::fields("r1");
                        fields.push_back({.name_ = "X-Own", .value_ = "kept"});
                        const auto answer = http::fetch({.method_ = "POST",
                            .url_ = front.url("/"),
                            .headers_ = fields,
                            .body_ = "body",
                            .requestTarget_ = "/once/a%20b/../c?x=%2F&y"});
                        check(answer && answer->status_ == 200 && answer->body_ == "whole");
                        check(seen.get_future().get() == "POST /once/a%20b/../c?x=%2F&y body kept a");
                    }),
                // Guards against a request without account or route that reaches an upstream.
                test("refuses unknown keys and paths",
                    [] {
                        auto front = FrontUnderTest();
                        check(call(front, "GET", "/none/", FrontUnderTest::fields("r1")).status_ == 404);
                        check(call(front, "GET", "/again/", {{.name_ = "Host", .value_ = "shop"}}).status_ == 401);
                        check(call(front, "GET", "/again/", FrontUnderTest::fields("r1")).status_ == 503);
                    }),
            }),
        section("whose upstream did not run the request",
            {
                // Guards against a caller that is told of a failure although another upstream could serve it.
                test("tries another one, also for a request that runs once",
                    [] {
                        auto front = FrontUnderTest();
                        auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            front.addUpstream(id, [runs](const http::Request &request) -> http::Response {
                                if ((*runs)++ == 0) {
                                    return http::BufferedResponse {
                                        .status_ = 503, .headers_ = {{.name_ = "Not-Run", .value_ = "1"}}};
                                }
                                return genuine(request, 200, "done");
                            });
                        }
                        check(call(front, "POST", "/once/", FrontUnderTest::fields("r1")).body_ == "done");
                        check(*runs == 2);
                    }),
            }),
        section("whose upstream closes without an answer",
            {
                // Guards against a request that runs twice, and against a false "not run".
                test("does not send a request that runs once again, and promises nothing",
                    [] {
                        auto front = FrontUnderTest();
                        auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            front.addUpstream(id, [runs](const http::Request & /*request*/) -> http::Response {
                                ++*runs;
                                return http::BufferedResponse {.status_ = http::closeWithoutResponse};
                            });
                        }
                        check(call(front, "POST", "/once/", FrontUnderTest::fields("r1")).status_ == 502);
                        check(*runs == 1);
                        check(call(front, "GET", "/again/", FrontUnderTest::fields("r2")).status_ == 502);
                        check(*runs == 3);
                    }),
                // Guards against an answer to another request that reaches the caller.
                test("does not pass on an answer of another request",
                    [] {
                        auto front = FrontUnderTest();
                        front.addUpstream("a", [](const http::Request & /*request*/) -> http::Response {
                            return http::BufferedResponse {.status_ = 200,
                                .headers_
                                = {{.name_ = "Genuine", .value_ = "1"}, {.name_ = "Request-Id", .value_ = "other"}}};
                        });
                        check(call(front, "POST", "/once/", FrontUnderTest::fields("r1")).status_ == 502);
                    }),
            }),
        section("whose upstream breaks a stream off",
            {
                // Guards against an event that is missing, doubled or cut where a stream goes on elsewhere.
                test("continues a resumable stream after the last whole event",
                    [] {
                        auto front = FrontUnderTest();
                        addBreakingUpstreams(front);
                        const auto answer = call(front, "POST", "/resumable/", FrontUnderTest::fields("r1"));
                        check(answer.status_ == 200);
                        check(answer.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.body_);
                    }),
                // Guards against a stream that runs twice, and against a part of an answer that looks complete.
                test("breaks off a stream that must not run again",
                    [] {
                        auto front = FrontUnderTest();
                        addBreakingUpstreams(front);
                        const auto answer = http::fetch({.method_ = "POST",
                            .url_ = front.url("/stream/"),
                            .headers_ = FrontUnderTest::fields("r1"),
                            .retryable_ = false});
                        check(!answer && answer.failure().step_ == "receive");
                    }),
            }),
        section("that has just started",
            {
                // Guards against requests that are refused in the moment between the start and the first answer of the
                // store.
                test("holds a request until it knows the configuration",
                    [] {
                        const auto sample = sampleConfiguration();
                        auto front = FrontUnderTest({.version_ = 0,
                            .routes_ = sample.routes_,
                            .services_ = sample.services_,
                            .accounts_ = sample.accounts_});
                        front.addUpstream("a", [](const http::Request &request) -> http::Response {
                            return genuine(request, 200, "done");
                        });
                        auto answer = std::async(std::launch::async, [&front] {
                            return call(front, "POST", "/once/", FrontUnderTest::fields("r1"));
                        });
                        front.publish(1);
                        check(answer.get().status_ == 200);
                    }),
                // Guards against a request that is held although no configuration comes.
                test("refuses as not run if the configuration does not come",
                    [] {
                        auto front = FrontUnderTest(routes::Configuration {.version_ = 0});
                        const auto answer = call(front, "POST", "/once/", FrontUnderTest::fields("r1"));
                        check(answer.status_ == 503 && answer.headers_.contains("retry-after"));
                    }),
            }),
        section("whose upstreams both fail a request that may run again",
            {
                // Guards against a count and a log line that state another status than the caller got.
                test("passes the last failure on and counts it with its own status",
                    [] {
                        auto front = FrontUnderTest();
                        for (const auto *id : {"a", "b"}) {
                            front.addUpstream(id, [](const http::Request &request) -> http::Response {
                                return genuine(request, 500, "failed");
                            });
                        }
                        const auto answer = call(front, "GET", "/again/", FrontUnderTest::fields("r1"));
                        check(answer.status_ == 500 && answer.body_ == "failed");
                        const auto counted = "jasminewood_forward_outcomes_total"
                                             "{outcome=\"answered with a failure\",status=\"500\"} 1";
                        check(front.metrics().find(counted) != std::string::npos, front.metrics());
                    }),
            }),
        section("that stops",
            {
                // Guards against a process that sits out the notice although it is told to end now.
                test("cuts the notice short when it is stopped",
                    [] {
                        auto front = FrontUnderTest();
                        auto drained = std::async(std::launch::async, [&front] {
                            return front.front().drain(Milliseconds(600'000), Milliseconds(600'000));
                        });
                        front.front().stop();
                        check(drained.get());
                    }),
                // Guards against a request that is taken on an open connection long after the stop began and is cut
                // off when the process is killed.
                test("refuses requests on open connections once the notice is over",
                    [] {
                        auto front = FrontUnderTest();
                        front.addUpstream("a", [](const http::Request &request) -> http::Response {
                            return genuine(request, 200, "done");
                        });
                        auto release = std::make_shared<std::promise<void>>();
                        auto released = release->get_future().share();
                        front.addUpstream("slow", [released](const http::Request &request) -> http::Response {
                            if (request.path_.ends_with("slow")) {
                                released.wait();
                            }
                            return genuine(request, 200, "done");
                        });
                        check(call(front, "POST", "/once/1", FrontUnderTest::fields("r1")).status_ == 200);
                        auto drained = std::async(std::launch::async, [&front] {
                            return front.front().drain(Milliseconds(0), Milliseconds(30'000));
                        });
                        await(
                            [&front] {
                                return front.front().refusesRequests();
                            },
                            "the front refuses");
                        const auto late = http::fetch({.method_ = "POST",
                            .url_ = front.url("/once/2"),
                            .headers_ = FrontUnderTest::fields("r2"),
                            .retryable_ = false});
                        check(!late || (late->status_ == 503 && late->headers_.contains("retry-after")));
                        release->set_value();
                        check(drained.get());
                    }),
            }),
    }};

} // namespace
