#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "jasminewood/forward/configuration_feed.h"
#include "jasminewood/forward/upstream_feed.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/registry.h"
#include "jasminewood/node/environment.h"

// Service "probes": the readiness probe of the load balancer and the metrics endpoint of this process.

namespace jasminewood::forward
{

struct ProbesOptions
{
    const http::ServerOptions readiness_;
    const std::string readinessPath_;
    const http::ServerOptions metrics_;
};

// Requires the services "environment", "configuration" and "upstreams". Thread-safe.
class Probes
{
public:
    explicit Probes(const ProbesOptions &options);

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // Makes the readiness probe fail from now on, so that the load balancer opens no new connections.
    auto beginStop() -> void;

    // Returns true once the configuration and the upstreams have been read, until beginStop().
    auto ready() const -> bool;

private:
    auto updateGauges() const -> void;
    auto handleReadinessProbe(const http::Request &request) const -> http::Response;

    const ProbesOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationFeed> configuration_;
    std::shared_ptr<UpstreamFeed> upstreams_;
    std::atomic<bool> stopping_ = false;
    std::shared_ptr<http::Server> readinessServer_;
    std::shared_ptr<http::Server> metricsServer_;
};

} // namespace jasminewood::forward
