#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/platform/key_value_types.h"

// The routers that follow this one, and which of their time stamps it may confirm.
//
// A follower needs to know how old its state is, by its own clock and whatever delayed the message that tells it. So it
// sends its clock's reading, a stamp, with each request, and its source returns the newest stamp that it received
// before the time at which the store confirmed that there are no further changes. The follower's state is then at least
// as new as that stamp. This holds although messages are delayed, although either of the two is suspended in between,
// and although the source follows another router itself.

namespace jasminewood::relay
{

// A follower that has not sent a request for this time gets no more updates.
constexpr Milliseconds subscriptionTime = Milliseconds(2'000);
// The unconfirmed stamps kept for each follower.
constexpr std::size_t maximumStamps = 16;

// A request of a follower.
struct FollowRequest
{
    const NodeId router_;
    // The position up to which it has applied all changes.
    const platform::StorePosition applied_;
    // The reading of its clock; in nanoseconds since an epoch of its own.
    const std::int64_t stamp_ = 0;
    // Its newest stamp that was confirmed; 0 if none was.
    const std::int64_t confirmedStamp_ = 0;

    auto operator<=>(const FollowRequest &) const = default;
};

// A follower, as far as this router knows.
struct Follower
{
    const NodeId router_;
    const platform::StorePosition applied_;
    // The newest stamp that the store's last confirmation covers; 0 if there is none.
    const std::int64_t confirmedStamp_ = 0;
    // Whether that stamp is newer than those that were returned before.
    const bool isNewStamp_ = false;

    auto operator<=>(const Follower &) const = default;
};

// Not thread-safe. Precondition: the times do not go backwards.
class Subscribers
{
public:
    // Records a request at the time at which it was received.
    auto record(const FollowRequest &request, BootTime receivedAt) -> void;

    // Records the position up to which the follower was sent all changes, and the stamp returned to it.
    auto recordUpdate(const std::string &router, platform::StorePosition sentUpTo, std::int64_t stamp) -> void;

    // Returns what the follower lacks if the store confirmed at `confirmedAt` that there are no further changes.
    auto find(const std::string &router, BootTime confirmedAt) const -> std::optional<Follower>;

    // Returns the names of the followers that sent a request within subscriptionTime.
    auto names(BootTime now) const -> std::vector<std::string>;

private:
    struct Stamp
    {
        std::int64_t stamp_ = 0;
        BootTime receivedAt_;
    };

    struct Subscription
    {
        std::uint64_t incarnation_ = 0;
        platform::StorePosition applied_;
        std::int64_t returnedStamp_ = 0;
        BootTime requestedAt_;
        std::deque<Stamp> stamps_;
    };

    std::map<std::string, Subscription> subscriptions_;
};

} // namespace jasminewood::relay
