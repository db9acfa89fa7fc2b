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

// Service "administration" of the router: the operators' HTTP interface. docs/operators.md lists its calls.

namespace jasminewood::router
{

struct AdminOptions
{
    const std::string address_;
    const std::uint16_t port_ = 0;
    // SHA-256 of the operators' bearer key in lower-case hex.
    const std::string keySha256_;

    auto operator<=>(const AdminOptions &) const = default;
};

// Thread-safe. Calls under /admin need the operators' key; /metrics, /healthz and /readyz do not.
class AdminApi
{
public:
    explicit AdminApi(AdminOptions options);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // From now on /readyz answers 503, so that the load balancer sends no new callers.
    auto markNotReady() -> void;

    auto port() const -> std::uint16_t;

private:
    auto handle(const http::Request &request) -> http::BufferedResponse;
    auto administer(const http::Request &request) -> http::BufferedResponse;
    auto readiness() const -> http::BufferedResponse;
    auto showManifest() const -> http::BufferedResponse;
    auto submitManifest(const http::Request &request) -> http::BufferedResponse;
    auto submission(const std::string &id) -> http::BufferedResponse;
    auto upstreams() const -> http::BufferedResponse;
    auto drain(const std::string &name) -> http::BufferedResponse;
    auto timeline(const http::Request &request) -> http::BufferedResponse;

    const AdminOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<PlatformSync> platform_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<TimelineCollector> timelines_;
    std::shared_ptr<http::Server> server_;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminewood::router
