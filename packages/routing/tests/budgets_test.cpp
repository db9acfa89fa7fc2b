#include <numeric>

#include "jasminewood/routing/hedge_policy.h"
#include "jasminewood/routing/retry_budget.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

namespace
{

const auto start = TimePoint(Milliseconds(1'000'000));

const testkit::Story story = {"a budget",
    {
        section("of retries",
            {
                // Guards against retries that multiply an overload.
                property("holds for any sequence of requests, retries and pauses",
                    [] {
                        auto budget = RetryBudget();
                        auto now = start;
                        auto requests = 0;
                        auto retries = 0;
                        const auto busy = *rc::gen::inRange(1, 20);
                        for (auto step = 0; step < 500; ++step) {
                            if (*rc::gen::inRange(0, 20) < busy) {
                                budget.requested(now);
                                ++requests;
                            }
                            retries += budget.tryRetry(now) ? 1 : 0;
                            const auto seconds = std::chrono::duration<double>(now - start).count();
                            RC_ASSERT(retries
                                <= initialRetries + retryFraction * requests + retryFloorPerSecond * seconds + 1e-6);
                            now += Milliseconds(*rc::gen::element(0, 0, 1, 50));
                        }
                    }),
                // Guards against a router with little traffic that cannot retry at all, and a burst without bound.
                test("refills by its floor and saves up no more than its burst",
                    [] {
                        auto budget = RetryBudget();
                        while (budget.tryRetry(start)) {}
                        check(!budget.tryRetry(start + Milliseconds(900)));
                        check(budget.tryRetry(start + Milliseconds(1100)));
                        auto retries = 0;
                        while (budget.tryRetry(start + std::chrono::hours(24))) {
                            ++retries;
                        }
                        check(retries == static_cast<int>(retryBurst));
                    }),
            }),
        section("of hedges",
            {
                // Guards against hedges that add more load than their budget.
                property("holds for any sequence of requests and hedges",
                    [] {
                        auto policy = HedgePolicy();
                        auto requests = 0;
                        auto hedges = 0;
                        for (auto step = 0; step < 1000; ++step) {
                            if (*rc::gen::inRange(0, 3) > 0) {
                                policy.requested();
                                ++requests;
                            }
                            hedges += policy.tryHedge() ? 1 : 0;
                            RC_ASSERT(hedges <= hedgeFraction * requests + 1e-6);
                        }
                        RC_ASSERT(hedges >= hedgeFraction * requests - 1 - 1e-6);
                    }),
                // Guards against a hedge for every request, and against one by too few measurements.
                property("is spent after the 95th percentile of the class's latest first-token times",
                    [] {
                        auto policy = HedgePolicy();
                        const auto base = *rc::gen::inRange(1, 1000);
                        for (auto sample = 0; sample < static_cast<int>(minimumHedgeSamples); ++sample) {
                            check(!policy.hedgeAfter("quote"));
                            policy.firstToken("quote", Milliseconds(100000));
                        }
                        for (auto sample = 1; sample <= static_cast<int>(hedgeSamples); ++sample) {
                            policy.firstToken("quote", Milliseconds(base * sample));
                        }
                        const auto after = policy.hedgeAfter("quote");
                        RC_ASSERT(*after >= Milliseconds(base * 375) && *after <= Milliseconds(base * 385));
                        RC_ASSERT(!policy.hedgeAfter("chat"));
                    }),
            }),
    }};

} // namespace
