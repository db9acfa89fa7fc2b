#include "jasminewood/congestion/event_coalescing.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::congestion;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite suite = {"the events of a stream",
    {
        section("at a router with processor time to spare",
            {
                // Guards against pauses that callers see although the router could pass each event on at once.
                test("are passed on at once",
                    [] {
                        check(coalescingDelay(200ms, 0) == 0ms);
                        check(coalescingDelay(200ms, 0.5) == 0ms);
                    }),
            }),
        section("at a router that is short of processor time",
            {
                // Guards against a router that spends its time on single events and reads requests late.
                test("accumulate the longer the busier it is",
                    [] {
                        const auto half = coalescingDelay(200ms, 0.65);
                        check(half > 0ms && half < coalescingDelay(200ms, 0.8));
                        check(coalescingDelay(200ms, 0.8) == maximumCoalescingDelay);
                        check(coalescingDelay(200ms, 1.5) == maximumCoalescingDelay);
                    }),
                // Guards against responses that are late because of the delay alone.
                test("accumulate for at most half of the pause that their route allows",
                    [] {
                        check(coalescingDelay(100ms, 1) == 50ms);
                        check(coalescingDelay(0ms, 1) == maximumCoalescingDelay);
                    }),
            }),
    }};

} // namespace
