#include "jasminewood/forward/store_watcher.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds firstDelay = Milliseconds(50);
constexpr Milliseconds longestDelay = Milliseconds(500);

} // namespace

StoreWatcher::StoreWatcher(
    std::shared_ptr<platform::KeyValueClient> store, const WatcherOptions &options, WatcherCallbacks callbacks)
    : store_(std::move(store))
    , options_(options)
    , callbacks_(std::move(callbacks))
    , backoff_(options.seed_, firstDelay, longestDelay)
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
        if (call_) {
            call_->cancel();
        }
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto StoreWatcher::pause(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !wake_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto StoreWatcher::run() -> void
{
    while (pause(Milliseconds(0))) {
        const auto from = readAll();
        if (from > 0) {
            follow(from);
        } else if (!pause(backoff_.nextDelay())) {
            return;
        }
    }
}

auto StoreWatcher::readAll() -> platform::Revision
{
    const auto asked = BootClock::now();
    const auto snapshot = store_->getPrefix(options_.keyPrefix_);
    if (!snapshot) {
        callbacks_.onFailure_(snapshot.failure());
        return 0;
    }
    callbacks_.onSnapshot_(snapshot->entries_);
    callbacks_.onProgress_(asked);
    backoff_.reset();
    return snapshot->revision_ + 1;
}

auto StoreWatcher::follow(platform::Revision from) -> void
{
    while (pause(options_.batchDelay_)) {
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
        if (next.failure().step_ == "kv compacted" || !pause(backoff_.nextDelay())) {
            return;
        }
    }
}

auto StoreWatcher::watchOnce(platform::Revision from) -> Result<platform::Revision>
{
    const auto call = std::make_shared<platform::WatchCall>();
    {
        const auto lock = std::scoped_lock(mutex_);
        call_ = call;
        if (stopping_) {
            call->cancel();
        }
    }
    const auto asked = BootClock::now();
    auto quiet = true;
    const auto request = platform::WatchRequest {
        .key_ = options_.keyPrefix_, .isPrefix_ = true, .fromRevision_ = from, .timeout_ = options_.watchTimeout_};
    const auto next = store_->watch(request, *call, [this, &quiet](const platform::WatchEvent &event) {
        quiet = false;
        callbacks_.onEvent_(event);
    });
    if (next) {
        // An answer without events says that there was none until the end of the wait, which began after the question.
        const auto waited = std::min<BootTime>(asked + options_.watchTimeout_, BootClock::now());
        callbacks_.onProgress_(quiet ? waited : asked);
    }
    return next;
}

} // namespace jasminewood::forward
