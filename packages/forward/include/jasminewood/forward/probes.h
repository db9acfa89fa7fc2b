#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/frontend.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"

// Service "probes": the readiness probe of the load balancer and the metrics endpoint of this process.

namespace jasminewood::forward
{

struct ProbeServerOptions
{
    const http::ServerOptions readinessServer_;
    const std::string readinessPath_;
    const http::ServerOptions metricsServer_;
};

// Requires the services "environment", "configuration", "upstreams" and "front". Thread-safe.
class ProbeServer
{
public:
    explicit ProbeServer(const ProbeServerOptions &options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Makes the readiness probe fail from now on, so that the load balancer opens no new connections.
    auto setNotReady() -> void;

    // Makes the readiness probe fail while the router makes callers connect to others.
    auto setShedding(bool shedding) -> void;

    // Returns true once the configuration and the upstreams have been read, until setNotReady(), unless all connections
    // of callers are in use or the router makes callers connect to others.
    auto ready() const -> bool;

    // Returns since when every readiness probe has succeeded; empty if the last one failed or there was none.
    auto reportedReadySince() const -> std::optional<TimePoint>;

    // Returns the number of readiness probes in a row that failed until now.
    auto failedProbes() const -> unsigned;

    // Returns the port of the readiness probe.
    auto readinessPort() const -> std::uint16_t;

private:
    auto updateGauges() const -> void;
    auto handleReadinessProbe(const http::Request &request) -> http::Response;
    auto recordProbe(bool succeeded) -> void;

    const ProbeServerOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<Frontend> frontend_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> shedding_ = false;
    mutable std::mutex mutex_;
    std::optional<TimePoint> reportedReadySince_;
    unsigned failedProbes_ = 0;
    std::shared_ptr<http::Server> readinessServer_;
    std::shared_ptr<http::Server> metricsServer_;
};

} // namespace jasminewood::forward
