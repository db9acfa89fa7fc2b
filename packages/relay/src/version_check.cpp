#include "jasminewood/relay/version_check.h"

#include <algorithm>

namespace jasminewood::relay
{

auto VersionCheck::recordOwn(std::int64_t version) -> void
{
    own_ = std::max(own_, version);
    if (own_ >= newestPeer_) {
        behindSince_.reset();
    }
}

auto VersionCheck::recordPeer(std::int64_t version, BootTime now) -> void
{
    newestPeer_ = std::max(newestPeer_, version);
    if (own_ < newestPeer_) {
        // A peer that states ever newer versions does not extend the time.
        behindSince_ = behindSince_.value_or(now);
    }
}

auto VersionCheck::isBehind(BootTime now) const -> bool
{
    return behindSince_ && now - *behindSince_ < maximumBehindTime;
}

} // namespace jasminewood::relay
