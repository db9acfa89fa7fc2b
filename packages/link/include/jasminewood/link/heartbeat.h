#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// Decides when to send a heartbeat and when the peer has timed out. Pure: time is an argument.
//
//     auto timer = link::HeartbeatTimer(now);
//     wait(until(timer.nextDeadline()));
//     if (timer.actionDue(now) == link::HeartbeatAction::SendHeartbeat) { ... }

namespace jasminewood::link
{

constexpr auto heartbeatInterval = Milliseconds(500);
// Three intervals, so that one late heartbeat does not end a connection. Of the 2 s allowed for recovery, half a second
// is left to open the new connection.
constexpr auto heartbeatTimeout = Milliseconds(1500);

enum class HeartbeatAction : std::uint8_t
{
    Nothing,
    SendHeartbeat,
    // Nothing was received for heartbeatTimeout. Takes precedence over SendHeartbeat.
    PeerTimedOut,
};

// The heartbeat deadlines of one connection. Not thread-safe: used only by the connection's thread.
class HeartbeatTimer
{
public:
    // Precondition: the connection was opened at the given time. A heartbeat is due at once, and the timeout starts.
    explicit HeartbeatTimer(TimePoint now);

    auto recordReceived(TimePoint now) -> void;

    auto recordSent(TimePoint now) -> void;

    // Returns the first time at which actionDue() returns something other than Nothing.
    auto nextDeadline() const -> TimePoint;

    auto actionDue(TimePoint now) const -> HeartbeatAction;

private:
    TimePoint nextHeartbeatAt_;
    TimePoint timeoutAt_;
};

} // namespace jasminewood::link
