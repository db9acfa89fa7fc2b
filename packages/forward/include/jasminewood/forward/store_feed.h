#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/relay/feed_state.h"
#include "jasminewood/relay/source_selector.h"
#include "jasminewood/wire/messages.h"

// Service "store-feed": the entries of the platform's store and all of their changes.
//
// One router of each data centre watches the store, and the others follow it (package relay). A follower reads the
// store itself at the start, if changes are missing, and if its source does not confirm that its state is current. What
// the routers pass on is not a store of their own: each holds no more than it has read or was told, with its age.

namespace jasminewood::forward
{

class PeerNetwork;

// Callbacks for the keys under one prefix. They are called one at a time, on any thread, and must not call the feed.
struct StoreListener
{
    const std::string keyPrefix_;
    // All entries under the prefix; called after the start, after each loss of the watch history and in each new era.
    const std::function<auto(const platform::Snapshot &snapshot)->void> onSnapshot_;
    const std::function<auto(const platform::WatchEvent &event)->void> onEvent_;
    // Called when all changes that the store accepted before upToDateAt have been passed to the other callbacks. May be
    // empty.
    const std::function<auto(BootTime upToDateAt)->void> onProgress_ = {};
    // Called when a call to the store failed, which is retried, or when a router reports an outage that it noticed. May
    // be empty.
    const std::function<auto(const Failure &failure)->void> onFailure_ = {};
};

struct StoreFeedOptions
{
    // The prefix of all keys that are watched.
    const std::string keyPrefix_;
    // How long the store waits for an event before it ends a watch. The time passed to onProgress_ lags by at most
    // about this time, and a watch on a dead connection is abandoned shortly after it.
    const Milliseconds watchTimeout_ = Milliseconds(500);
    // The delay before each watch, during which changes accumulate in the store: each call to the store is counted and
    // billed. It delays the removal of a leaving upstream only slightly.
    const Milliseconds batchDelay_ = Milliseconds(250);
    // How often a follower asks its source.
    const Milliseconds followInterval_ = Milliseconds(300);
    // A follower whose state was not confirmed for this time reads the store itself.
    const Milliseconds maximumAge_ = Milliseconds(1'500);
    // A source that has not brought the state of its follower up to date within this time is given up. It may have to
    // wait for a watch of its own first.
    const Milliseconds sourceTimeout_ = Milliseconds(1'350);
    // A follower that could not reach the store does not try again for this time while it waits for its source.
    const Milliseconds storeRetryInterval_ = Milliseconds(1'000);
    const std::uint64_t seed_ = 0;
};

// Requires the service "environment"; follows other routers if there is a service "peer-network". Thread-safe.
class StoreFeed
{
public:
    StoreFeed(std::shared_ptr<platform::KeyValueClient> store, const StoreFeedOptions &options);
    ~StoreFeed();

    StoreFeed(const StoreFeed &) = delete;
    auto operator=(const StoreFeed &) -> StoreFeed & = delete;

    // Adds callbacks. Must be called before start().
    auto addListener(const StoreListener &listener) -> void;

    auto start(const kernel::ServiceRegistry &services) -> Status;

    // Stops and joins the thread and cancels a running watch.
    auto stop() -> void;

    // Returns up to where all changes have been passed to the listeners; revision 0 before the first snapshot. Must not
    // be called by a listener's callback.
    auto position() const -> platform::StorePosition;

private:
    auto run() -> void;
    // Returns the router to follow; empty to read the store.
    auto chooseSource() -> std::optional<std::string>;
    // Reads the store once and waits until the next read is due.
    auto readForAll() -> void;
    // Asks the source once, waits for its updates and reads the store if they do not suffice.
    auto follow(const std::string &source) -> void;
    // Reads a snapshot or watches for changes, and passes them on.
    auto readStore(Milliseconds watchTimeout) -> Status;
    auto readSnapshot() -> Status;
    auto watchOnce(platform::StorePosition after, Milliseconds watchTimeout) -> Status;

    auto handleMessage(const wire::Message &message) -> void;
    auto handleFollow(const wire::StoreFollow &request) -> void;
    auto handleChanges(const wire::StoreChanges &message) -> void;

    // These require mutex_.
    auto notifyChanges(const relay::BatchStep &step) -> void;
    auto notifyEvent(const platform::WatchEvent &event) -> void;
    auto notifyProgress() -> void;
    auto notifyFailure(const Failure &failure) -> void;
    auto logGap(const relay::ChangeBatch &batch) const -> void;
    auto recordEra(platform::StorePosition position) -> void;
    auto updateFollowers() -> void;
    auto updateFollower(const std::string &router) -> void;
    auto age() const -> std::optional<BootClock::duration>;

    // Returns whether a follower may read the store. Requires mutex_.
    auto mayReadStore() const -> bool;
    // Waits for the given time, or until changes are missing that may be read; returns at once if the service stops.
    auto waitFor(Milliseconds time) -> void;
    auto stopping() const -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const StoreFeedOptions options_;
    std::vector<StoreListener> listeners_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    membership::Backoff backoff_;
    std::optional<observe::Counter> gapCounter_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::shared_ptr<platform::WatchCall> watchCall_;
    std::optional<relay::FeedState> state_;
    // Changes are missing that the source does not have.
    bool gap_ = false;
    bool storeAvailable_ = true;
    // The number of outages of the store that were noticed here.
    std::uint64_t outages_ = 0;
    std::optional<relay::SourceSelector> selector_;
    std::optional<std::string> source_;
    TimePoint sourceChosenAt_;
    // When a call to the store last failed.
    std::optional<TimePoint> storeFailedAt_;
    // The era of the last snapshot; empty before the first one.
    std::optional<platform::Era> era_;
    // The outages that the source last reported.
    std::optional<std::uint64_t> sourceOutages_;
    std::thread thread_;
};

} // namespace jasminewood::forward
