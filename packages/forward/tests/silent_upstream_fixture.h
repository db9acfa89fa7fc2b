#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>

#include "frontend_fixture.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/http/client.h"
#include "stream_progress.h"

// Upstreams that fall silent in the middle of a stream, for tests.

namespace jasminewood::forward
{

// Longer than the stall timeout, and shorter than two of them.
constexpr auto shortSilence = Milliseconds(1'900);
// Longer than the stall timeout by less than an admission is valid.
constexpr auto soonAfterSearch = internal::minimumStallTimeout + Milliseconds(80);
// The silence of an upstream that goes on only when the test says so.
constexpr auto longSilence = Milliseconds(30'000);

// Returns the text of an event with this id.
auto event(int number) -> std::string;

// What the upstream that is asked second does.
enum class SecondUpstream
{
    Absent,
    Refuses,
    Fails,
    FallsSilent,
    Continues,
    WakesFirst,
};

// What the upstreams of a test did, and when the first one goes on.
struct StreamRuns
{
    std::atomic<int> first_ = 0;
    std::atomic<int> second_ = 0;
    // Whether the first upstream sent its last event.
    std::atomic<bool> firstCompleted_ = false;
    // Returns whether the first upstream's connection was closed; valid while that upstream is silent.
    std::function<auto()->bool> firstClosed_;
    Milliseconds silence_ = shortSilence;
    std::promise<void> wake_;
    std::shared_future<void> woken_ = wake_.get_future().share();
};

// What an upstream sends before its silence and after it.
struct StreamParts
{
    const std::string before_ = event(1);
    const std::string after_ = event(2);
};

// Returns what a stream does at each step.
using StreamScript = std::function<auto(int step)->http::StreamEvent>;

// Returns a script that sends one event and then the end.
auto oneEvent(int number, const http::StreamEvent &end) -> StreamScript;

// Returns a response that says that the request did not run.
auto refusal() -> http::Response;

auto streamResponse(const http::Request &request, const StreamScript &script) -> http::Response;

// Adds an upstream that sends an event, is silent, and goes on to the end, and a second one unless it is absent.
auto addUpstreams(FrontendFixture &fixture, SecondUpstream second, const StreamParts &parts = {})
    -> std::shared_ptr<StreamRuns>;

// Returns a configuration whose upstreams are model engines, so that the pool reports the attempts in flight.
auto engineSample() -> routes::Configuration;

// Returns a request for a resumable stream with a prompt, for a raw connection.
auto streamRequestText() -> std::string;

// Performs the request of streamRequestText().
auto getStream(const FrontendFixture &fixture) -> Result<http::ClientResponse>;

// Checks that the response is complete and that no attempt is in flight any more.
auto checkComplete(FrontendFixture &fixture, const Result<http::ClientResponse> &response,
    const std::string &expected = event(1) + event(2)) -> void;

} // namespace jasminewood::forward
