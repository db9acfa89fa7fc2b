#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/platform_sync.h"
#include "jasminewood/router/timeline_collector.h"
#include "jasminewood/router/upstream_manager.h"

// Service "administration" of the router: the operators' HTTP API. docs/operators.md lists its calls.

namespace jasminewood::router
{

struct AdminOptions
{
    const std::string address_;
    const std::uint16_t port_ = 0;
    // SHA-256 of the operators' bearer key, in lower-case hex.
    const std::string keySha256_;

    auto operator<=>(const AdminOptions &) const = default;
};

// Thread-safe. Calls under /admin require the operators' bearer key; /metrics, /healthz and /readyz do not.
class AdminApi
{
public:
    explicit AdminApi(AdminOptions options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Makes /readyz return 503 from now on, so that the load balancer sends no new connections.
    auto markNotReady() -> void;

    auto port() const -> std::uint16_t;

private:
    auto handleRequest(const http::Request &request) -> http::BufferedResponse;
    auto handleAdminCall(const http::Request &request) -> http::BufferedResponse;
    auto readinessResponse() const -> http::BufferedResponse;
    auto getManifest() const -> http::BufferedResponse;
    auto submitManifest(const http::Request &request) -> http::BufferedResponse;
    auto getSubmission(const std::string &id) -> http::BufferedResponse;
    auto listUpstreams() const -> http::BufferedResponse;
    auto drainUpstream(const std::string &name) -> http::BufferedResponse;
    auto getTimeline(const http::Request &request) -> http::BufferedResponse;

    const AdminOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<PlatformSync> platformSync_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<TimelineCollector> timelineCollector_;
    std::shared_ptr<http::Server> server_;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminewood::router
