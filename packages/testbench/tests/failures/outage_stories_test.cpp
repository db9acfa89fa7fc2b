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

constexpr auto outage = Milliseconds(20'000);
// Each process has one watch and one backoff loop, and claims have another one. During an outage the calls of three
// routers stay far below this rate, whatever callers do. One call for each rejected booking would exceed it many times
// over.
constexpr auto maximumCallsPerSecond = 15.0;
// Calls while the key-value service recovers: those of the backoff loops of three routers and of the first claims.
constexpr auto maximumCallsOnRecovery = std::size_t(150);

const testkit::TestSuite story = {"a key-value service",
    {
        section("that is unavailable for 20 s",
            {
                // Guards against calls that grow with the number of rejected bookings, and against a thundering herd on
                // recovery.
                test("is called a bounded number of times per second and is not overloaded on recovery",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1, .bookingWork_ = Milliseconds(5)});
                        const auto callsBefore = scene.routersStoreCalls();
                        scene.fault("kv", fmt::format(R"({{"down_ms": {}}})", outage.count()));
                        const auto begin = Clock::now();
                        auto rejected = std::atomic<std::size_t>(0);
                        auto completed = Counter();
                        auto running = Callers(12, [&](std::size_t caller) {
                            for (auto number = 0;; ++number) {
                                const auto end = scene.book({.router_ = fmt::format("router-{}", caller % 3 + 1),
                                    .key_ = fmt::format("out-{}-{}", caller, number)});
                                if (end.completed_) {
                                    completed.add();
                                    return;
                                }
                                ++rejected;
                                check(end.runState_ == RunState::NotRun, toString(end));
                                check(Clock::now() < begin + outage + testTimeout, "bookings do not recover");
                                std::this_thread::sleep_for(Milliseconds(50));
                            }
                        });
                        std::this_thread::sleep_until(begin + outage - Milliseconds(1'000));
                        const auto during = scene.routersStoreCalls() - callsBefore;
                        running.join();
                        const auto rate = double(during) * 1'000.0 / double(outage.count() - 1'000);
                        check(rate <= maximumCallsPerSecond, fmt::format("{:.1f} calls a second", rate));
                        const auto onRecovery = scene.routersStoreCalls() - callsBefore - during;
                        check(onRecovery <= maximumCallsOnRecovery, fmt::format("{} calls on recovery", onRecovery));
                        check(rejected > 12 * 50, fmt::format("only {} rejections", rejected));
                        scene.checkHistory({.stalledClasses_ = {"booking-confirmation"}});
                    }),
            }),
    }};

} // namespace
