#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/observe/log.h"
#include "jasminewood/platform/key_value.h"

// Watches the keys under a prefix in the store. One thread reads a snapshot and then watches for changes from its
// revision on.

namespace jasminewood::forward
{

// Callbacks of a watcher, called on its thread.
struct WatcherCallbacks
{
    // All entries; called after the start and after each loss of the watch history.
    const std::function<auto(const std::vector<platform::KeyValue> &entries)->void> onSnapshot_;
    const std::function<auto(const platform::WatchEvent &event)->void> onEvent_;
    // Called when all changes that the store accepted before upToDateAt have been passed to the other callbacks.
    const std::function<auto(BootTime upToDateAt)->void> onProgress_;
    // Called when a call to the store failed. The call is retried.
    const std::function<auto(const Failure &failure)->void> onFailure_;
};

struct WatcherOptions
{
    const std::string keyPrefix_;
    // How long the store waits for an event before it ends a watch. The time passed to onProgress_ lags by at most
    // about this time, and a watch on a dead connection is abandoned shortly after it.
    const Milliseconds watchTimeout_ = Milliseconds(1'000);
    // The delay before each watch, during which changes accumulate in the store: each call to the store is counted and
    // billed.
    const Milliseconds batchDelay_ = Milliseconds(0);
    const std::uint64_t seed_ = 0;
};

// Thread-safe.
class StoreWatcher
{
public:
    StoreWatcher(
        std::shared_ptr<platform::KeyValueClient> store, const WatcherOptions &options, WatcherCallbacks callbacks);
    ~StoreWatcher();

    StoreWatcher(const StoreWatcher &) = delete;
    auto operator=(const StoreWatcher &) -> StoreWatcher & = delete;

    // Stops and joins the thread and cancels a running watch. May be called twice.
    auto stop() -> void;

private:
    auto run() -> void;
    // Reads all entries and returns the revision from which to watch, or 0 after a failure.
    auto readSnapshot() -> platform::Revision;
    // Watches until the watcher stops or the watch history is lost.
    auto watchFrom(platform::Revision from) -> void;
    auto watchOnce(platform::Revision from) -> Result<platform::Revision>;
    // Waits for the given time; returns false if the watcher stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const WatcherOptions options_;
    const WatcherCallbacks callbacks_;
    membership::Backoff backoff_;
    std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopping_ = false;
    std::shared_ptr<platform::WatchCall> watchCall_;
    std::thread thread_;
};

} // namespace jasminewood::forward
