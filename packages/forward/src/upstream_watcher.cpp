#include "jasminewood/forward/upstream_watcher.h"

#include <utility>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward
{

namespace
{

// Upstreams renew their entries all the time. Collecting the changes of this time bounds the calls to the store; it is
// a small part of the time in which a leaving upstream must get no more work.
constexpr Milliseconds collectTime = Milliseconds(250);
// Entries change rarely, and nothing else depends on the age of what a watch proves, so that a long wait saves calls. A
// watch on a connection that went silent still ends within the time in which the store's own bounds are suspended.
constexpr Milliseconds upstreamWatch = Milliseconds(2'000);

} // namespace

UpstreamWatcher::UpstreamWatcher(std::shared_ptr<platform::KeyValueClient> store, const ProtocolAdapter &dialect,
    const std::string &dataCentre, std::uint64_t seed)
    : store_(std::move(store))
    , dialect_(dialect)
    , seed_(seed)
    , pool_(seed, dataCentre)
{
}

auto UpstreamWatcher::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    feed_ = std::make_unique<StoreWatcher>(store_,
        WatcherOptions {.keyPrefix_ = dialect_.upstreamPrefix_,
            .watchTimeout_ = upstreamWatch,
            .batchDelay_ = collectTime,
            .seed_ = seed_ + 1},
        WatcherCallbacks {.onSnapshot_ =
                              [this](const std::vector<platform::KeyValue> &entries) {
                                  takeAll(entries);
                              },
            .onEvent_ =
                [this](const platform::WatchEvent &event) {
                    take(event);
                },
            .onProgress_ =
                [this](BootTime /*at*/) {
                    const auto lock = std::scoped_lock(mutex_);
                    directory_.onStoreAvailable(Clock::now());
                    refresh();
                    if (!std::exchange(reachable_, true)) {
                        environment_->log().info("reached the store of the upstreams");
                    }
                },
            .onFailure_ =
                [this](const Failure &failure) {
                    const auto lock = std::scoped_lock(mutex_);
                    directory_.onStoreFailed(Clock::now());
                    refresh();
                    if (std::exchange(reachable_, false)) {
                        environment_->log().warning("lost the store of the upstreams", observe::fieldsOf(failure));
                    }
                }});
    return std::nullopt;
}

auto UpstreamWatcher::stop() -> void
{
    if (feed_) {
        feed_->stop();
    }
}

auto UpstreamWatcher::pool() -> UpstreamPool &
{
    return pool_;
}

auto UpstreamWatcher::loaded() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return known_;
}

auto UpstreamWatcher::awaitLoaded(TimePoint deadline) const -> void
{
    auto lock = std::unique_lock(mutex_);
    arrived_.wait_until(lock, deadline, [this] {
        return known_;
    });
}

auto UpstreamWatcher::idOf(const std::string &key) const -> std::string
{
    return key.substr(std::min(key.size(), dialect_.upstreamPrefix_.size()));
}

auto UpstreamWatcher::read(const platform::KeyValue &entry) const -> std::optional<membership::UpstreamRecord>
{
    const auto record = dialect_.parseUpstream_(entry.key_, entry.value_);
    if (!record) {
        environment_->log().warning("left out an unreadable entry of an upstream", observe::fieldsOf(record.failure()));
        return std::nullopt;
    }
    return *record;
}

auto UpstreamWatcher::takeAll(const std::vector<platform::KeyValue> &entries) -> void
{
    auto records = std::vector<membership::UpstreamRecord>();
    for (const auto &entry : entries) {
        if (const auto record = read(entry)) {
            records.push_back(*record);
        }
    }
    const auto lock = std::scoped_lock(mutex_);
    directory_.replaceAll(records, Clock::now());
    known_ = true;
    refresh();
    arrived_.notify_all();
    environment_->log().info("read the upstreams", {{"entries", std::int64_t(records.size())}});
}

auto UpstreamWatcher::take(const platform::WatchEvent &event) -> void
{
    const auto *put = std::get_if<platform::KeyPut>(&event);
    const auto record = put == nullptr ? std::nullopt : read(put->entry_);
    const auto lock = std::scoped_lock(mutex_);
    if (record) {
        directory_.put(*record, Clock::now());
    } else {
        const auto key = put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_;
        directory_.remove(idOf(key), Clock::now());
        environment_->log().info("an upstream's entry ended", {{"upstream", idOf(key)}});
    }
    refresh();
}

auto UpstreamWatcher::refresh() -> void
{
    pool_.setUpstreams(directory_.routableUpstreams(Clock::now()));
}

} // namespace jasminewood::forward
