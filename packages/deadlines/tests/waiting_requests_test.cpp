#include "jasminewood/deadlines/waiting_requests.h"

#include <vector>

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

const auto now = TimePoint(100s);

auto requestFor(const std::string &engine, std::uint32_t rank, std::uint64_t arrival, Milliseconds bound = 500ms)
    -> WaitingRequest
{
    return {.rank_ = rank, .arrival_ = arrival, .engine_ = engine, .bound_ = bound, .chosenAt_ = now};
}

const testkit::TestSuite suite = {"late requests that wait",
    {
        section("for one engine",
            {
                // Guards against requests that are starved by later ones, or that go before more urgent ones.
                property("go by rank and then by arrival",
                    [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &requests) {
                        auto waiting = WaitingRequests();
                        auto ticket = Ticket(0);
                        for (const auto &[rank, arrival] : requests) {
                            waiting.add(++ticket, requestFor("a", rank, arrival));
                        }
                        auto previous = std::pair<std::uint8_t, std::uint8_t>(0, 0);
                        while (const auto next = waiting.takeNext("a", 0ms, now)) {
                            const auto &taken = requests[*next - 1];
                            RC_ASSERT(previous <= taken);
                            previous = taken;
                        }
                        RC_ASSERT(waiting.size() == 0U);
                    }),
                // Guards against late prompts that are prefilled before prompts that can be in time.
                test("stay while its backlog exceeds their bound",
                    [] {
                        auto waiting = WaitingRequests();
                        waiting.add(1, requestFor("a", 0, 1, 100ms));
                        waiting.add(2, requestFor("a", 0, 2, 700ms));
                        check(!waiting.takeNext("a", 701ms, now));
                        check(waiting.takeNext("a", 700ms, now) == 2);
                        check(!waiting.takeNext("a", 101ms, now));
                        check(waiting.takeNext("a", 100ms, now) == 1);
                    }),
                // Guards against a new request that takes the room of one that has waited.
                test("are known to requests that go after them",
                    [] {
                        auto waiting = WaitingRequests();
                        waiting.add(1, requestFor("a", 1, 10));
                        check(waiting.hasBefore("a", 1, 11) && waiting.hasBefore("a", 2, 0));
                        check(!waiting.hasBefore("a", 1, 9) && !waiting.hasBefore("a", 0, 11));
                        check(!waiting.hasBefore("b", 9, 99));
                        waiting.remove(1);
                        check(!waiting.hasBefore("a", 1, 11) && !waiting.takeNext("a", 0ms, now));
                    }),
            }),
        section("while another engine is idle",
            {
                // Guards against an idle engine beside requests that wait for a busy one, and against requests that are
                // woken again and again in vain.
                test("choose again, but not right after the last choice",
                    [] {
                        auto waiting = WaitingRequests();
                        waiting.add(1, requestFor("a", 0, 1));
                        check(!waiting.takeNext("b", 0ms, now + rechoiceInterval - 1ms));
                        check(!waiting.takeNext("b", 1ms, now + rechoiceInterval));
                        check(waiting.takeNext("b", 0ms, now + rechoiceInterval) == 1);
                    }),
            }),
        section("for an engine that is gone",
            {
                // Guards against requests that wait for an engine without a backlog report for ever.
                test("are all returned",
                    [] {
                        auto waiting = WaitingRequests();
                        waiting.add(1, requestFor("a", 0, 2));
                        waiting.add(2, requestFor("a", 0, 1));
                        waiting.add(3, requestFor("b", 0, 1));
                        check(waiting.takeWaitingFor("a") == 2 && waiting.takeWaitingFor("a") == 1);
                        check(!waiting.takeWaitingFor("a") && waiting.size() == 1);
                    }),
            }),
        section("are bounded in their time",
            {
                // Guards against requests that wait until their timeout.
                property("to a share of the timeout, and leave the time for the response",
                    [](std::uint16_t timeout, std::uint16_t remaining, std::uint16_t firstToken, std::uint16_t waited) {
                        const auto limits = WaitLimits {.timeout_ = Milliseconds(timeout),
                            .remaining_ = Milliseconds(remaining),
                            .firstToken_ = Milliseconds(firstToken)};
                        const auto wait = maximumWait(limits, Milliseconds(waited));
                        RC_ASSERT(wait >= 0ms);
                        RC_ASSERT(
                            wait == 0ms || double((wait + Milliseconds(waited)).count()) <= timeout * maximumWaitShare);
                        RC_ASSERT(wait == 0ms
                            || double((wait + limits.firstToken_).count()) <= remaining - timeout * responseShare + 1);
                    }),
                // Guards against routers that all send a prompt to an engine in the same moment, and against one that
                // waits although it is alone or the engine idle.
                test("by a backlog that looks larger by the draw, unless there is one router or no backlog",
                    [] {
                        check(comparedBacklog(300ms, 1, 0.5) == 300ms);
                        check(comparedBacklog(300ms, 2, 0.5) == 600ms);
                        check(comparedBacklog(300ms, 2, 0) > 1min);
                        check(comparedBacklog(0ms, 9, 0) == 0ms);
                    }),
            }),
        section("in large numbers",
            {
                // Guards against decisions that take time in proportion to the waiting requests: 100 engines decide
                // for 1,000 of them again and again while the lock of the pool is held.
                test("are found by few steps",
                    [] {
                        auto waiting = WaitingRequests();
                        for (auto index = 0U; index < 1'000; ++index) {
                            waiting.add(
                                index + 1, requestFor("engine-" + std::to_string(index % 100), index % 5, index));
                        }
                        auto taken = 0;
                        for (auto round = 0; round < 10; ++round) {
                            for (auto engine = 0; engine < 100; ++engine) {
                                taken += waiting.takeNext("engine-" + std::to_string(engine), 0ms, now) ? 1 : 0;
                            }
                        }
                        check(taken == 1'000 && waiting.size() == 0);
                    }),
            }),
    }};

} // namespace
