#include "jasminewood/forward/store_feed.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds initialBackoff = Milliseconds(50);
constexpr Milliseconds maximumBackoff = Milliseconds(500);

} // namespace

StoreFeed::StoreFeed(
    std::shared_ptr<platform::KeyValueClient> store, const FeedOptions &options, FeedCallbacks callbacks)
    : store_(std::move(store))
    , options_(options)
    , callbacks_(std::move(callbacks))
    , backoff_(options.seed_, initialBackoff, maximumBackoff)
    , thread_([this] {
        run();
    })
{
}

StoreFeed::~StoreFeed()
{
    stop();
}

auto StoreFeed::stop() -> void
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

auto StoreFeed::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopCondition_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto StoreFeed::run() -> void
{
    while (waitUnlessStopped(Milliseconds(0))) {
        const auto from = readSnapshot();
        if (from > 0) {
            watchFrom(from);
        } else if (!waitUnlessStopped(backoff_.next())) {
            return;
        }
    }
}

auto StoreFeed::readSnapshot() -> platform::Revision
{
    const auto requestedAt = BootClock::now();
    const auto snapshot = store_->getPrefix(options_.prefix_);
    if (!snapshot) {
        callbacks_.failed_(snapshot.reason());
        return 0;
    }
    callbacks_.snapshot_(snapshot->entries_);
    callbacks_.contact_(requestedAt);
    backoff_.reset();
    return snapshot->revision_ + 1;
}

auto StoreFeed::watchFrom(platform::Revision from) -> void
{
    while (waitUnlessStopped(options_.pause_)) {
        const auto next = watchOnce(from);
        if (next) {
            from = *next;
            backoff_.reset();
            continue;
        }
        if (next.reason().step_ == "cancel") {
            return;
        }
        callbacks_.failed_(next.reason());
        if (next.reason().step_ == "kv compacted" || !waitUnlessStopped(backoff_.next())) {
            return;
        }
    }
}

auto StoreFeed::watchOnce(platform::Revision from) -> Result<platform::Revision>
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
        .key_ = options_.prefix_, .prefix_ = true, .fromRevision_ = from, .limit_ = options_.watchLimit_};
    const auto next = store_->watch(request, *watchCall, [this, &withoutEvents](const platform::WatchEvent &event) {
        withoutEvents = false;
        callbacks_.event_(event);
    });
    if (next) {
        // A watch that returns without events confirms that there were none until it timed out at the store. The store
        // started to wait no earlier than the request was sent.
        const auto waitedUntil = std::min<BootTime>(requestedAt + options_.watchLimit_, BootClock::now());
        callbacks_.contact_(withoutEvents ? waitedUntil : requestedAt);
    }
    return next;
}

} // namespace jasminewood::forward
