#include <algorithm>
#include <atomic>

#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"
#include "scene.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto callers = std::size_t(8);

// Counts the outcomes of the bookings of one test.
struct Outcomes
{
    std::atomic<std::size_t> completed_ = 0;
    std::atomic<std::size_t> unresolved_ = 0;
    std::atomic<std::size_t> rejected_ = 0;
    Counter ended_;

    auto record(const CallResult &end) -> void
    {
        auto &counter = end.completed_ ? completed_ : (end.runState_ == RunState::MayHaveRun ? unresolved_ : rejected_);
        ++counter;
        ended_.add();
    }

    auto text() const -> std::string
    {
        return fmt::format("{} completed, {} unresolved, {} rejected", completed_, unresolved_, rejected_);
    }
};

// Returns a caller that makes `each` bookings sequentially.
auto bookEach(Scene &scene, Outcomes &outcomes, std::size_t each) -> std::function<auto(std::size_t)->void>
{
    return [&scene, &outcomes, each](std::size_t caller) -> void {
        for (auto number = std::size_t(0); number < each; ++number) {
            outcomes.record(scene.bookUntilResolved(fmt::format("key-{}-{}", caller, number), caller));
        }
    };
}

auto expectAllCompleted(const Outcomes &outcomes, std::size_t count) -> void
{
    check(outcomes.completed_ == count, outcomes.text());
}

// Fails the test if no router voided the claim of another one, because then the fault affected no booking in flight.
auto expectClaimVoided(Scene &scene) -> void
{
    check(scene.loggedSteps("booking-1-agent", "void") + scene.loggedSteps("booking-2-agent", "void") > 0,
        "no router voided the claim of another router");
}

const testkit::TestSuite story = {"a booking",
    {
        section("whose response to the claim is lost",
            {
                // Guards against a claim that is created twice or never dispatched if only the response of the
                // key-value service is lost.
                test("is detected as claimed and runs once",
                    [] {
                        auto scene = Scene({});
                        scene.fault("kv", R"({"lose_answers": 12})");
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 10));
                        outcomes.ended_.waitFor(30);
                        scene.fault("kv", R"({"lose_answers": 12})");
                        running.join();
                        expectAllCompleted(outcomes, callers * 10);
                        scene.checkHistory();
                    }),
            }),
        section("while the key-value service is slow",
            {
                // Guards against a claim that is suspendedCallers while its write still takes effect.
                test("runs at most once and completes",
                    [] {
                        auto scene = Scene({});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 6));
                        outcomes.ended_.waitFor(8);
                        scene.fault("kv", R"({"slow_ms": 2300, "for_ms": 3000})");
                        running.join();
                        expectAllCompleted(outcomes, callers * 6);
                        scene.checkHistory();
                    }),
            }),
        section("while the key-value service is unavailable",
            {
                // Guards against bookings that run without a claim, and against an outage that affects requests that
                // need no claim.
                test("is rejected as not run with Retry-After while chats complete",
                    [] {
                        auto scene = Scene({});
                        check(scene.book({.router_ = "router-1", .key_ = "before"}).completed_);
                        scene.fault("kv", R"({"down_ms": 4000})");
                        const auto end = Clock::now() + Milliseconds(2'500);
                        auto rejected = std::atomic<std::size_t>(0);
                        auto chats = std::atomic<std::size_t>(0);
                        auto running = Callers(callers, [&](std::size_t caller) {
                            const auto router = fmt::format("router-{}", caller % 3 + 1);
                            for (auto number = 0; Clock::now() < end; ++number) {
                                if (caller % 2 == 0) {
                                    const auto chat = scene.chat({.router_ = router,
                                        .message_ = fmt::format("film {} {} [tokens=20]", caller, number)});
                                    check(chat.completed_, toString(chat));
                                    ++chats;
                                    continue;
                                }
                                const auto booking
                                    = scene.book({.router_ = router, .key_ = fmt::format("out-{}-{}", caller, number)});
                                check(booking.status_ == 503 && booking.runState_ == RunState::NotRun
                                        && booking.retryAfter_,
                                    toString(booking));
                                ++rejected;
                                std::this_thread::sleep_for(Milliseconds(20));
                            }
                        });
                        running.join();
                        check(chats > 0 && rejected > 0, fmt::format("{} chats, {} rejections", chats, rejected));
                        check(scene.bookUntilResolved("after", 0).completed_);
                        scene.checkHistory({.stalledClasses_ = {"booking-confirmation"}});
                    }),
            }),
        section("whose router is killed between the claim and the response",
            {
                // Guards against a retry that runs the booking again, or that is reported as not run while it runs.
                test("completes on retry over another router and runs once",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(300)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 4));
                        // Three callers use router-1, so with the fourth start one of its bookings is running.
                        scene.awaitLogged("router-1", "dispatch", 4);
                        scene.kill("router-1");
                        outcomes.ended_.waitFor(16);
                        scene.restart("router-1");
                        running.join();
                        expectAllCompleted(outcomes, callers * 4);
                        expectClaimVoided(scene);
                        scene.checkHistory();
                    }),
            }),
        section("whose router is suspended while it is in flight",
            {
                // Guards against a suspended router that dispatches its claim after another router has taken it over.
                test("completes on retry over another router and runs once, also after the router resumes",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(150)});
                        auto outcomes = Outcomes();
                        auto suspendedCallers = Callers(callers, [&](std::size_t caller) {
                            for (auto number = 0; number < 40; ++number) {
                                scene.book(
                                    {.router_ = "router-1", .key_ = fmt::format("frozen-{}-{}", caller, number)});
                                outcomes.ended_.add();
                            }
                        });
                        outcomes.ended_.waitFor(20);
                        scene.system().suspend("router-1");
                        auto retried = std::atomic<std::size_t>(0);
                        auto running = Callers(callers, [&](std::size_t caller) {
                            for (auto number = 0; number < 6; ++number) {
                                const auto key = fmt::format("frozen-{}-{}", caller, number);
                                const auto router = fmt::format("router-{}", caller % 2 + 2);
                                for (auto repeat = 0; repeat < 50; ++repeat) {
                                    if (scene.book({.router_ = router, .key_ = key}).completed_) {
                                        ++retried;
                                        break;
                                    }
                                    std::this_thread::sleep_for(Milliseconds(50));
                                }
                            }
                        });
                        running.join();
                        scene.system().resume("router-1");
                        suspendedCallers.join();
                        check(retried == callers * 6, fmt::format("{} of {} completed", retried, callers * 6));
                        expectClaimVoided(scene);
                        scene.checkHistory();
                    }),
            }),
        section("whose agent is killed and restarted",
            {
                // Guards against a restarted agent that runs a booking again that may have run before the restart.
                test("runs at most once, and completes if it is at the other upstream",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(100)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 8));
                        outcomes.ended_.waitFor(10);
                        scene.kill("booking-1-agent");
                        outcomes.ended_.waitFor(20);
                        scene.restart("booking-1-agent");
                        running.join();
                        // Only bookings that were at the agent when it was killed may stay unresolved.
                        check(outcomes.rejected_ == 0 && outcomes.unresolved_ <= callers, outcomes.text());
                        scene.checkHistory();
                    }),
            }),
        section("with two simultaneous failures",
            {
                // Guards against a recovery mechanism that depends on a component that fails at the same time.
                test("runs at most once when a router is killed while the key-value service is unavailable",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(200)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 4));
                        outcomes.ended_.waitFor(6);
                        scene.fault("kv", R"({"down_ms": 2000})");
                        scene.kill("router-2");
                        scene.restart("router-2");
                        running.join();
                        expectAllCompleted(outcomes, callers * 4);
                        scene.checkHistory();
                    }),
                // Guards against lost or duplicate claims if an agent loses its state while responses of the store are
                // lost.
                test("runs at most once when its agent is killed while responses of the key-value service are lost",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(100)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 6));
                        outcomes.ended_.waitFor(6);
                        scene.fault("kv", R"({"lose_answers": 20})");
                        scene.kill("booking-2-agent");
                        scene.restart("booking-2-agent");
                        running.join();
                        check(outcomes.rejected_ == 0 && outcomes.unresolved_ <= callers, outcomes.text());
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
