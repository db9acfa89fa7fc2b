#include "jasminewood/forward/front.h"

#include "request_run.h"

namespace jasminewood::forward
{

namespace
{

auto scaledLimits(const routing::RetryLimits &limits) -> routing::RetryLimits
{
    return {.fraction_ = limits.fraction_ * usedRetryPart,
        .slack_ = limits.slack_ * usedRetryPart,
        .window_ = limits.window_,
        .learning_ = limits.learning_};
}

} // namespace

Front::Front(const FrontOptions &options, const Dialect &protocolAdapter)
    : options_(options)
    , protocolAdapter_(protocolAdapter)
    , retryLimits_(scaledLimits(options.retries_))
{
}

auto Front::start(const kernel::Registry &services) -> Status
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
    const auto &metrics = environment_->metrics();
    requestCounter_.emplace(metrics.counter("jasminewood_forward_requests_total", "Requests received"));
    retryCounter_.emplace(
        metrics.counter("jasminewood_forward_retries_total", "Attempts beyond the first of a request"));
    timeToResponse_.emplace(metrics.histogram("jasminewood_forward_answer_seconds", "Time until an answer begins"));
    const auto server = http::Server::start(options_.server_, [this](const http::Request &request) {
        return handleRequest(request);
    });
    if (!server) {
        return server.reason();
    }
    server_ = *server;
    environment_->log().info("listening", {{"address", options_.server_.address_}, {"port", server_->port()}});
    return std::nullopt;
}

auto Front::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopped_ = true;
    }
    stopCondition_.notify_all();
    if (server_) {
        server_->stop();
    }
}

auto Front::drain(Milliseconds noticePeriod, Milliseconds timeout) -> bool
{
    const auto deadline = Clock::now() + timeout;
    server_->closeAfterAnswers();
    {
        auto lock = std::unique_lock(mutex_);
        stopCondition_.wait_for(lock, noticePeriod, [this] {
            return stopped_;
        });
    }
    refusing_ = true;
    server_->quiesce();
    return server_->waitIdle(std::chrono::ceil<Milliseconds>(deadline - Clock::now()));
}

auto Front::refusing() const -> bool
{
    return refusing_;
}

auto Front::port() const -> std::uint16_t
{
    return server_->port();
}

auto Front::countOutcome(const std::string &outcome, int status) const -> void
{
    environment_->metrics()
        .counter("jasminewood_forward_outcomes_total", "Requests by their end",
            {{"outcome", outcome}, {"status", std::to_string(status)}})
        .add();
}

auto Front::countRequest(const std::string &service) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    retryBudgets_.try_emplace(service, retryLimits_).first->second.requested(Clock::now());
}

auto Front::tryAcquireRetry(const std::string &service) -> bool
{
    const auto now = Clock::now();
    const auto routers = upstreams_->pool().routers(now);
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!retryBudgets_.try_emplace(service, retryLimits_).first->second.tryRetry(routers, now)) {
            return false;
        }
    }
    retryCounter_->add();
    return true;
}

auto Front::handleRequest(const http::Request &request) -> http::Response
{
    requestCounter_->add();
    return std::make_shared<RequestRun>(*this, request)->handle();
}

} // namespace jasminewood::forward
