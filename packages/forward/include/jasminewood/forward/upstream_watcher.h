#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/forward/upstream_pool.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/node/environment.h"

// Service "upstreams": keeps the pool consistent with the upstreams' entries in the store.

namespace jasminewood::forward
{

// Requires the services "environment" and "store-feed". Thread-safe.
class UpstreamWatcher
{
public:
    UpstreamWatcher(const ProtocolAdapter &protocolAdapter, const std::string &dataCentre, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    auto pool() -> UpstreamPool &;

    // Returns the software versions of each service's registered upstreams, including those that are leaving.
    auto registeredVersions() const -> std::map<std::string, std::set<std::string>>;

    // Records what a response says about whether its upstream takes new requests. Ignores a response of another
    // upstream and one that is not of the service. Precondition: the response does not belong to another request.
    auto recordAvailability(const Assignment &assignment, const ResponseMetadata &metadata) -> void;

    // Returns whether the entries have been read at least once.
    auto loaded() const -> bool;

    // Waits until loaded() is true or the deadline has passed.
    auto awaitLoaded(TimePoint deadline) const -> void;

private:
    auto applySnapshot(const platform::Snapshot &snapshot) -> void;
    auto applyEvent(const platform::WatchEvent &event) -> void;
    auto updatePool() -> void;
    // Returns the record of an entry. A malformed entry is logged and yields no record.
    auto parseEntry(const platform::KeyValue &entry) const -> std::optional<membership::UpstreamRecord>;
    auto recordRateLimit(const Assignment &assignment, const ResponseMetadata &metadata) -> void;
    auto logUnavailable(
        const Assignment &assignment, const std::string &reason, const observe::Fields &extraFields = {}) const -> void;
    auto upstreamIdOf(const std::string &key) const -> std::string;

    const ProtocolAdapter protocolAdapter_;
    std::shared_ptr<node::Environment> environment_;
    UpstreamPool pool_;
    mutable std::mutex mutex_;
    mutable std::condition_variable loadedCondition_;
    membership::UpstreamDirectory directory_;
    bool loaded_ = false;
    // The era of the store in which all entries were last read.
    platform::Era era_ = 0;
    bool storeReachable_ = false;
};

} // namespace jasminewood::forward
