#include "jasminewood/link/heartbeat.h"

#include <algorithm>

namespace jasminewood::link
{

HeartbeatTimer::HeartbeatTimer(TimePoint now)
    : nextHeartbeatAt_(now)
    , timeoutAt_(now + heartbeatTimeout)
{
}

auto HeartbeatTimer::recordReceived(TimePoint now) -> void
{
    timeoutAt_ = now + heartbeatTimeout;
}

auto HeartbeatTimer::recordSent(TimePoint now) -> void
{
    nextHeartbeatAt_ = now + heartbeatInterval;
}

auto HeartbeatTimer::nextDeadline() const -> TimePoint
{
    return std::min(nextHeartbeatAt_, timeoutAt_);
}

auto HeartbeatTimer::actionDue(TimePoint now) const -> HeartbeatAction
{
    if (now >= timeoutAt_) {
        return HeartbeatAction::PeerTimedOut;
    }
    return now >= nextHeartbeatAt_ ? HeartbeatAction::SendHeartbeat : HeartbeatAction::Nothing;
}

} // namespace jasminewood::link
