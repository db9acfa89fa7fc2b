#pragma once

#include <cstdint>

#include "jasminewood/core/clock.h"

// When to send a heartbeat and when a connection counts as silent. Pure: time is an argument.
//
//     auto clock = link::HeartbeatTimer(now);
//     wait(until(clock.nextDeadline()));
//     if (clock.actionDue(now) == link::HeartbeatAction::SendHeartbeat) { ... }

namespace jasminewood::link
{

constexpr auto heartbeatInterval = Milliseconds(500);
// Three intervals, so that one late heartbeat does not end a connection, and half a second of the 2 s for recovery is
// left for the new connection.
constexpr auto heartbeatTimeout = Milliseconds(1500);

enum class HeartbeatAction : std::uint8_t
{
    Nothing,
    SendHeartbeat,
    // Nothing was received for the silence limit. Takes precedence over SendHeartbeat.
    PeerTimedOut,
};

// The times of one connection. Not thread-safe: it belongs to the connection's task.
class HeartbeatTimer
{
public:
    // The connection was opened now: a heartbeat is due at once, and the silence limit starts.
    explicit HeartbeatTimer(TimePoint now);

    auto recordReceived(TimePoint now) -> void;

    auto recordSent(TimePoint now) -> void;

    // The first time at which actionDue() gives something other than Nothing.
    auto nextDeadline() const -> TimePoint;

    auto actionDue(TimePoint now) const -> HeartbeatAction;

private:
    TimePoint heartbeatAt_;
    TimePoint silentAt_;
};

} // namespace jasminewood::link
