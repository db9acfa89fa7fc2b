#include <algorithm>
#include <atomic>
#include <map>

#include <fmt/format.h>

#include "jasminewood/testbench/tcp_relay.h"
#include "jasminewood/testkit/test_suite.h"
#include "scene.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Design page, section 3: streams over a silent connection resume within this time.
constexpr auto maximumResumeTime = Milliseconds(2'000);
// Design page, section 2: a leaving upstream receives no new work after this time.
constexpr auto maximumLeaveTime = Milliseconds(3'000);

// Runs concurrent streams, distributed round-robin over the routers.
class Streams
{
public:
    Streams(Scene &scene, std::size_t count, std::size_t tokens, std::vector<std::string> routers,
        std::string requestClass = "chat")
        : routers_(std::move(routers))
        , requestClass_(std::move(requestClass))
        , running_(count, [this, &scene, tokens](std::size_t caller) {
            run(scene, caller, tokens);
        })
    {
    }

    // Streams that have received output.
    Counter begun_;

    // Streams that have received half of their tokens.
    Counter halfway_;

    // Waits for all streams; fails the test unless all completed.
    auto expectAllCompleted() -> void
    {
        running_.join();
    }

    // Returns the longest time between two outputs of one stream.
    auto longestGap() const -> Milliseconds
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::duration(longestGap_));
    }

private:
    auto run(Scene &scene, std::size_t caller, std::size_t tokens) -> void
    {
        auto last = std::optional<TimePoint>();
        auto halfway = false;
        const auto end = scene.chat({.router_ = routers_[caller % routers_.size()],
            .message_ = fmt::format("stream {} [tokens={}]", caller, tokens),
            .requestClass_ = requestClass_,
            .onTokens_ = [&](std::size_t received) -> void {
                if (received == 0) {
                    return;
                }
                const auto now = Clock::now();
                if (!last) {
                    begun_.add();
                } else {
                    recordGap(now - *last);
                }
                last = now;
                if (received >= tokens / 2 && !halfway) {
                    halfway = true;
                    halfway_.add();
                }
            }});
        check(end.completed_, toString(end));
    }

    auto recordGap(Clock::duration gap) -> void
    {
        auto longest = longestGap_.load();
        while (gap.count() > longest && !longestGap_.compare_exchange_weak(longest, gap.count())) {}
    }

    const std::vector<std::string> routers_;
    const std::string requestClass_;
    std::atomic<Clock::rep> longestGap_ = 0;
    Callers running_;
};

// Returns the number of runs that the engines recorded for each request.
auto runsByRequest(const History &history) -> std::map<std::string, std::size_t>
{
    auto runs = std::map<std::string, std::size_t>();
    for (const auto &event : history) {
        if (const auto *run = std::get_if<RunRecorded>(&event.event_)) {
            ++runs[run->requestId_];
        }
    }
    return runs;
}

const testkit::TestSuite story = {"a stream",
    {
        section("whose engine crashes",
            {
                // Guards against missing or duplicate output where the second engine resumes the stream.
                test("resumes at another engine without missing or duplicate output",
                    [] {
                        auto scene = Scene({.engines_ = 3, .bookings_ = 0});
                        auto streams = Streams(scene, 24, 300, scene.system().routers());
                        streams.begun_.waitFor(24);
                        scene.fault("engine-1", R"({"crash": true})");
                        streams.expectAllCompleted();
                        check(scene.loggedSteps("engine-2-agent", "receive")
                                    + scene.loggedSteps("engine-3-agent", "receive")
                                > 24 - scene.loggedSteps("engine-1-agent", "receive"),
                            "no stream ran on the crashed engine");
                        scene.checkHistory();
                    }),
            }),
        section("whose agent is killed",
            {
                // Guards against streams that fail with their agent although the request is idempotent.
                test("resumes over another agent without missing or duplicate output",
                    [] {
                        auto scene = Scene({.engines_ = 3, .bookings_ = 0});
                        // Half of the stream takes longer than the maximum wait of the class.
                        auto streams = Streams(scene, 24, 600, scene.system().routers(), "quote-draft");
                        streams.halfway_.waitFor(24);
                        const auto hit = scene.loggedSteps("engine-1-agent", "start");
                        scene.kill("engine-1-agent");
                        streams.expectAllCompleted();
                        check(hit > 0, "the agent had no stream");
                        scene.checkHistory();
                    }),
            }),
        section("whose connection between router and agent goes silent",
            {
                // Guards against streams that stall until a timeout, and against a second run of a request that is
                // still running.
                test("resumes over a new connection within 2 s and runs once",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 0});
                        auto relay = TcpRelay(scene.system().linkAddress("engine-1-agent"));
                        scene.redirect("engine-1-agent", relay.address());
                        const auto connected = [&]() -> std::size_t {
                            return relay.connectionCount();
                        };
                        const auto end = Clock::now() + testTimeout;
                        while (connected() < scene.system().routers().size() && Clock::now() < end) {
                            std::this_thread::sleep_for(Milliseconds(20));
                        }
                        check(connected() == scene.system().routers().size(), "the routers use the relay");
                        auto streams = Streams(scene, 12, 500, scene.system().routers());
                        streams.begun_.waitFor(12);
                        relay.blackholeOpenConnections();
                        streams.expectAllCompleted();
                        const auto gap = streams.longestGap();
                        check(gap <= maximumResumeTime, fmt::format("a stream stalled for {} ms", gap.count()));
                        check(gap >= Milliseconds(1'000), "no stream used the silent connection");
                        for (const auto &[request, runs] : runsByRequest(scene.collect())) {
                            check(runs == 1, fmt::format("{} ran {} times", request, runs));
                        }
                        scene.checkHistory();
                    }),
            }),
        section("at a router that is asked to stop",
            {
                // Guards against a planned shutdown that aborts requests.
                test("completes before the router exits",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 0});
                        auto streams = Streams(scene, 50, 400, {"router-1"});
                        streams.begun_.waitFor(50);
                        scene.markEnded("router-1");
                        scene.system().terminate("router-1");
                        streams.expectAllCompleted();
                        const auto status = scene.system().waitExit("router-1", testTimeout);
                        check(status && *status == 0, status ? std::to_string(*status) : toString(status.failure()));
                        scene.checkHistory();
                    }),
            }),
        section("at an agent that is asked to stop",
            {
                // Guards against a planned shutdown that aborts requests, and against routers that rely only on the VM
                // list.
                test("completes while new work is routed elsewhere, although the VM list is stale",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 0});
                        auto streams = Streams(scene, 16, 900, scene.system().routers());
                        streams.begun_.waitFor(16);
                        check(scene.loggedSteps("engine-1-agent", "start") > 0, "the agent has no stream");
                        scene.markEnded("engine-1-agent");
                        scene.system().terminate("engine-1-agent");
                        const auto terminatedAt = Clock::now();
                        auto received = std::optional<std::size_t>();
                        auto number = 0;
                        while (Clock::now() < terminatedAt + maximumLeaveTime + Milliseconds(500)) {
                            if (!received && Clock::now() > terminatedAt + maximumLeaveTime) {
                                received = scene.loggedSteps("engine-1-agent", "receive");
                            }
                            const auto router = fmt::format("router-{}", number++ % 3 + 1);
                            const auto end = scene.chat(
                                {.router_ = router, .message_ = fmt::format("short {} [tokens=5]", number)});
                            check(end.completed_, toString(end));
                        }
                        streams.expectAllCompleted();
                        check(received == scene.loggedSteps("engine-1-agent", "receive"), "new work after 3 s");
                        const auto status = scene.system().waitExit("engine-1-agent", testTimeout);
                        check(status && *status == 0, status ? std::to_string(*status) : toString(status.failure()));
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
