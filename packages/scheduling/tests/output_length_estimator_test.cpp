#include "jasminewood/scheduling/output_length_estimator.h"

#include <random>

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::scheduling;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

namespace
{

constexpr std::uint32_t sampleSeed = 20261204;

const testkit::TestSuite story = {"a length estimator",
    {
        section("that has seen many requests",
            {
                // Guards against an estimate that drifts away from the quantile.
                property("is near the 90th percentile of a uniform mix",
                    [] {
                        const auto largest = *rc::gen::inRange<std::uint32_t>(100, 20000);
                        auto random = std::mt19937(*rc::gen::arbitrary<std::uint32_t>());
                        auto lengths = std::uniform_int_distribution<std::uint32_t>(1, largest);
                        auto quantile = StreamingQuantile(outputLengthQuantile);
                        for (auto sample = 0; sample < 2000; ++sample) {
                            quantile.addSample(lengths(random));
                        }
                        RC_ASSERT(quantile.estimate() > 0.65 * largest && quantile.estimate() < 1.2 * largest);
                    }),
                // Guards against an estimate that sticks to an old workload.
                test("follows a change within a hundred requests",
                    [] {
                        auto random = std::mt19937(sampleSeed);
                        auto around = std::uniform_int_distribution<std::uint32_t>(80, 120);
                        auto estimator = OutputLengthEstimator();
                        for (auto sample = 0; sample < 1000; ++sample) {
                            estimator.addSample("chat", "shop", around(random));
                        }
                        check(!estimator.isLikelyLong("chat", "shop", 1000));
                        for (auto sample = 0; sample < 100; ++sample) {
                            estimator.addSample("chat", "shop", 50 * around(random));
                        }
                        check(estimator.isLikelyLong("chat", "shop", 1000));
                    }),
            }),
        section("that has seen few requests",
            {
                // Guards against placing a new account's requests by one sample or without any.
                test("falls back to the class and then to nothing",
                    [] {
                        auto estimator = OutputLengthEstimator();
                        check(!estimator.estimate("diagnosis", "a"));
                        for (auto sample = 0; sample < 10; ++sample) {
                            estimator.addSample("diagnosis", "a", 4000);
                        }
                        estimator.addSample("diagnosis", "b", 10);
                        check(estimator.isLikelyLong("diagnosis", "b", 1000));
                        check(!estimator.isLikelyLong("chat", "a", 1000));
                    }),
            }),
        section("with more accounts than it remembers",
            {
                // Guards against memory that grows with the number of accounts.
                test("forgets the account unused for longest and keeps the class",
                    [] {
                        auto estimator = OutputLengthEstimator();
                        for (auto sample = 0U; sample < minimumLengthSamples; ++sample) {
                            estimator.addSample("chat", "old", 8000);
                        }
                        for (auto account = std::size_t(0); account < maximumLengthEstimates; ++account) {
                            estimator.addSample("chat", std::to_string(account), 10);
                        }
                        check(estimator.estimate("chat", "old").value_or(0) < 1000);
                    }),
            }),
    }};

} // namespace
