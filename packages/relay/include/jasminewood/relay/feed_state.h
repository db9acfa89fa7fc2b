#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/relay/change_log.h"
#include "jasminewood/relay/subscribers.h"

// What a router knows of the platform's store, from the store or from another router, and what it tells its followers.
//
//     const auto step = state.applyUpdate(update, BootClock::now());
//     std::visit(..., step); // pass on the new changes, or read the store if some are missing

namespace jasminewood::relay
{

// What a router tells a follower.
struct Update
{
    // The process that the update is for.
    const NodeId follower_;
    const ChangeBatch batch_;
    // A stamp of the follower's: its sender knew of no change after batch_.upTo_ that the store had accepted when the
    // stamp arrived; 0 for no stamp.
    const std::int64_t confirmedStamp_ = 0;

    auto operator<=>(const Update &) const = default;
};

// Invariant: all changes that the store accepted before confirmedAt() are applied. Not thread-safe. Precondition: the
// times do not go backwards.
class FeedState
{
public:
    explicit FeedState(NodeId self);

    // Returns the position up to which all changes are applied; its revision is 0 without a snapshot.
    auto applied() const -> platform::StorePosition;

    // Returns the time before which no change is unknown; empty if it is not known.
    auto confirmedAt() const -> std::optional<BootTime>;

    // Replaces the state by a snapshot of the store, which was requested at this time.
    auto applySnapshot(platform::StorePosition position, BootTime requestedAt) -> void;

    // Drops the state, since the store's history does not include it.
    auto dropSnapshot() -> void;

    // Applies changes that were read from the store, which confirmed at this time that there were no others.
    auto applyRead(const ChangeBatch &batch, BootTime confirmedAt) -> BatchStep;

    // Applies the update of another router. An update for another process, with a stamp of the future or of an older
    // era says nothing new and confirms nothing.
    auto applyUpdate(const Update &update, BootTime now) -> BatchStep;

    // Makes a request to the router that this one follows.
    auto makeRequest(BootTime now) const -> FollowRequest;

    auto recordRequest(const FollowRequest &request, BootTime receivedAt) -> void;

    // Returns the routers that follow this one.
    auto followers(BootTime now) const -> std::vector<std::string>;

    // Returns what a follower lacks and records it as sent; empty if it lacks nothing that is known here.
    auto takeUpdate(const std::string &follower) -> std::optional<Update>;

private:
    auto applyBatch(const ChangeBatch &batch) -> BatchStep;
    auto confirm(BootTime confirmedAt) -> void;

    NodeId self_;
    platform::StorePosition applied_;
    std::optional<BootTime> confirmedAt_;
    ChangeLog log_;
    Subscribers subscribers_;
};

} // namespace jasminewood::relay
