#include "jasminewood/forward/probes.h"

namespace jasminewood::forward
{

namespace
{

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

// Neither probes nor scrapes have a body. One is refused with status 413.
auto withoutBodies(const http::ServerOptions &options) -> http::ServerOptions
{
    return {.address_ = options.address_,
        .port_ = options.port_,
        .maximumBodyBytes_ = 0,
        .maximumConnections_ = options.maximumConnections_,
        .idleTimeout_ = options.idleTimeout_};
}

} // namespace

ProbeServer::ProbeServer(const ProbeServerOptions &options)
    : options_(options)
{
}

auto ProbeServer::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("configuration", configuration_)) {
        return failure;
    }
    if (auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (auto failure = services.require("front", frontend_)) {
        return failure;
    }
    const auto readinessServer
        = http::Server::start(withoutBodies(options_.readinessServer_), [this](const http::Request &request) {
              return handleReadinessProbe(request);
          });
    if (!readinessServer) {
        return readinessServer.failure();
    }
    readinessServer_ = *readinessServer;
    const auto metricsServer
        = http::Server::start(withoutBodies(options_.metricsServer_), [this](const http::Request & /*request*/) {
              updateGauges();
              return http::BufferedResponse {.status_ = ok,
                  .headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; version=0.0.4"}},
                  .body_ = environment_->metrics().text()};
          });
    if (!metricsServer) {
        return metricsServer.failure();
    }
    metricsServer_ = *metricsServer;
    return std::nullopt;
}

auto ProbeServer::stop() -> void
{
    if (readinessServer_) {
        readinessServer_->stop();
    }
    if (metricsServer_) {
        metricsServer_->stop();
    }
}

auto ProbeServer::setNotReady() -> void
{
    stopping_ = true;
}

auto ProbeServer::setShedding(bool shedding) -> void
{
    shedding_ = shedding;
}

auto ProbeServer::ready() const -> bool
{
    return !stopping_ && !shedding_ && configuration_->current() && upstreams_->loaded() && frontend_->hasRoom();
}

auto ProbeServer::reportedReadySince() const -> std::optional<TimePoint>
{
    const auto lock = std::scoped_lock(mutex_);
    return reportedReadySince_;
}

auto ProbeServer::failedProbes() const -> unsigned
{
    const auto lock = std::scoped_lock(mutex_);
    return failedProbes_;
}

auto ProbeServer::readinessPort() const -> std::uint16_t
{
    return readinessServer_->port();
}

auto ProbeServer::recordProbe(bool succeeded) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    failedProbes_ = succeeded ? 0 : failedProbes_ + 1;
    if (!succeeded) {
        reportedReadySince_.reset();
    } else if (!reportedReadySince_) {
        reportedReadySince_ = Clock::now();
        environment_->log().info("the load balancer was told that this router is ready");
    }
}

auto ProbeServer::updateGauges() const -> void
{
    const auto &metrics = environment_->metrics();
    const auto table = configuration_->current();
    const auto age = configuration_->age();
    metrics.gauge("jasminewood_forward_configuration_version", "Version of the configuration in force")
        .set(table ? double(table->configuration().version_) : 0);
    metrics
        .gauge("jasminewood_forward_configuration_age_seconds",
            "Time since the store proved that the configuration is the newest; -1 if it never did")
        .set(age ? std::chrono::duration<double>(*age).count() : -1);
    metrics.gauge("jasminewood_forward_connections", "Open connections of callers")
        .set(double(frontend_->connectionCount()));
    metrics.gauge("jasminewood_http_body_bytes", "Memory that the bodies of callers' requests have reserved")
        .set(double(frontend_->bodyBytes()));
    metrics.gauge("jasminewood_forward_upstreams", "Upstreams that take new work")
        .set(double(upstreams_->pool().size()));
}

auto ProbeServer::handleReadinessProbe(const http::Request &request) -> http::Response
{
    if (request.path_ != options_.readinessPath_) {
        return http::BufferedResponse {.status_ = notFound};
    }
    const auto isReady = ready();
    recordProbe(isReady);
    return http::BufferedResponse {.status_ = isReady ? ok : serviceUnavailable};
}

} // namespace jasminewood::forward
