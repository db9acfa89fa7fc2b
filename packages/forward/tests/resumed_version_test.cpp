#include <atomic>
#include <future>

#include "frontend_fixture.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr int lastEvent = 3;
// Longer than the stall timeout, and shorter than two of them.
constexpr auto shortSilence = Milliseconds(1'900);
// A silence that ends with the test.
constexpr auto longSilence = Milliseconds(30'000);

auto event(int number, const std::string &version) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
}

enum class Ending
{
    Completes,
    BreaksOff,
    FallsSilent,
};

// What an upstream does with a request: it sends this many further events of the stream, waits until the test lets it
// go on, and ends.
struct Script
{
    const std::string version_ = "v1";
    const int events_ = lastEvent;
    const Ending ending_ = Ending::Completes;
    const Milliseconds silence_ = shortSilence;
    // Whether it sends nothing before the pool has read that it restarted.
    const bool awaitsRestart_ = false;
};

// Upstreams that follow scripts, and a caller of theirs. The stream starts at the first upstream.
class Streams
{
public:
    explicit Streams(const Script &first, const std::string &state = "ready 1 v1", const std::string &path = "/steady/")
        : fixture_(configuration())
    {
        add("a", first, state);
        response_ = std::async(std::launch::async, [this, path] {
            return http::fetch(
                {.url_ = fixture_.url(path), .headers_ = FrontendFixture::requestFields("r1"), .retryable_ = false});
        });
        awaitRequest("a");
    }

    ~Streams()
    {
        release();
        end_.set_value();
    }

    Streams(const Streams &) = delete;
    auto operator=(const Streams &) -> Streams & = delete;

    auto add(const std::string &id, const Script &script, const std::string &state) -> void
    {
        auto &requests = requests_[id];
        fixture_.addUpstream(
            id,
            [this, id, script, &requests](const http::Request &request) -> http::Response {
                ++requests;
                return respond(id, script, request);
            },
            state);
    }

    auto drain(const std::string &id) -> void
    {
        fixture_.registerUpstream(id, pool().recordOf(id)->address_, "leaving 1 v1");
    }

    // Registers an upstream as restarted and waits until the pool has its new entry.
    auto restart(const std::string &id, const std::string &version) -> void
    {
        fixture_.registerUpstream(id, pool().recordOf(id)->address_, "ready 2 " + version);
        awaitRestart(id);
    }

    auto awaitRequest(const std::string &id) -> void
    {
        waitUntil(
            [&requests = requests_[id]] {
                return requests == 1;
            },
            "the upstream is asked");
    }

    // Waits until streams may begin at the version, because all routers know of it.
    auto awaitAllowed(const std::string &version) -> void
    {
        waitUntil(
            [this, &version] {
                return fixture_.streamOrigins().allowedVersions("pool").contains(version);
            },
            "streams may begin at the version");
    }

    auto requests(const std::string &id) -> int
    {
        return requests_[id];
    }

    // Lets the upstreams go on.
    auto release() -> void
    {
        if (!std::exchange(isReleased_, true)) {
            release_.set_value();
        }
    }

    // Lets the upstreams go on and returns what the caller received; empty if the stream was broken off.
    auto receive() -> std::string
    {
        release();
        const auto response = response_.get();
        return response ? response->body_ : "";
    }

    // Resumes the stream of a request after an event, as its caller, and returns the status of the response.
    auto resume(const std::string &path, const std::string &id, int afterEvent) -> int
    {
        auto fields = FrontendFixture::requestFields("again-" + id);
        fields.push_back({.name_ = "Last-Event-Id", .value_ = std::to_string(afterEvent)});
        fields.push_back({.name_ = "Resumes", .value_ = id});
        const auto response = http::fetch({.url_ = fixture_.url(path), .headers_ = fields, .retryable_ = false});
        return response ? response->status_ : 0;
    }

    auto pool() -> UpstreamPool &
    {
        return fixture_.upstreams().pool();
    }

private:
    static auto makeRoute(const std::string &name, std::optional<Milliseconds> eventGapTarget) -> routes::Route
    {
        return {.name_ = name,
            .host_ = "shop",
            .pathPrefix_ = "/" + name + "/",
            .retrySafety_ = routes::RetrySafety::Stream,
            .timeout_ = Milliseconds(20'000),
            .eventGapTarget_ = eventGapTarget,
            .weightedServices_ = {{.service_ = "pool"}},
            .maximumAttempts_ = 3,
            .resumable_ = true};
    }

    // Returns the sample with two more routes on which a stream may be resumed twice: "/steady/" allows for pauses that
    // last longer than a test takes to prepare its upstreams.
    static auto configuration() -> routes::Configuration
    {
        const auto base = sampleConfiguration();
        auto routes = base.routes_;
        routes.push_back(makeRoute("steady", Milliseconds(5'000)));
        routes.push_back(makeRoute("twice", std::nullopt));
        return {.version_ = 1, .routes_ = routes, .services_ = base.services_, .access_ = base.access_};
    }

    auto awaitRestart(const std::string &id) -> void
    {
        waitUntil(
            [this, &id] {
                return pool().recordOf(id)->incarnation_ == 2;
            },
            "the new entry is read");
    }

    auto respond(const std::string &id, const Script &script, const http::Request &request) -> http::Response
    {
        auto fields = authenticResponse(request, 200, "").headers_;
        fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
        const auto after = http::findHeader(request.fields_, "Resume-After").value_or("");
        const auto first = after.empty() ? 1 : std::stoi(after) + 1;
        return http::StreamResponse {.status_ = 200,
            .headers_ = fields,
            .nextEvent_ = [this, id, script, first, step = 0]() mutable -> http::StreamEvent {
                if (script.awaitsRestart_) {
                    awaitRestart(id);
                }
                const auto number = first + step;
                if (step++ == script.events_ && number <= lastEvent) {
                    released_.wait_for(longSilence);
                    if (script.ending_ == Ending::BreaksOff) {
                        return http::AbortStream {};
                    }
                    ended_.wait_for(script.silence_);
                }
                return number <= lastEvent ? http::StreamEvent(http::Chunk {.data_ = event(number, script.version_)})
                                           : http::StreamEvent(http::EndOfStream {});
            }};
    }

    std::map<std::string, std::atomic<int>> requests_;
    std::promise<void> release_;
    const std::shared_future<void> released_ = release_.get_future().share();
    bool isReleased_ = false;
    std::promise<void> end_;
    const std::shared_future<void> ended_ = end_.get_future().share();
    FrontendFixture fixture_;
    std::future<Result<http::ClientResponse>> response_;
};

const auto wholeStream = event(1, "v1") + event(2, "v1") + event(3, "v1");
const auto breaksAfterEvent = Script {.events_ = 1, .ending_ = Ending::BreaksOff};
const auto pausesAfterEvent = Script {.events_ = 1, .ending_ = Ending::FallsSilent};
const auto stallsAfterEvent = Script {.events_ = 1, .ending_ = Ending::FallsSilent, .silence_ = longSilence};
const auto newer = Script {.version_ = "v2"};

const testkit::TestSuite suite = {"a stream beside upstreams of another software version",
    {
        section("that breaks off after an event",
            {
                // Guards against a stream that is joined from what two versions wrote.
                test("is resumed at another upstream of its version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", newer, "ready 1 v2");
                        streams.add("c", {}, "ready 1 v1");
                        check(streams.receive() == wholeStream);
                        check(streams.requests("b") == 0 && streams.requests("c") == 1);
                    }),
                test("is resumed at an ejected upstream of its version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", newer, "ready 1 v2");
                        streams.add("c", {}, "ready 1 v1");
                        const auto now = Clock::now();
                        const auto failed
                            = streams.pool().choose({.service_ = "pool", .excludedUpstreams_ = {"a", "b"}}, now);
                        streams.pool().recordAttemptEnd(*failed, AttemptResult::Failed, now);
                        check(streams.receive() == wholeStream);
                    }),
                test("is broken off if its version has no other upstream",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", newer, "ready 1 v2");
                        check(streams.receive().empty() && streams.requests("b") == 0);
                    }),
                test("is broken off if the other upstream of its version drains",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", newer, "ready 1 v2");
                        streams.add("c", {}, "ready 1 v1");
                        streams.drain("c");
                        check(streams.receive().empty() && streams.requests("b") == 0 && streams.requests("c") == 0);
                    }),
                // Guards against an unknown version that counts as the same as another unknown one.
                test("is broken off if its upstream states no version",
                    [] {
                        auto streams = Streams(breaksAfterEvent, "ready 1 ");
                        streams.add("b", newer, "ready 1 ");
                        check(streams.receive().empty() && streams.requests("b") == 0);
                    }),
                // Guards against the version of an entry that is older than the process that responded.
                test("is broken off if its upstream restarted with another version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("c", {}, "ready 1 v1");
                        streams.restart("a", "v2");
                        check(streams.receive().empty() && streams.requests("c") == 0);
                    }),
                test("is resumed if its upstream restarted with the same version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("c", {}, "ready 1 v1");
                        streams.restart("a", "v1");
                        check(streams.receive() == wholeStream);
                    }),
                // Guards against events of a process that started after its upstream was chosen.
                test("is resumed elsewhere if the upstream that resumes it restarted with another version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", {.version_ = "v2", .awaitsRestart_ = true}, "ready 1 v1");
                        streams.release();
                        streams.awaitRequest("b");
                        streams.add("c", {}, "ready 1 v1");
                        streams.restart("b", "v2");
                        check(streams.receive() == wholeStream && streams.requests("c") == 1);
                    }),
                test("and again where it was resumed keeps its version",
                    [] {
                        auto streams = Streams(breaksAfterEvent);
                        streams.add("b", newer, "ready 1 v2");
                        streams.add("c", breaksAfterEvent, "ready 1 v1");
                        streams.add("d", breaksAfterEvent, "ready 1 v1");
                        check(streams.receive() == wholeStream);
                        check(streams.requests("b") == 0);
                    }),
            }),
        section("whose upstream falls silent after an event",
            {
                // Guards against a stream that is joined from two versions since its upstream only paused.
                test("goes on there if its version has no other upstream",
                    [] {
                        auto streams = Streams(pausesAfterEvent, "ready 1 v1", "/resumable/");
                        streams.add("b", newer, "ready 1 v2");
                        check(streams.receive() == wholeStream && streams.requests("b") == 0);
                    }),
                test("is resumed at another upstream of its version",
                    [] {
                        auto streams = Streams(stallsAfterEvent, "ready 1 v1", "/resumable/");
                        streams.add("b", newer, "ready 1 v2");
                        streams.add("c", {}, "ready 1 v1");
                        check(streams.receive() == wholeStream && streams.requests("b") == 0);
                    }),
            }),
        section("without an event",
            {
                // Guards against a stream that ends for a version of which it holds nothing.
                test("is sent to any upstream if it breaks off",
                    [] {
                        auto streams = Streams({.events_ = 0, .ending_ = Ending::BreaksOff});
                        streams.add("b", newer, "ready 1 v2");
                        streams.awaitAllowed("v2");
                        check(streams.receive() == event(1, "v2") + event(2, "v2") + event(3, "v2"));
                    }),
                // Guards against the version of a stalled upstream that sent nothing.
                test("has the version of the upstream that replaced a stalled one",
                    [] {
                        auto streams = Streams({.events_ = 0, .ending_ = Ending::FallsSilent, .silence_ = longSilence},
                            "ready 1 v1", "/twice/");
                        streams.add("b", {.version_ = "v2", .events_ = 1, .ending_ = Ending::BreaksOff}, "ready 1 v2");
                        streams.awaitRequest("b");
                        streams.add("c", {}, "ready 1 v1");
                        check(streams.receive().empty() && streams.requests("c") == 0);
                    }),
            }),
        // Guards against a stream that ends for its version although it may not be resumed anyway.
        test("that may not be resumed is passed on whatever its version",
            [] {
                check(Streams({}, "ready 1 ", "/stream/").receive() == wholeStream);
                auto streams = Streams(breaksAfterEvent, "ready 1 v1", "/stream/");
                streams.add("c", {}, "ready 1 v1");
                check(streams.receive().empty() && streams.requests("c") == 0);
            }),
        // Guards against text joined from two versions where a stream was begun before its route forbade resumption.
        test("that may not be resumed is refused as not run if a caller resumes it",
            [] {
                auto streams = Streams({}, "ready 1 v1", "/stream/");
                streams.add("b", newer, "ready 1 v2");
                check(streams.receive() == wholeStream);
                check(streams.resume("/stream/", "r1", 1) == 503);
                check(streams.requests("a") == 1 && streams.requests("b") == 0);
            }),
        // Guards against a search by version where nothing is joined.
        test("does not keep a request that is no stream from any upstream",
            [] {
                auto fixture = FrontendFixture();
                const auto requests = std::make_shared<std::atomic<int>>(0);
                const auto respond = [requests](const http::Request &request) -> http::Response {
                    return authenticResponse(request, ++*requests == 1 ? 500 : 200, "answer");
                };
                fixture.addUpstream("a", respond, "ready 1 v1");
                fixture.addUpstream("b", respond, "ready 1 v2");
                const auto response = http::fetch({.url_ = fixture.url("/again/"),
                    .headers_ = FrontendFixture::requestFields("r1"),
                    .retryable_ = false});
                check(response && response->status_ == 200);
            }),
    }};

} // namespace
