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

// Service "administration" of the router: the operators' HTTP interface. docs/operators.md lists its calls.

namespace jasminewood::router
{

struct AdminOptions
{
    const std::string address_;
    const std::uint16_t port_ = 0;
    // SHA-256 of the operators' bearer key in lower-case hex.
    const std::string keyHash_;

    auto operator<=>(const AdminOptions &) const = default;
};

// Thread-safe. Calls under /admin need the operators' key; /metrics, /healthz and /readyz do not.
class AdminApi
{
public:
    explicit AdminApi(AdminOptions options);

    auto start(const kernel::Registry &services) -> Status;
    auto stop() -> void;

    // From now on /readyz answers 503, so that the load balancer sends no new callers.
    auto beginStop() -> void;

    auto port() const -> std::uint16_t;

private:
    auto handle(const http::Request &request) -> http::WholeResponse;
    auto administer(const http::Request &request) -> http::WholeResponse;
    auto readiness() const -> http::WholeResponse;
    auto showManifest() const -> http::WholeResponse;
    auto submitManifest(const http::Request &request) -> http::WholeResponse;
    auto submission(const std::string &id) -> http::WholeResponse;
    auto upstreams() const -> http::WholeResponse;
    auto drain(const std::string &name) -> http::WholeResponse;
    auto timeline(const http::Request &request) -> http::WholeResponse;

    const AdminOptions options_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<PlatformSync> platform_;
    std::shared_ptr<Upstreams> upstreams_;
    std::shared_ptr<TimelineCollector> timelines_;
    std::shared_ptr<http::Server> server_;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminewood::router
