#include "jasminewood/agent/metrics_server.h"

#include <utility>

namespace jasminewood::agent
{

MetricsServer::MetricsServer(settings::Endpoint endpoint)
    : endpoint_(std::move(endpoint))
{
}

auto MetricsServer::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("gate", gate_)) {
        return failure;
    }
    const auto server = http::Server::start(http::ServerOptions {.address_ = endpoint_.host_, .port_ = endpoint_.port_},
        [this](const http::Request &request) -> http::Response {
            return handle(request);
        });
    if (!server) {
        return server.failure();
    }
    server_ = *server;
    environment_->log().info("listening for metrics", {{"port", std::int64_t(server_->port())}});
    return std::nullopt;
}

auto MetricsServer::stop() -> void
{
    if (server_) {
        server_->stop();
    }
}

auto MetricsServer::handle(const http::Request &request) const -> http::BufferedResponse
{
    if (request.path_ == "/healthz") {
        return http::BufferedResponse {.body_ = "alive\n"};
    }
    if (request.path_ == "/readyz") {
        return gate_->leaving() ? http::BufferedResponse {.status_ = 503, .body_ = "leaving\n"}
                                : http::BufferedResponse {.body_ = "ready\n"};
    }
    if (request.path_ != "/metrics") {
        return http::BufferedResponse {.status_ = 404, .body_ = "not found\n"};
    }
    const auto load = gate_->loadReport();
    const auto &metrics = environment_->metrics();
    metrics.gauge("jasminewood_agent_running", "Attempts that run at the upstream").set(load.running_);
    metrics.gauge("jasminewood_agent_free_slots", "Slots that a new attempt could take").set(load.freeSlots_);
    return http::BufferedResponse {
        .headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; version=0.0.4"}}, .body_ = metrics.text()};
}

} // namespace jasminewood::agent
