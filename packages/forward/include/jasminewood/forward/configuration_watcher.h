#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/relay/version_check.h"
#include "jasminewood/routes/route_table.h"
#include "jasminewood/wire/messages.h"

// Service "configuration": the newest configuration of the operators that this process knows.

namespace jasminewood::forward
{

class PeerNetwork;

// Requires the services "environment" and "store-feed"; compares versions with the other routers if there is a service
// "peer-network". Thread-safe.
class ConfigurationWatcher
{
public:
    // API keys are accepted for keyTrustPeriod, less a safety margin, after the store last confirmed that the
    // configuration is the newest one, which it cannot while the newest one is unreadable, and not while other routers
    // have a newer one (relay::VersionCheck); without a period they are always accepted.
    ConfigurationWatcher(const ProtocolAdapter &protocolAdapter, std::optional<Milliseconds> keyTrustPeriod);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Returns nullptr until the first configuration has been read. Never returns an older version than before.
    auto current() const -> std::shared_ptr<const routes::RouteTable>;

    // As current(), but waits until the deadline for the first configuration.
    auto awaitCurrent(TimePoint deadline) const -> std::shared_ptr<const routes::RouteTable>;

    // Returns the time since the store last confirmed that the configuration is the newest one; empty if it never did.
    auto age() const -> std::optional<Milliseconds>;

    // Returns whether the API keys of the configuration may still be accepted.
    auto keysConfirmed() const -> bool;

private:
    auto applyConfiguration(const std::string &value) -> void;
    auto recordConfirmation(BootTime confirmedAt) -> void;
    // Tells the other routers the version in force, a few times after each read of all entries and each registration of
    // a router.
    auto announceVersion() -> void;
    auto handleMessage(const wire::Message &message) -> void;

    const ProtocolAdapter protocolAdapter_;
    const std::optional<Milliseconds> keyTrustPeriod_;
    std::shared_ptr<node::Environment> environment_;
    mutable std::mutex mutex_;
    mutable std::condition_variable loadedCondition_;
    std::shared_ptr<const routes::RouteTable> current_;
    std::optional<BootTime> confirmedAt_;
    bool newestIsReadable_ = true;
    bool storeReachable_ = false;
    std::shared_ptr<PeerNetwork> network_;
    relay::VersionCheck versions_;
    int announcementsLeft_ = 0;
};

} // namespace jasminewood::forward
