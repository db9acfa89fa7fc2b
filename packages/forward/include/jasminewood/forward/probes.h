#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"

// Service "probes": the load balancer's readiness probe, and the metrics of this process.

namespace jasminewood::forward
{

struct ProbeServerOptions
{
    const http::ServerOptions readinessServer_;
    const std::string readinessPath_;
    const http::ServerOptions metricsServer_;
};

// Needs the services "environment", "configuration" and "upstreams". Thread-safe.
class ProbeServer
{
public:
    explicit ProbeServer(const ProbeServerOptions &options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // From now on the process is not ready, so that the load balancer sends no new connections.
    auto setNotReady() -> void;

    // Ready as soon as the configuration and the upstreams have been read, until beginStop().
    auto ready() const -> bool;

private:
    auto setGauges() const -> void;
    auto answer(const http::Request &request) const -> http::Response;

    const ProbeServerOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::atomic<bool> stopping_ = false;
    std::shared_ptr<http::Server> readiness_;
    std::shared_ptr<http::Server> metrics_;
};

} // namespace jasminewood::forward
