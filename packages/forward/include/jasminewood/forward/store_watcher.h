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

// Follows the keys of a prefix in the store: one thread that reads them once and then watches them.

namespace jasminewood::forward
{

// Called on the feed's thread.
struct WatcherCallbacks
{
    // All entries, after a start and whenever the history of changes was lost.
    const std::function<auto(const std::vector<platform::KeyValue> &entries)->void> onSnapshot_;
    const std::function<auto(const platform::WatchEvent &event)->void> onEvent_;
    // All changes that the store accepted before this time have been reported.
    const std::function<auto(BootTime provenAt)->void> onProgress_;
    // A call failed; it is repeated.
    const std::function<auto(const Failure &failure)->void> onFailure_;
};

struct WatcherOptions
{
    const std::string keyPrefix_;
    // How long the store keeps a watch without events waiting. It bounds the age of what contact_ proves, and a watch
    // on a connection that went silent is given up soon after it.
    const Milliseconds watchTimeout_ = Milliseconds(1'000);
    // The time between two watches, in which changes collect: each call to the store is counted and priced.
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

    // Ends the thread, also in the middle of a call. May be called twice.
    auto stop() -> void;

private:
    auto run() -> void;
    // Reads all entries; returns the revision from which to watch, or 0 after a failure.
    auto readAll() -> platform::Revision;
    // Watches until the history is lost or the feed stops.
    auto follow(platform::Revision from) -> void;
    auto watchOnce(platform::Revision from) -> Result<platform::Revision>;
    // Waits and returns false if the feed stops.
    auto pause(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const WatcherOptions options_;
    const WatcherCallbacks callbacks_;
    membership::Backoff backoff_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::shared_ptr<platform::WatchCall> call_;
    std::thread thread_;
};

} // namespace jasminewood::forward
