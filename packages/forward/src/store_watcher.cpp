#include "jasminewood/forward/store_watcher.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds initialBackoff = Milliseconds(50);
constexpr Milliseconds maximumBackoff = Milliseconds(500);

} // namespace

StoreWatcher::StoreWatcher(
    std::shared_ptr<platform::KeyValueClient> store, const WatcherOptions &options, WatcherCallbacks callbacks)
    : store_(std::move(store))
    , options_(options)
    , callbacks_(std::move(callbacks))
    , backoff_(options.seed_, initialBackoff, maximumBackoff)
    , thread_([this] {
        run();
    })
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

auto StoreWatcher::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
        if (watchCall_) {
            watchCall_->cancel();
        }
    }
    stopCondition_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto StoreWatcher::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopCondition_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto StoreWatcher::run() -> void
{
    while (waitUnlessStopped(Milliseconds(0))) {
        const auto from = readSnapshot();
        if (from > 0) {
            watchFrom(from);
        } else if (!waitUnlessStopped(backoff_.nextDelay())) {
            return;
        }
    }
}

auto StoreWatcher::readSnapshot() -> platform::Revision
{
    const auto requestedAt = BootClock::now();
    const auto snapshot = store_->getPrefix(options_.keyPrefix_);
    if (!snapshot) {
        callbacks_.onFailure_(snapshot.failure());
        return 0;
    }
    callbacks_.onSnapshot_(snapshot->entries_);
    callbacks_.onProgress_(requestedAt);
    backoff_.reset();
    return snapshot->revision_ + 1;
}

auto StoreWatcher::watchFrom(platform::Revision from) -> void
{
    while (waitUnlessStopped(options_.batchDelay_)) {
        const auto next = watchOnce(from);
        if (next) {
            from = *next;
            backoff_.reset();
            continue;
        }
        if (next.failure().step_ == "cancel") {
            return;
        }
        callbacks_.onFailure_(next.failure());
        if (next.failure().step_ == "kv compacted" || !waitUnlessStopped(backoff_.nextDelay())) {
            return;
        }
    }
}

auto StoreWatcher::watchOnce(platform::Revision from) -> Result<platform::Revision>
{
    const auto watchCall = std::make_shared<platform::WatchCall>();
    {
        const auto lock = std::scoped_lock(mutex_);
        watchCall_ = watchCall;
        if (stopping_) {
            watchCall->cancel();
        }
    }
    const auto requestedAt = BootClock::now();
    auto withoutEvents = true;
    const auto request = platform::WatchRequest {
        .key_ = options_.keyPrefix_, .isPrefix_ = true, .fromRevision_ = from, .timeout_ = options_.watchTimeout_};
    const auto next = store_->watch(request, *watchCall, [this, &withoutEvents](const platform::WatchEvent &event) {
        withoutEvents = false;
        callbacks_.onEvent_(event);
    });
    if (next) {
        // A watch that returns without events confirms that there were none until it timed out at the store. The store
        // started to wait no earlier than the request was sent.
        const auto waitedUntil = std::min<BootTime>(requestedAt + options_.watchTimeout_, BootClock::now());
        callbacks_.onProgress_(withoutEvents ? waitedUntil : requestedAt);
    }
    return next;
}

} // namespace jasminewood::forward
