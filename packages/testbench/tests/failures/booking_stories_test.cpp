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

// Outcomes of the bookings of one story.
struct Outcomes
{
    std::atomic<std::size_t> answered_ = 0;
    std::atomic<std::size_t> unsettled_ = 0;
    std::atomic<std::size_t> refused_ = 0;
    Counter ended_;

    auto note(const CallEnd &end) -> void
    {
        auto &kind = end.answered_ ? answered_ : (end.runState_ == RunState::MayHaveRun ? unsettled_ : refused_);
        ++kind;
        ended_.add();
    }

    auto text() const -> std::string
    {
        return fmt::format("{} answered, {} unsettled, {} refused", answered_, unsettled_, refused_);
    }
};

// Each caller makes `each` bookings one after another.
auto bookEach(Scene &scene, Outcomes &outcomes, std::size_t each) -> std::function<auto(std::size_t)->void>
{
    return [&scene, &outcomes, each](std::size_t caller) -> void {
        for (auto number = std::size_t(0); number < each; ++number) {
            outcomes.note(scene.bookUntilSettled(fmt::format("key-{}-{}", caller, number), caller));
        }
    };
}

auto expectAllAnswered(const Outcomes &outcomes, std::size_t count) -> void
{
    check(outcomes.answered_ == count, outcomes.text());
}

// Fails if no router met another router's claim, since the fault hit no booking in flight then.
auto expectAsked(Scene &scene) -> void
{
    check(scene.loggedSteps("booking-1-agent", "void") + scene.loggedSteps("booking-2-agent", "void") > 0,
        "no claim of another router was met");
}

const testkit::TestSuite story = {"a booking",
    {
        section("whose claim's answer is lost",
            {
                // Guards against a claim that is made twice, or that is never dispatched, when only its answer is lost.
                test("is recognised as claimed and runs once",
                    [] {
                        auto scene = Scene({});
                        scene.fault("kv", R"({"lose_answers": 12})");
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 10));
                        outcomes.ended_.waitFor(30);
                        scene.fault("kv", R"({"lose_answers": 12})");
                        running.join();
                        expectAllAnswered(outcomes, callers * 10);
                        scene.checkHistory();
                    }),
            }),
        section("while the key-value service is slow",
            {
                // Guards against a claim that is given up while its write still takes effect.
                test("runs at most once and is answered",
                    [] {
                        auto scene = Scene({});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 6));
                        outcomes.ended_.waitFor(8);
                        scene.fault("kv", R"({"slow_ms": 2300, "for_ms": 3000})");
                        running.join();
                        expectAllAnswered(outcomes, callers * 6);
                        scene.checkHistory();
                    }),
            }),
        section("while the key-value service is out",
            {
                // Guards against bookings without a claim, and against an outage that reaches requests without one.
                test("is refused as not run with a retry time while chats go on",
                    [] {
                        auto scene = Scene({});
                        check(scene.book({.router_ = "router-1", .key_ = "before"}).answered_);
                        scene.fault("kv", R"({"down_ms": 4000})");
                        const auto end = Clock::now() + Milliseconds(2'500);
                        auto refused = std::atomic<std::size_t>(0);
                        auto chats = std::atomic<std::size_t>(0);
                        auto running = Callers(callers, [&](std::size_t caller) {
                            const auto router = fmt::format("router-{}", caller % 3 + 1);
                            for (auto number = 0; Clock::now() < end; ++number) {
                                if (caller % 2 == 0) {
                                    const auto chat = scene.chat({.router_ = router,
                                        .message_ = fmt::format("film {} {} [tokens=20]", caller, number)});
                                    check(chat.answered_, toString(chat));
                                    ++chats;
                                    continue;
                                }
                                const auto booking
                                    = scene.book({.router_ = router, .key_ = fmt::format("out-{}-{}", caller, number)});
                                check(booking.status_ == 503 && booking.runState_ == RunState::NotRun
                                        && booking.retryAfter_,
                                    toString(booking));
                                ++refused;
                                std::this_thread::sleep_for(Milliseconds(20));
                            }
                        });
                        running.join();
                        check(chats > 0 && refused > 0, fmt::format("{} chats, {} refusals", chats, refused));
                        check(scene.bookUntilSettled("after", 0).answered_);
                        scene.checkHistory({.stalledClasses_ = {"booking-confirmation"}});
                    }),
            }),
        section("whose router is killed between the claim and the answer",
            {
                // Guards against a retry that runs the booking again, or that is told "not run" while it runs.
                test("is answered to a retry over another router and runs once",
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
                        expectAllAnswered(outcomes, callers * 4);
                        expectAsked(scene);
                        scene.checkHistory();
                    }),
            }),
        section("whose router freezes with it in flight",
            {
                // Guards against the claim of a frozen router that is dispatched after another router took it over.
                test("is answered to a retry over another router and runs once after the thaw",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(150)});
                        auto outcomes = Outcomes();
                        auto abandoned = Callers(callers, [&](std::size_t caller) {
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
                                    if (scene.book({.router_ = router, .key_ = key}).answered_) {
                                        ++retried;
                                        break;
                                    }
                                    std::this_thread::sleep_for(Milliseconds(50));
                                }
                            }
                        });
                        running.join();
                        scene.system().resume("router-1");
                        abandoned.join();
                        check(retried == callers * 6, fmt::format("{} of {} answered", retried, callers * 6));
                        expectAsked(scene);
                        scene.checkHistory();
                    }),
            }),
        section("whose agent is killed and restarted",
            {
                // Guards against a new agent that runs what its predecessor may have run.
                test("runs at most once, and what the other upstream has is answered",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(100)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 8));
                        outcomes.ended_.waitFor(10);
                        scene.kill("booking-1-agent");
                        outcomes.ended_.waitFor(20);
                        scene.restart("booking-1-agent");
                        running.join();
                        // At most the bookings that were at the agent when it was killed stay unsettled.
                        check(outcomes.refused_ == 0 && outcomes.unsettled_ <= callers, outcomes.text());
                        scene.checkHistory();
                    }),
            }),
        section("that meets two failures at once",
            {
                // Guards against a mechanism that relies on another one that fails at the same time.
                test("runs at most once when a router is killed while the key-value service is out",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(200)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 4));
                        outcomes.ended_.waitFor(6);
                        scene.fault("kv", R"({"down_ms": 2000})");
                        scene.kill("router-2");
                        scene.restart("router-2");
                        running.join();
                        expectAllAnswered(outcomes, callers * 4);
                        scene.checkHistory();
                    }),
                // Guards against claims that are lost or doubled between two parts that both forget.
                test("runs at most once when its agent is killed while answers of the key-value service are lost",
                    [] {
                        auto scene = Scene({.bookingWork_ = Milliseconds(100)});
                        auto outcomes = Outcomes();
                        auto running = Callers(callers, bookEach(scene, outcomes, 6));
                        outcomes.ended_.waitFor(6);
                        scene.fault("kv", R"({"lose_answers": 20})");
                        scene.kill("booking-2-agent");
                        scene.restart("booking-2-agent");
                        running.join();
                        check(outcomes.refused_ == 0 && outcomes.unsettled_ <= callers, outcomes.text());
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
