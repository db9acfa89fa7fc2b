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

const testkit::TestSuite suite = {"an output length estimator",
    {
        section("with many samples",
            {
                // Guards against an estimate that drifts away from the quantile.
                property("is near the 90th percentile of uniformly distributed lengths",
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
                // Guards against an estimate that does not adapt to a new workload.
                test("adapts to a change of workload within a hundred samples",
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
        section("with few samples",
            {
                // Guards against a prediction for a new account from a single sample or from none.
                test("uses the estimate of the class, or none if the class has too few samples",
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
        section("with more accounts than it can keep",
            {
                // Guards against memory that grows with the number of accounts.
                test("evicts the least recently updated account and keeps the class",
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
