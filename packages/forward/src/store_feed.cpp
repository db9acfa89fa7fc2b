#include "jasminewood/forward/store_feed.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds firstDelay = Milliseconds(50);
constexpr Milliseconds longestDelay = Milliseconds(500);

} // namespace

StoreFeed::StoreFeed(
    std::shared_ptr<platform::KeyValueClient> store, const FeedOptions &options, FeedCallbacks callbacks)
    : store_(std::move(store))
    , options_(options)
    , callbacks_(std::move(callbacks))
    , backoff_(options.seed_, firstDelay, longestDelay)
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
        if (call_) {
            call_->cancel();
        }
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto StoreFeed::pause(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !wake_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto StoreFeed::run() -> void
{
    while (pause(Milliseconds(0))) {
        const auto from = readAll();
        if (from > 0) {
            follow(from);
        } else if (!pause(backoff_.next())) {
            return;
        }
    }
}

auto StoreFeed::readAll() -> platform::Revision
{
    const auto asked = BootClock::now();
    const auto snapshot = store_->getPrefix(options_.prefix_);
    if (!snapshot) {
        callbacks_.failed_(snapshot.reason());
        return 0;
    }
    callbacks_.snapshot_(snapshot->entries_);
    callbacks_.contact_(asked);
    backoff_.reset();
    return snapshot->revision_ + 1;
}

auto StoreFeed::follow(platform::Revision from) -> void
{
    while (pause(options_.pause_)) {
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
        if (next.reason().step_ == "kv compacted" || !pause(backoff_.next())) {
            return;
        }
    }
}

auto StoreFeed::watchOnce(platform::Revision from) -> Result<platform::Revision>
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
        .key_ = options_.prefix_, .prefix_ = true, .fromRevision_ = from, .limit_ = options_.watchLimit_};
    const auto next = store_->watch(request, *call, [this, &quiet](const platform::WatchEvent &event) {
        quiet = false;
        callbacks_.event_(event);
    });
    if (next) {
        // An answer without events says that there was none until the end of the wait, which began after the question.
        const auto waited = std::min<BootTime>(asked + options_.watchLimit_, BootClock::now());
        callbacks_.contact_(quiet ? waited : asked);
    }
    return next;
}

} // namespace jasminewood::forward
