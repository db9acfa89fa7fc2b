#pragma once

#include <memory>

#include "jasminewood/agent/gate.h"
#include "jasminewood/http/server.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/settings/schema.h"

// Service "metrics" of the agent: /metrics, /healthz and /readyz.

namespace jasminewood::agent
{

// Thread-safe.
class MetricsServer
{
public:
    explicit MetricsServer(settings::Endpoint endpoint);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

private:
    auto handle(const http::Request &request) const -> http::BufferedResponse;

    const settings::Endpoint endpoint_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<Gate> gate_;
    std::shared_ptr<http::Server> server_;
};

} // namespace jasminewood::agent
