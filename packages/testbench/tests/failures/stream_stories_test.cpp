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

// Design page, section 3: service over a silent connection is restored within this time.
constexpr auto restoredWithin = Milliseconds(2'000);
// Design page, section 2: a leaving upstream receives no new work after this time.
constexpr auto leftWithin = Milliseconds(3'000);

// Concurrent streams, each over a router of its own choice.
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

    // Streams that have begun to arrive.
    Counter begun_;

    // Streams that have received half of their tokens.
    Counter halfway_;

    // Fails the test unless all streams were answered whole.
    auto expectWhole() -> void
    {
        running_.join();
    }

    // The longest time between two arrivals of output of one stream.
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
                    noteGap(now - *last);
                }
                last = now;
                if (received >= tokens / 2 && !halfway) {
                    halfway = true;
                    halfway_.add();
                }
            }});
        check(end.answered_, toString(end));
    }

    auto noteGap(Clock::duration gap) -> void
    {
        auto longest = longestGap_.load();
        while (gap.count() > longest && !longestGap_.compare_exchange_weak(longest, gap.count())) {}
    }

    const std::vector<std::string> routers_;
    const std::string requestClass_;
    std::atomic<Clock::rep> longestGap_ = 0;
    Callers running_;
};

// Returns how many runs the engines counted for each request.
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
                // Guards against a gap or a repeat where the second engine takes over.
                test("goes on at another engine without a gap or a repeat",
                    [] {
                        auto scene = Scene({.engines_ = 3, .bookings_ = 0});
                        auto streams = Streams(scene, 24, 300, scene.system().routers());
                        streams.begun_.waitFor(24);
                        scene.fault("engine-1", R"({"crash": true})");
                        streams.expectWhole();
                        check(scene.loggedSteps("engine-2-agent", "receive")
                                    + scene.loggedSteps("engine-3-agent", "receive")
                                > 24 - scene.loggedSteps("engine-1-agent", "receive"),
                            "the crash met no stream");
                        scene.checkHistory();
                    }),
            }),
        section("whose agent is killed",
            {
                // Guards against streams that end with their agent although the request is idempotent.
                test("goes on over another agent without a gap or a repeat",
                    [] {
                        auto scene = Scene({.engines_ = 3, .bookings_ = 0});
                        // Half of the stream lasts longer than the class may wait for a start.
                        auto streams = Streams(scene, 24, 600, scene.system().routers(), "quote-draft");
                        streams.halfway_.waitFor(24);
                        const auto hit = scene.loggedSteps("engine-1-agent", "start");
                        scene.kill("engine-1-agent");
                        streams.expectWhole();
                        check(hit > 0, "the agent had no stream");
                        scene.checkHistory();
                    }),
            }),
        section("whose connection between router and agent goes silent",
            {
                // Guards against streams that stall until a timeout, and against a second run of what still runs.
                test("goes on over a new connection within 2 s and runs once",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 0});
                        auto relay = TcpRelay(scene.system().linkAddress("engine-1-agent"));
                        scene.redirect("engine-1-agent", relay.address());
                        const auto connected = [&]() -> std::size_t {
                            return relay.connectionCount();
                        };
                        const auto end = Clock::now() + storyDeadline;
                        while (connected() < scene.system().routers().size() && Clock::now() < end) {
                            std::this_thread::sleep_for(Milliseconds(20));
                        }
                        check(connected() == scene.system().routers().size(), "the routers use the relay");
                        auto streams = Streams(scene, 12, 500, scene.system().routers());
                        streams.begun_.waitFor(12);
                        relay.blackholeOpenConnections();
                        streams.expectWhole();
                        const auto gap = streams.longestGap();
                        check(gap <= restoredWithin, fmt::format("a stream stood still for {} ms", gap.count()));
                        check(gap >= Milliseconds(1'000), "the silence met no stream");
                        for (const auto &[request, runs] : runsByRequest(scene.collect())) {
                            check(runs == 1, fmt::format("{} ran {} times", request, runs));
                        }
                        scene.checkHistory();
                    }),
            }),
        section("open at a router that is told to stop",
            {
                // Guards against a planned shutdown that cuts requests off.
                test("is served to its end before the router exits",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 0});
                        auto streams = Streams(scene, 50, 400, {"router-1"});
                        streams.begun_.waitFor(50);
                        scene.markEnded("router-1");
                        scene.system().terminate("router-1");
                        streams.expectWhole();
                        const auto status = scene.system().waitExit("router-1", storyDeadline);
                        check(status && *status == 0, status ? std::to_string(*status) : toString(status.failure()));
                        scene.checkHistory();
                    }),
            }),
        section("at an agent that is told to stop",
            {
                // Guards against a planned shutdown that cuts requests off, and against routers that only believe the
                // VM list.
                test("is served to its end while new work goes elsewhere, though the VM list lags",
                    [] {
                        auto scene = Scene({.engines_ = 2, .bookings_ = 0});
                        auto streams = Streams(scene, 16, 900, scene.system().routers());
                        streams.begun_.waitFor(16);
                        check(scene.loggedSteps("engine-1-agent", "start") > 0, "the agent has no stream");
                        scene.markEnded("engine-1-agent");
                        scene.system().terminate("engine-1-agent");
                        const auto told = Clock::now();
                        auto received = std::optional<std::size_t>();
                        auto number = 0;
                        while (Clock::now() < told + leftWithin + Milliseconds(500)) {
                            if (!received && Clock::now() > told + leftWithin) {
                                received = scene.loggedSteps("engine-1-agent", "receive");
                            }
                            const auto router = fmt::format("router-{}", number++ % 3 + 1);
                            const auto end = scene.chat(
                                {.router_ = router, .message_ = fmt::format("short {} [tokens=5]", number)});
                            check(end.answered_, toString(end));
                        }
                        streams.expectWhole();
                        check(received == scene.loggedSteps("engine-1-agent", "receive"), "new work after 3 s");
                        const auto status = scene.system().waitExit("engine-1-agent", storyDeadline);
                        check(status && *status == 0, status ? std::to_string(*status) : toString(status.failure()));
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
