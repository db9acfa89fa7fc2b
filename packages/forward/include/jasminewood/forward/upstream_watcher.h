#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>

#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/store_watcher.h"
#include "jasminewood/forward/upstream_pool.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"

// Service "upstreams": keeps the pool in step with the upstreams' entries in the store.

namespace jasminewood::forward
{

// Needs the service "environment". Thread-safe.
class UpstreamWatcher
{
public:
    UpstreamWatcher(std::shared_ptr<platform::KeyValueClient> store, const ProtocolAdapter &dialect,
        const std::string &dataCentre, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    auto pool() -> UpstreamPool &;

    // Whether the entries have been read once.
    auto loaded() const -> bool;

    // Waits until known() holds, or the deadline.
    auto awaitLoaded(TimePoint deadline) const -> void;

private:
    auto takeAll(const std::vector<platform::KeyValue> &entries) -> void;
    auto take(const platform::WatchEvent &event) -> void;
    auto refresh() -> void;
    // Returns the entry's record; an unreadable one is logged and names no upstream.
    auto read(const platform::KeyValue &entry) const -> std::optional<membership::UpstreamRecord>;
    auto idOf(const std::string &key) const -> std::string;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const ProtocolAdapter dialect_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    UpstreamPool pool_;
    mutable std::mutex mutex_;
    mutable std::condition_variable arrived_;
    membership::UpstreamDirectory directory_;
    bool known_ = false;
    bool reachable_ = false;
    std::unique_ptr<StoreWatcher> feed_;
};

} // namespace jasminewood::forward
