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
// Each process has one watch and one backoff loop, and claims have one more: during an outage three routers try far
// less often than this, whatever callers do. A call for each refused booking would exceed it many times.
constexpr auto callsPerSecond = 15.0;
// Calls at the key-value service while it returns: what the loops of three routers and the first claims need.
constexpr auto callsOnReturn = std::size_t(150);

const testkit::TestSuite story = {"a key-value service",
    {
        section("that is out for 20 s",
            {
                // Guards against calls that grow with the number of refused bookings, and against a stampede on return.
                test("is called a bounded number of times a second and is not overrun when it returns",
                    [] {
                        auto scene = Scene({.engines_ = 1, .bookings_ = 1, .bookingWork_ = Milliseconds(5)});
                        const auto atFirst = scene.routersStoreCalls();
                        scene.fault("kv", fmt::format(R"({{"down_ms": {}}})", outage.count()));
                        const auto begin = Clock::now();
                        auto refused = std::atomic<std::size_t>(0);
                        auto answered = Counter();
                        auto running = Callers(12, [&](std::size_t caller) {
                            for (auto number = 0;; ++number) {
                                const auto end = scene.book({.router_ = fmt::format("router-{}", caller % 3 + 1),
                                    .key_ = fmt::format("out-{}-{}", caller, number)});
                                if (end.answered_) {
                                    answered.add();
                                    return;
                                }
                                ++refused;
                                check(end.runState_ == RunState::NotRun, toString(end));
                                check(Clock::now() < begin + outage + storyDeadline, "bookings do not come back");
                                std::this_thread::sleep_for(Milliseconds(50));
                            }
                        });
                        std::this_thread::sleep_until(begin + outage - Milliseconds(1'000));
                        const auto during = scene.routersStoreCalls() - atFirst;
                        running.join();
                        const auto rate = double(during) * 1'000.0 / double(outage.count() - 1'000);
                        check(rate <= callsPerSecond, fmt::format("{:.1f} calls a second", rate));
                        const auto onReturn = scene.routersStoreCalls() - atFirst - during;
                        check(onReturn <= callsOnReturn, fmt::format("{} calls on return", onReturn));
                        check(refused > 12 * 50, fmt::format("only {} refusals", refused));
                        scene.checkHistory({.stalledClasses_ = {"booking-confirmation"}});
                    }),
            }),
    }};

} // namespace
