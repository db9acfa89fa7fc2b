#include "jasminewood/forward/configuration_watcher.h"

#include <utility>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::forward
{

namespace
{

// The part of the trust time after which keys are no longer believed. The rest covers changes that a watch of the store
// reports late.
constexpr double trustedPart = 0.7;

} // namespace

ConfigurationWatcher::ConfigurationWatcher(std::shared_ptr<platform::KeyValueClient> store,
    const ProtocolAdapter &dialect, std::optional<Milliseconds> trust, std::uint64_t seed)
    : store_(std::move(store))
    , dialect_(dialect)
    , trust_(trust)
    , seed_(seed)
{
}

auto ConfigurationWatcher::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    feed_ = std::make_unique<StoreWatcher>(store_,
        WatcherOptions {.keyPrefix_ = dialect_.configurationKey_, .seed_ = seed_},
        WatcherCallbacks {.onSnapshot_ =
                              [this](const std::vector<platform::KeyValue> &entries) {
                                  for (const auto &entry : entries) {
                                      if (entry.key_ == dialect_.configurationKey_) {
                                          take(entry.value_);
                                      }
                                  }
                              },
            .onEvent_ =
                [this](const platform::WatchEvent &event) {
                    const auto *put = std::get_if<platform::KeyPut>(&event);
                    if (put != nullptr && put->entry_.key_ == dialect_.configurationKey_) {
                        take(put->entry_.value_);
                    }
                },
            .onProgress_ =
                [this](BootTime at) {
                    prove(at);
                },
            .onFailure_ =
                [this](const Failure &failure) {
                    const auto lock = std::scoped_lock(mutex_);
                    if (std::exchange(reachable_, false)) {
                        environment_->log().warning("lost the store of the configuration", observe::fieldsOf(failure));
                    }
                }});
    return std::nullopt;
}

auto ConfigurationWatcher::stop() -> void
{
    if (feed_) {
        feed_->stop();
    }
}

auto ConfigurationWatcher::take(const std::string &value) -> void
{
    const auto configuration = dialect_.parseConfiguration_(value);
    if (!configuration) {
        environment_->log().error("the configuration cannot be read", observe::fieldsOf(configuration.failure()));
        return;
    }
    auto table = std::make_shared<const routes::RouteTable>(*configuration);
    const auto lock = std::scoped_lock(mutex_);
    const auto held = current_ ? current_->configuration().version_ : 0;
    const auto version = configuration->version_;
    if (current_ && version <= held) {
        environment_->log().debug("kept the configuration", {{"version", held}, {"offered", version}});
        return;
    }
    current_ = std::move(table);
    arrived_.notify_all();
    environment_->log().info("applied a configuration",
        {{"version", version}, {"previous", held}, {"routes", std::int64_t(configuration->routes_.size())},
            {"services", std::int64_t(configuration->services_.size())},
            {"accounts", std::int64_t(configuration->accounts_.size())}});
}

auto ConfigurationWatcher::prove(BootTime at) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    provenAt_ = std::max(provenAt_.value_or(at), at);
    if (!std::exchange(reachable_, true)) {
        environment_->log().info("reached the store of the configuration", {{"has_configuration", bool(current_)}});
    }
}

auto ConfigurationWatcher::current() const -> std::shared_ptr<const routes::RouteTable>
{
    const auto lock = std::scoped_lock(mutex_);
    return current_;
}

auto ConfigurationWatcher::awaitCurrent(TimePoint deadline) const -> std::shared_ptr<const routes::RouteTable>
{
    auto lock = std::unique_lock(mutex_);
    arrived_.wait_until(lock, deadline, [this] {
        return bool(current_);
    });
    return current_;
}

auto ConfigurationWatcher::age() const -> std::optional<Milliseconds>
{
    const auto lock = std::scoped_lock(mutex_);
    if (!provenAt_) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(BootClock::now() - *provenAt_);
}

auto ConfigurationWatcher::keysConfirmed() const -> bool
{
    const auto proven = age();
    return !trust_ || (proven && std::chrono::duration<double>(*proven) < trustedPart * *trust_);
}

} // namespace jasminewood::forward
