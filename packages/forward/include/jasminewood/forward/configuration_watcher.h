#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/store_watcher.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/routes/route_table.h"

// Service "configuration": the newest configuration that this process has read from the store.

namespace jasminewood::forward
{

// Requires the service "environment". Thread-safe.
class ConfigurationWatcher
{
public:
    // API keys are accepted for keyTrustPeriod, less a safety margin, after the store last confirmed that the
    // configuration is the newest one; without a period they are always accepted.
    ConfigurationWatcher(std::shared_ptr<platform::KeyValueClient> store, const ProtocolAdapter &protocolAdapter,
        std::optional<Milliseconds> keyTrustPeriod, std::uint64_t seed);

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

    const std::shared_ptr<platform::KeyValueClient> store_;
    const ProtocolAdapter protocolAdapter_;
    const std::optional<Milliseconds> keyTrustPeriod_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    mutable std::mutex mutex_;
    mutable std::condition_variable loadedCondition_;
    std::shared_ptr<const routes::RouteTable> current_;
    std::optional<BootTime> confirmedAt_;
    bool storeReachable_ = false;
    std::unique_ptr<StoreWatcher> watcher_;
};

} // namespace jasminewood::forward
