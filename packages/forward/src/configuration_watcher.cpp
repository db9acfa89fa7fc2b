#include "jasminewood/forward/configuration_watcher.h"

#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/forward/peer_network.h"

namespace jasminewood::forward
{

namespace
{

// The share of the key trust period for which API keys are accepted. The rest covers changes that a watch of the store
// reports late.
constexpr double usedTrustShare = 0.7;
// How often the version in force is announced after a read of all entries and after another router registered. A router
// that loses a datagram gets a later one.
constexpr int announcementCount = 4;

} // namespace

ConfigurationWatcher::ConfigurationWatcher(
    const ProtocolAdapter &protocolAdapter, std::optional<Milliseconds> keyTrustPeriod)
    : protocolAdapter_(protocolAdapter)
    , keyTrustPeriod_(keyTrustPeriod)
{
}

auto ConfigurationWatcher::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    auto feed = std::shared_ptr<StoreFeed>();
    if (auto failure = services.require("store-feed", feed)) {
        return failure;
    }
    if (const auto network = services.find<PeerNetwork>("peer-network")) {
        network_ = *network;
        network_->addHandler([this](const wire::Message &message) {
            handleMessage(message);
        });
        // A router drops the datagrams of one that has not registered yet.
        feed->addListener({.keyPrefix_ = network_->keyPrefix(),
            .onSnapshot_ = [](const platform::Snapshot & /*snapshot*/) {},
            .onEvent_ =
                [this](const platform::WatchEvent &event) {
                    if (std::holds_alternative<platform::KeyPut>(event)) {
                        const auto lock = std::scoped_lock(mutex_);
                        announcementsLeft_ = announcementCount;
                    }
                }});
    }
    feed->addListener({.keyPrefix_ = protocolAdapter_.configurationKey_,
        .onSnapshot_ =
            [this](const platform::Snapshot &snapshot) {
                for (const auto &entry : snapshot.entries_) {
                    if (entry.key_ == protocolAdapter_.configurationKey_) {
                        applyConfiguration(entry.value_);
                    }
                }
                const auto lock = std::scoped_lock(mutex_);
                announcementsLeft_ = announcementCount;
            },
        .onEvent_ =
            [this](const platform::WatchEvent &event) {
                const auto *put = std::get_if<platform::KeyPut>(&event);
                if (put != nullptr && put->entry_.key_ == protocolAdapter_.configurationKey_) {
                    applyConfiguration(put->entry_.value_);
                }
            },
        .onProgress_ =
            [this](BootTime confirmedAt) {
                recordConfirmation(confirmedAt);
                announceVersion();
            },
        .onFailure_ =
            [this](const Failure &failure) {
                const auto lock = std::scoped_lock(mutex_);
                if (std::exchange(storeReachable_, false)) {
                    environment_->log().warning(
                        "the store of the configuration is unreachable", observe::fieldsOf(failure));
                }
            }});
    return std::nullopt;
}

auto ConfigurationWatcher::stop() -> void
{
}

auto ConfigurationWatcher::applyConfiguration(const std::string &value) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        newestIsReadable_ = false;
    }
    const auto configuration = protocolAdapter_.parseConfiguration_(value);
    if (!configuration) {
        environment_->log().error("ignored a malformed configuration", observe::fieldsOf(configuration.failure()));
        return;
    }
    auto table = std::make_shared<const routes::RouteTable>(*configuration);
    const auto lock = std::scoped_lock(mutex_);
    newestIsReadable_ = true;
    const auto currentVersion = current_ ? current_->configuration().version_ : 0;
    const auto version = configuration->version_;
    if (current_ && version <= currentVersion) {
        environment_->log().debug(
            "ignored a configuration that is not newer", {{"version", currentVersion}, {"offered", version}});
        return;
    }
    current_ = std::move(table);
    versions_.recordOwn(version);
    loadedCondition_.notify_all();
    if (configuration->unreadableElements_ > 0) {
        environment_->log().warning("a configuration has elements that cannot be read",
            {{"version", version}, {"elements", std::int64_t(configuration->unreadableElements_)}});
    }
    environment_->log().info("applied a configuration",
        {{"version", version}, {"previous", currentVersion}, {"bytes", std::int64_t(value.size())},
            {"routes", std::int64_t(configuration->routes_.size())},
            {"services", std::int64_t(configuration->services_.size())},
            {"accounts", std::int64_t(routes::accountsOf(configuration->access_).size())},
            {"requires_keys", std::holds_alternative<routes::AccountAccess>(configuration->access_)}});
}

auto ConfigurationWatcher::recordConfirmation(BootTime confirmedAt) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    // A newer configuration that cannot be read may have revoked a key of the one in force.
    if (newestIsReadable_) {
        confirmedAt_ = std::max(confirmedAt_.value_or(confirmedAt), confirmedAt);
    }
    if (!std::exchange(storeReachable_, true)) {
        environment_->log().info(
            "the store of the configuration is reachable", {{"has_configuration", bool(current_)}});
    }
}

auto ConfigurationWatcher::announceVersion() -> void
{
    auto version = std::int64_t(0);
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!network_ || !current_ || announcementsLeft_ == 0) {
            return;
        }
        --announcementsLeft_;
        version = current_->configuration().version_;
    }
    network_->broadcast(
        wire::ConfigurationInForce {.router_ = environment_->identity().node_, .version_ = std::uint64_t(version)});
}

auto ConfigurationWatcher::handleMessage(const wire::Message &message) -> void
{
    const auto *peer = std::get_if<wire::ConfigurationInForce>(&message);
    if (peer == nullptr) {
        return;
    }
    const auto peerVersion = std::int64_t(peer->version_);
    auto version = std::int64_t(0);
    {
        const auto lock = std::scoped_lock(mutex_);
        version = current_ ? current_->configuration().version_ : 0;
        const auto now = BootClock::now();
        const auto wasBehind = versions_.isBehind(now);
        versions_.recordPeer(peerVersion, now);
        if (!wasBehind && versions_.isBehind(now)) {
            environment_->log().warning("another router has a newer configuration",
                {{"router", peer->router_.name_}, {"version", version}, {"peer_version", peerVersion}});
        }
    }
    if (version > peerVersion) {
        network_->send(peer->router_.name_,
            wire::ConfigurationInForce {.router_ = environment_->identity().node_, .version_ = std::uint64_t(version)});
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
    loadedCondition_.wait_until(lock, deadline, [this] {
        return bool(current_);
    });
    return current_;
}

auto ConfigurationWatcher::age() const -> std::optional<Milliseconds>
{
    const auto lock = std::scoped_lock(mutex_);
    if (!confirmedAt_) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(BootClock::now() - *confirmedAt_);
}

auto ConfigurationWatcher::keysConfirmed() const -> bool
{
    if (!keyTrustPeriod_) {
        return true;
    }
    const auto lock = std::scoped_lock(mutex_);
    const auto now = BootClock::now();
    return confirmedAt_ && !versions_.isBehind(now)
        && std::chrono::duration<double>(now - *confirmedAt_) < usedTrustShare * *keyTrustPeriod_;
}

} // namespace jasminewood::forward
