#include "jasminewood/duties/window_clock.h"

#include "jasminewood/testkit/test_suite.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::duties;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

const auto bootStart = BootTime() + 1h;
constexpr auto dayStart = Milliseconds(1'767'225'600'000);

auto observeFor(WindowClock &clock, BootTime from, std::chrono::seconds time, Milliseconds step) -> void
{
    for (auto passed = 0s; passed <= time; ++passed) {
        const auto now = from + passed;
        clock.observe(dayStart + std::chrono::floor<Milliseconds>(now - bootStart) + step, now);
    }
}

const testkit::TestSuite suite = {"the clock of windows",
    {
        section("of a machine whose time of day steps",
            {
                // Guards against requests that are counted in the windows of a wrong hour.
                test("ignores a step that ends within a minute",
                    [] {
                        auto clock = WindowClock(dayStart, bootStart);
                        observeFor(clock, bootStart + 1s, 50s, 30s);
                        check(clock.at(bootStart + 52s) == dayStart + 52s, "the step is ignored");
                        observeFor(clock, bootStart + 53s, 100s, 0s);
                        check(clock.at(bootStart + 160s) == dayStart + 160s, "the clock is as before");
                    }),
                // Guards against a machine that keeps the wrong time of its start for ever.
                test("follows a step that lasts, and a drift",
                    [] {
                        auto clock = WindowClock(dayStart, bootStart);
                        observeFor(clock, bootStart + 1s, 61s, -7s);
                        check(clock.at(bootStart + 70s) == dayStart + 63s, "the step is followed");
                        clock.observe(dayStart + 73s + 40ms, bootStart + 80s);
                        check(clock.at(bootStart + 80s) == dayStart + 73s + 40ms, "the drift is followed");
                    }),
            }),
    }};

} // namespace
