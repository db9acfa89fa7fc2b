#include "jasminewood/link/heartbeat.h"

#include "jasminewood/link/backoff.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace std::chrono_literals;
using jasminewood::link::HeartbeatAction;
using jasminewood::link::HeartbeatTimer;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto start = TimePoint(1000s);

const testkit::TestSuite heartbeats = {"the heartbeat timer of a connection",
    {
        section("just opened",
            {
                // Guards against a first load report that is sent one interval late.
                test("sends a heartbeat at once and then each interval",
                    [] {
                        auto timer = HeartbeatTimer(start);
                        check(timer.actionDue(start) == HeartbeatAction::SendHeartbeat);
                        timer.recordSent(start);
                        check(timer.nextDeadline() == start + 500ms);
                        check(timer.actionDue(start + 499ms) == HeartbeatAction::Nothing);
                        check(timer.actionDue(start + 500ms) == HeartbeatAction::SendHeartbeat);
                    }),
            }),
        section("whose peer sends nothing",
            {
                // Guards against a peer that is timed out later or earlier than 1.5 s after its last message.
                test("times out exactly at the limit, however much is sent",
                    [] {
                        auto timer = HeartbeatTimer(start);
                        timer.recordReceived(start + 200ms);
                        for (auto now = start; now < start + 1700ms; now = timer.nextDeadline()) {
                            check(timer.actionDue(now) == HeartbeatAction::SendHeartbeat);
                            timer.recordSent(now);
                        }
                        check(timer.nextDeadline() == start + 1700ms);
                        check(timer.actionDue(start + 1699ms) != HeartbeatAction::PeerTimedOut);
                        check(timer.actionDue(start + 1700ms) == HeartbeatAction::PeerTimedOut);
                    }),
            }),
        section("whose peer sends within the limit",
            {
                test("never times out",
                    [] {
                        auto timer = HeartbeatTimer(start);
                        for (auto now = start; now < start + 60s; now += 1499ms) {
                            check(timer.actionDue(now) != HeartbeatAction::PeerTimedOut);
                            timer.recordReceived(now);
                        }
                    }),
            }),
    }};

const testkit::TestSuite backoffs = {"the backoff between dials",
    {
        // Guards against peers that all dial a restarted process at once, and against delays above 2 s.
        property("doubles up to its maximum, with delays in the upper half of each range",
            [](std::uint64_t seed) {
                auto backoff = link::Backoff(seed);
                for (auto ceiling = Milliseconds(50); ceiling < 10s; ceiling *= 2) {
                    const auto maximum = std::min(ceiling, Milliseconds(2000));
                    const auto delay = backoff.nextDelay();
                    RC_ASSERT(delay >= maximum / 2);
                    RC_ASSERT(delay <= maximum);
                }
                backoff.reset();
                RC_ASSERT(backoff.nextDelay() <= Milliseconds(50));
            }),
    }};

} // namespace
