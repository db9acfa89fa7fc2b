#include "jasminewood/deadlines/first_token.h"

#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::deadlines;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr double rate = 25;

const testkit::TestSuite suite = {"an estimate of the time to first token",
    {
        section("at an engine with pending prompts in time and late ones",
            {
                // Guards against requests that count as late because of late prompts, behind which they do not wait.
                test("includes late ones only for a late prompt",
                    [] {
                        const auto engine = EngineState {.inTimeTokens_ = 5'000, .lateTokens_ = 50'000, .slots_ = 48};
                        check(estimateFirstToken(engine, 2'500, rate, PrefillScope::InTime) == 300ms);
                        check(estimateFirstToken(engine, 2'500, rate, PrefillScope::All) == 2'300ms);
                    }),
                // Guards against an overload in which requests that wait for a slot because they are late make each new
                // request late.
                test("includes requests that wait for a slot by the share of the tokens in time",
                    [] {
                        const auto engine = EngineState {
                            .inTimeTokens_ = 1'000, .lateTokens_ = 3'000, .activeRequests_ = 11, .slots_ = 8};
                        check(tokensBeforeFirstToken(engine, 0, PrefillScope::InTime)
                            == 1'000 + 11 * tokensPerRunningRequest + tokensPerQueuedRequest);
                        check(tokensBeforeFirstToken(engine, 0, PrefillScope::All)
                            == 4'000 + 11 * tokensPerRunningRequest + 4 * tokensPerQueuedRequest);
                    }),
                // Guards against reports of any size that overflow the estimate.
                property("never decreases with more work and stays within an hour",
                    [](std::uint64_t inTime, std::uint64_t late, std::uint32_t active) {
                        const auto engine
                            = EngineState {.inTimeTokens_ = inTime, .lateTokens_ = late, .activeRequests_ = active};
                        const auto first = estimateFirstToken(engine, 100, rate, PrefillScope::InTime);
                        const auto all = estimateFirstToken(engine, 100, rate, PrefillScope::All);
                        RC_ASSERT(first > 0ms && first <= all && all <= 1h);
                    }),
            }),
        section("at a slow engine",
            {
                // Guards against prompts that are counted as in time at an engine whose host is overloaded.
                test("grows with its slowness",
                    [] {
                        const auto engine = EngineState {.slots_ = 8, .slowness_ = 2};
                        check(estimateFirstToken(engine, 2'500, rate, PrefillScope::InTime) == 200ms);
                    }),
            }),
    }};

} // namespace
