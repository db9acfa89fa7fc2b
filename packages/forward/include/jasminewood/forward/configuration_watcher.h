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

// Service "configuration": the newest configuration that the store has shown to this process.

namespace jasminewood::forward
{

// Needs the service "environment". Thread-safe.
class ConfigurationWatcher
{
public:
    // Keys are trusted until the store's last proof is older than trust; empty means for ever.
    ConfigurationWatcher(std::shared_ptr<platform::KeyValueClient> store, const ProtocolAdapter &dialect,
        std::optional<Milliseconds> trust, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Returns nullptr until the first configuration has arrived. Never returns an older version than before.
    auto current() const -> std::shared_ptr<const routes::RouteTable>;

    // As current(), but waits for the first configuration until the deadline.
    auto awaitCurrent(TimePoint deadline) const -> std::shared_ptr<const routes::RouteTable>;

    // Returns how long ago the store proved that the configuration is the newest; empty if it never did.
    auto age() const -> std::optional<Milliseconds>;

    // Whether a key that the configuration holds may still be believed.
    auto keysConfirmed() const -> bool;

private:
    auto take(const std::string &value) -> void;
    auto prove(BootTime at) -> void;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const ProtocolAdapter dialect_;
    const std::optional<Milliseconds> trust_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    mutable std::mutex mutex_;
    mutable std::condition_variable arrived_;
    std::shared_ptr<const routes::RouteTable> current_;
    std::optional<BootTime> provenAt_;
    bool reachable_ = false;
    std::unique_ptr<StoreWatcher> feed_;
};

} // namespace jasminewood::forward
