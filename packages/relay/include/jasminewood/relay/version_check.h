#pragma once

#include <cstdint>
#include <optional>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"

// Decides whether a router's configuration may be trusted although other routers have a newer one.
//
// A store that came back from an older copy confirms an older configuration. A router that restarts then does not know
// of the newer one, in which a key may have been revoked, but other routers do.

namespace jasminewood::relay
{

// The longest time for which a router that is behind does not trust its configuration. What another router says must
// not stop the service for ever.
constexpr Milliseconds maximumBehindTime = Milliseconds(10'000);

// Not thread-safe. Precondition: the times do not go backwards.
class VersionCheck
{
public:
    // Records the version that this router has in force.
    auto recordOwn(std::int64_t version) -> void;

    // Records the version that another router has in force.
    auto recordPeer(std::int64_t version, BootTime now) -> void;

    // Returns whether another router has a newer version, and has had one for less than maximumBehindTime.
    auto isBehind(BootTime now) const -> bool;

private:
    std::int64_t own_ = 0;
    std::int64_t newestPeer_ = 0;
    // When this router learned that it is behind; empty if it is not.
    std::optional<BootTime> behindSince_;
};

} // namespace jasminewood::relay
