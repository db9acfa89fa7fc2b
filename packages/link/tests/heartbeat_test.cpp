#include "jasminewood/link/heartbeat.h"

#include "jasminewood/link/backoff.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace std::chrono_literals;
using jasminewood::link::HeartbeatClock;
using jasminewood::link::HeartbeatDue;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto start = TimePoint(1000s);

const testkit::Story heartbeats = {"the heartbeat clock of a connection",
    {
        section("just opened",
            {
                // Guards against a first load report that is late by an interval.
                test("sends a heartbeat at once and then each interval",
                    [] {
                        auto clock = HeartbeatClock(start);
                        check(clock.due(start) == HeartbeatDue::SendHeartbeat);
                        clock.sent(start);
                        check(clock.nextDeadline() == start + 500ms);
                        check(clock.due(start + 499ms) == HeartbeatDue::Nothing);
                        check(clock.due(start + 500ms) == HeartbeatDue::SendHeartbeat);
                    }),
            }),
        section("whose peer is silent",
            {
                // Guards against a silent connection that is kept longer than 1.5 s, or given up sooner.
                test("reports silence exactly at the limit, however much is sent",
                    [] {
                        auto clock = HeartbeatClock(start);
                        clock.received(start + 200ms);
                        for (auto now = start; now < start + 1700ms; now = clock.nextDeadline()) {
                            check(clock.due(now) == HeartbeatDue::SendHeartbeat);
                            clock.sent(now);
                        }
                        check(clock.nextDeadline() == start + 1700ms);
                        check(clock.due(start + 1699ms) != HeartbeatDue::Silent);
                        check(clock.due(start + 1700ms) == HeartbeatDue::Silent);
                    }),
            }),
        section("whose peer speaks within the limit",
            {
                test("never reports silence",
                    [] {
                        auto clock = HeartbeatClock(start);
                        for (auto now = start; now < start + 60s; now += 1499ms) {
                            check(clock.due(now) != HeartbeatDue::Silent);
                            clock.received(now);
                        }
                    }),
            }),
    }};

const testkit::Story backoffs = {"the wait between dials",
    {
        // Guards against peers that all dial a returning process at once, and against waits above 2 s.
        property("grows to its limit within the upper half of each step",
            [](std::uint64_t seed) {
                auto backoff = link::Backoff(seed);
                for (auto ceiling = Milliseconds(50); ceiling < 10s; ceiling *= 2) {
                    const auto longest = std::min(ceiling, Milliseconds(2000));
                    const auto wait = backoff.next();
                    RC_ASSERT(wait >= longest / 2);
                    RC_ASSERT(wait <= longest);
                }
                backoff.reset();
                RC_ASSERT(backoff.next() <= Milliseconds(50));
            }),
    }};

} // namespace
