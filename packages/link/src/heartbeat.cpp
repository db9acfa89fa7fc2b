#include "jasminewood/link/heartbeat.h"

#include <algorithm>

namespace jasminewood::link
{

HeartbeatClock::HeartbeatClock(TimePoint now)
    : heartbeatAt_(now)
    , silentAt_(now + silenceLimit)
{
}

auto HeartbeatClock::received(TimePoint now) -> void
{
    silentAt_ = now + silenceLimit;
}

auto HeartbeatClock::sent(TimePoint now) -> void
{
    heartbeatAt_ = now + heartbeatInterval;
}

auto HeartbeatClock::nextDeadline() const -> TimePoint
{
    return std::min(heartbeatAt_, silentAt_);
}

auto HeartbeatClock::due(TimePoint now) const -> HeartbeatDue
{
    if (now >= silentAt_) {
        return HeartbeatDue::Silent;
    }
    return now >= heartbeatAt_ ? HeartbeatDue::SendHeartbeat : HeartbeatDue::Nothing;
}

} // namespace jasminewood::link
