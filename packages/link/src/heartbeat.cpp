#include "jasminewood/link/heartbeat.h"

#include <algorithm>

namespace jasminewood::link
{

HeartbeatTimer::HeartbeatTimer(TimePoint now)
    : heartbeatAt_(now)
    , silentAt_(now + heartbeatTimeout)
{
}

auto HeartbeatTimer::recordReceived(TimePoint now) -> void
{
    silentAt_ = now + heartbeatTimeout;
}

auto HeartbeatTimer::recordSent(TimePoint now) -> void
{
    heartbeatAt_ = now + heartbeatInterval;
}

auto HeartbeatTimer::nextDeadline() const -> TimePoint
{
    return std::min(heartbeatAt_, silentAt_);
}

auto HeartbeatTimer::actionDue(TimePoint now) const -> HeartbeatAction
{
    if (now >= silentAt_) {
        return HeartbeatAction::PeerTimedOut;
    }
    return now >= heartbeatAt_ ? HeartbeatAction::SendHeartbeat : HeartbeatAction::Nothing;
}

} // namespace jasminewood::link
