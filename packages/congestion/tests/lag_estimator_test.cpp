#include "jasminewood/congestion/lag_estimator.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::congestion;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto start = TimePoint(1'000s);

auto recordTimes(LagEstimator &estimator, int times, Clock::duration delay, TimePoint now) -> void
{
    for (auto time = 0; time < times; ++time) {
        estimator.record(delay, now);
    }
}

const testkit::TestSuite suite = {"an estimate of the lag",
    {
        section("of a process that is short of processor time",
            {
                // Guards against refusals that begin seconds after the lag or last longer than it.
                test("is the mean of the delays and ends two windows after the last one",
                    [] {
                        auto estimator = LagEstimator();
                        recordTimes(estimator, 5, 100ms, start);
                        recordTimes(estimator, 5, 300ms, start + 1s);
                        check(estimator.lag(start + 1s) == 200ms);
                        check(estimator.lag(start + 2s) == 300ms);
                        check(estimator.lag(start + 3s) == 0ms);
                    }),
                // Guards against refusals because of a single slow request.
                test("is 0 with fewer than four delays",
                    [] {
                        auto estimator = LagEstimator();
                        recordTimes(estimator, 3, 900ms, start);
                        check(estimator.lag(start) == 0ms);
                        estimator.record(900ms, start);
                        check(estimator.lag(start) == 900ms);
                    }),
            }),
        section("of a process that was suspended or whose clock jumped",
            {
                // Guards against refusals after a suspension, when nothing lags any more.
                test("ignores delays longer than 10 s and takes negative ones for 0",
                    [] {
                        auto estimator = LagEstimator();
                        recordTimes(estimator, 10, 11s, start);
                        check(estimator.lag(start) == 0ms);
                        recordTimes(estimator, 4, -1s, start);
                        check(estimator.lag(start) == 0ms);
                        recordTimes(estimator, 4, 100ms, start);
                        check(estimator.lag(start) == 50ms);
                    }),
            }),
    }};

} // namespace
