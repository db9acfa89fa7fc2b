#include "jasminewood/link/heartbeat.h"

#include "jasminewood/link/backoff.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace std::chrono_literals;
using jasminewood::link::HeartbeatTimer;
using jasminewood::link::HeartbeatAction;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto start = TimePoint(1000s);

const testkit::TestSuite heartbeats = {"the heartbeat clock of a connection",
    {
        section("just opened",
            {
                // Guards against a first load report that is late by an interval.
                test("sends a heartbeat at once and then each interval",
                    [] {
                        auto clock = HeartbeatTimer(start);
                        check(clock.actionDue(start) == HeartbeatAction::SendHeartbeat);
                        clock.recordSent(start);
                        check(clock.nextDeadline() == start + 500ms);
                        check(clock.actionDue(start + 499ms) == HeartbeatAction::Nothing);
                        check(clock.actionDue(start + 500ms) == HeartbeatAction::SendHeartbeat);
                    }),
            }),
        section("whose peer is silent",
            {
                // Guards against a silent connection that is kept longer than 1.5 s, or given up sooner.
                test("reports silence exactly at the limit, however much is sent",
                    [] {
                        auto clock = HeartbeatTimer(start);
                        clock.recordReceived(start + 200ms);
                        for (auto now = start; now < start + 1700ms; now = clock.nextDeadline()) {
                            check(clock.actionDue(now) == HeartbeatAction::SendHeartbeat);
                            clock.recordSent(now);
                        }
                        check(clock.nextDeadline() == start + 1700ms);
                        check(clock.actionDue(start + 1699ms) != HeartbeatAction::PeerTimedOut);
                        check(clock.actionDue(start + 1700ms) == HeartbeatAction::PeerTimedOut);
                    }),
            }),
        section("whose peer speaks within the limit",
            {
                test("never reports silence",
                    [] {
                        auto clock = HeartbeatTimer(start);
                        for (auto now = start; now < start + 60s; now += 1499ms) {
                            check(clock.actionDue(now) != HeartbeatAction::PeerTimedOut);
                            clock.recordReceived(now);
                        }
                    }),
            }),
    }};

const testkit::TestSuite backoffs = {"the wait between dials",
    {
        // Guards against peers that all dial a returning process at once, and against waits above 2 s.
        property("grows to its limit within the upper half of each step",
            [](std::uint64_t seed) {
                auto backoff = link::Backoff(seed);
                for (auto ceiling = Milliseconds(50); ceiling < 10s; ceiling *= 2) {
                    const auto longest = std::min(ceiling, Milliseconds(2000));
                    const auto wait = backoff.nextDelay();
                    RC_ASSERT(wait >= longest / 2);
                    RC_ASSERT(wait <= longest);
                }
                backoff.reset();
                RC_ASSERT(backoff.nextDelay() <= Milliseconds(50));
            }),
    }};

} // namespace
