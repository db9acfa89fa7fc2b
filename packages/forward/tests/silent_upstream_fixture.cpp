#include "silent_upstream_fixture.h"

#include <thread>

#include "jasminewood/testkit/test_suite.h"

namespace jasminewood::forward
{

using namespace std::chrono_literals;
using testkit::check;

auto event(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: piece\n\n";
}

auto oneEvent(int number, const http::StreamEvent &end) -> StreamScript
{
    return [number, end](int step) -> http::StreamEvent {
        return step == 0 ? http::StreamEvent(http::Chunk {.data_ = event(number)}) : end;
    };
}

auto refusal() -> http::Response
{
    return http::BufferedResponse {.status_ = 503, .headers_ = {{.name_ = "Not-Run", .value_ = "1"}}};
}

auto streamResponse(const http::Request &request, const StreamScript &script) -> http::Response
{
    auto fields = authenticResponse(request, 200, "").headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    return http::StreamResponse {.status_ = 200, .headers_ = fields, .nextEvent_ = [script, step = 0]() mutable {
                                     return script(step++);
                                 }};
}

namespace
{

// Sends an event, is silent, and goes on to the end.
auto silentStream(const http::Request &request, const std::shared_ptr<StreamRuns> &runs, const StreamParts &parts)
    -> http::Response
{
    return streamResponse(request, [runs, parts](int step) -> http::StreamEvent {
        if (step == 0) {
            return http::Chunk {.data_ = parts.before_};
        }
        if (step == 1) {
            runs->woken_.wait_for(runs->silence_);
            return http::Chunk {.data_ = parts.after_};
        }
        runs->firstCompleted_ = true;
        return http::EndOfStream {};
    });
}

auto secondResponse(const http::Request &request, SecondUpstream second, StreamRuns &runs) -> http::Response
{
    switch (second) {
    case SecondUpstream::Refuses:
    case SecondUpstream::Absent:
        return refusal();
    case SecondUpstream::Fails:
        return authenticResponse(request, 500, "failed");
    case SecondUpstream::FallsSilent:
        std::this_thread::sleep_for(100ms);
        return streamResponse(request, [](int step) -> http::StreamEvent {
            std::this_thread::sleep_for(shortSilence);
            return step == 0 ? http::StreamEvent(http::Chunk {.data_ = event(2)})
                             : http::StreamEvent(http::EndOfStream {});
        });
    case SecondUpstream::WakesFirst:
        runs.wake_.set_value();
        std::this_thread::sleep_for(shortSilence);
        return refusal();
    case SecondUpstream::Continues:
        break;
    }
    return streamResponse(request, oneEvent(2, http::EndOfStream {}));
}

} // namespace

auto addUpstreams(FrontendFixture &fixture, SecondUpstream second, const StreamParts &parts)
    -> std::shared_ptr<StreamRuns>
{
    const auto runs = std::make_shared<StreamRuns>();
    runs->silence_ = second == SecondUpstream::WakesFirst ? longSilence : shortSilence;
    const auto handler = [runs, second, parts](const http::Request &request) -> http::Response {
        if (runs->first_.exchange(1) == 0) {
            runs->firstClosed_ = request.callerDisconnected_;
            return silentStream(request, runs, parts);
        }
        ++runs->second_;
        return secondResponse(request, second, *runs);
    };
    fixture.addUpstream("a", handler);
    if (second != SecondUpstream::Absent) {
        fixture.addUpstream("b", handler);
    }
    return runs;
}

auto engineSample() -> routes::Configuration
{
    const auto base = sampleConfiguration();
    return {.version_ = base.version_,
        .routes_ = base.routes_,
        .services_ = {{.name_ = "pool", .engineCapacity_ = routes::EngineCapacity {.kvCacheTokens_ = 10'000}}},
        .access_ = base.access_};
}

auto streamRequestText() -> std::string
{
    return "GET /resumable/ HTTP/1.1\r\nHost: shop\r\nRequest-Id: r1\r\nKey: " + std::string(sampleApiKey)
        + "\r\nPrompt: 1 2\r\n\r\n";
}

auto getStream(const FrontendFixture &fixture) -> Result<http::ClientResponse>
{
    auto fields = FrontendFixture::requestFields("r1");
    fields.push_back({.name_ = "Prompt", .value_ = "1 2"});
    return http::fetch({.url_ = fixture.url("/resumable/"), .headers_ = fields, .retryable_ = false});
}

auto checkComplete(FrontendFixture &fixture, const Result<http::ClientResponse> &response, const std::string &expected)
    -> void
{
    check(bool(response), response ? "" : toString(response.failure()));
    check(response->status_ == 200 && response->body_ == expected, response->body_);
    waitUntil(
        [&fixture] {
            return fixture.upstreams().pool().localEngineLoads().empty();
        },
        "no attempt counts as in flight");
}

} // namespace jasminewood::forward
