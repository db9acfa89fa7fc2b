#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"
#include "usage_model.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::forward;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

constexpr auto faultTime = Milliseconds(120'000);
constexpr auto calmTime = Milliseconds(60'000);
// Of the windows that ended in the last 30 s of 2 s each, those that ended in the last seconds are not due yet.
constexpr auto observedTime = Milliseconds(30'000);
constexpr std::size_t expectedWindows = 11;

auto runModels(std::uint64_t firstSeed, std::uint64_t count, const UsageFaults &faults) -> void
{
    auto calls = std::size_t(0);
    auto tokens = std::size_t(0);
    for (auto seed = firstSeed; seed < firstSeed + count; ++seed) {
        auto model = UsageModel(seed, faults);
        model.run(faultTime, true);
        check(model.violation().empty(), fmt::format("seed {}: {}", seed, model.violation()));
        model.run(calmTime, false);
        check(model.violation().empty(), fmt::format("seed {}: {}", seed, model.violation()));
        check(model.acceptedWithin(observedTime) >= expectedWindows,
            fmt::format("seed {}: only {} windows were accepted after the faults had ended", seed,
                model.acceptedWithin(observedTime)));
        calls += model.callCount();
        tokens += model.tokenCount();
    }
    check(calls > 20 * count && tokens >= count, fmt::format("{} calls with {} tokens", calls, tokens));
}

const testkit::TestSuite suite = {"routers that share the duty of usage reporting",
    {
        section("in a simulation with random faults",
            {
                // Guards against a duty that nobody holds, and against reports that are missing without any fault.
                test("report each window without faults",
                    [] {
                        runModels(1, 4,
                            {.storeFails_ = false,
                                .storeIsRestored_ = false,
                                .platformFails_ = false,
                                .routersFail_ = false});
                    }),
                // Guards against two holders at a time, and against windows with two contents.
                test("never break a rule of fencing while calls are lost and routers fail",
                    [] {
                        runModels(10'000, 150, {.storeIsRestored_ = false});
                    }),
                // Guards against tokens and windows that an older copy of the store gives out again.
                test("never break a rule of fencing while the store comes back from older copies",
                    [] {
                        runModels(20'000, 150, {});
                    }),
                // Guards against a holder that relies on the platform to refuse outdated calls.
                test("never break a rule of fencing if the platform does not compare tokens",
                    [] {
                        runModels(30'000, 150, {.platformFences_ = false});
                    }),
            }),
    }};

} // namespace
