#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/http/server.h"
#include "jasminewood/kernel/registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/router/platform_sync.h"
#include "jasminewood/router/timeline_collector.h"
#include "jasminewood/router/upstreams.h"

// Service "administration" of the router: the operators' HTTP API. docs/operators.md lists its calls.

namespace jasminewood::router
{

struct AdminOptions
{
    const std::string address_;
    const std::uint16_t port_ = 0;
    // SHA-256 of the operators' bearer key, in lower-case hex.
    const std::string keyHash_;

    auto operator<=>(const AdminOptions &) const = default;
};

// Thread-safe. Calls under /admin require the operators' bearer key; /metrics, /healthz and /readyz do not.
class AdminApi
{
public:
    explicit AdminApi(AdminOptions options);

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // Makes /readyz return 503 from now on, so that the load balancer sends no new connections.
    auto beginStop() -> void;

    auto port() const -> std::uint16_t;

private:
    auto handleRequest(const http::Request &request) -> http::WholeResponse;
    auto handleAdminCall(const http::Request &request) -> http::WholeResponse;
    auto readinessResponse() const -> http::WholeResponse;
    auto getManifest() const -> http::WholeResponse;
    auto submitManifest(const http::Request &request) -> http::WholeResponse;
    auto getSubmission(const std::string &id) -> http::WholeResponse;
    auto listUpstreams() const -> http::WholeResponse;
    auto drainUpstream(const std::string &name) -> http::WholeResponse;
    auto getTimeline(const http::Request &request) -> http::WholeResponse;

    const AdminOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<PlatformSync> platformSync_;
    std::shared_ptr<Upstreams> upstreams_;
    std::shared_ptr<TimelineCollector> timelineCollector_;
    std::shared_ptr<http::Server> server_;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminewood::router
