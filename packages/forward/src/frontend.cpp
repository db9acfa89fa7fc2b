#include "jasminewood/forward/frontend.h"

#include <algorithm>

#include <xxhash.h>

#include "error_responses.h"
#include "handling_delay.h"
#include "request_run.h"

namespace jasminewood::forward
{

namespace
{

// Limits of the operators are believed up to these values, since a body is held in memory and a connection holds a
// thread.
constexpr std::size_t largestBodyBytes = std::size_t(64) << 20U;
constexpr auto longestIdleTimeout = Milliseconds(3'600'000);

auto responseKind(const routes::Route &route, const RequestMetadata &metadata) -> congestion::ResponseKind
{
    return route.retrySafety_ == routes::RetrySafety::Stream
        ? congestion::ResponseKind(congestion::EventStream {.resumes_ = !metadata.lastEventId_.empty()})
        : congestion::PlainResponse {};
}

// Upper bounds in seconds of the histogram of errors, which are negative where an estimate was too short.
auto estimateErrorBuckets() -> std::vector<double>
{
    return {-10, -5, -2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
}

auto scaleToRetryBudgetShare(const routing::RetryBudgetOptions &options, TimePoint slackFrom)
    -> routing::RetryBudgetOptions
{
    return {.fraction_ = options.fraction_ * retryBudgetShare,
        .slack_ = options.slack_ * retryBudgetShare,
        .window_ = options.window_,
        .slackFrom_ = slackFrom};
}

} // namespace

auto connectionLimits(const routes::CallerLimits &limits, const http::ServerOptions &settings) -> http::ConnectionLimits
{
    return {.maximumHeaderBytes_
        = std::min(limits.maximumHeaderBytes_.value_or(http::maximumHeaderBytes), http::maximumHeaderBytes),
        .maximumBodyBytes_ = std::min(limits.maximumBodyBytes_.value_or(settings.maximumBodyBytes_), largestBodyBytes),
        .idleTimeout_ = std::min(limits.idleTimeout_.value_or(settings.idleTimeout_), longestIdleTimeout)};
}

Frontend::Frontend(const FrontendOptions &options, const ProtocolAdapter &protocolAdapter)
    : options_(options)
    , protocolAdapter_(protocolAdapter)
    , responseMemory_(std::make_shared<SharedResponseMemory>(options.maximumHeldBytes_))
{
}

auto Frontend::start(const kernel::ServiceRegistry &services) -> Status
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
    if (auto failure = services.require("crashing-requests", crashingRequests_)) {
        return failure;
    }
    if (auto failure = services.require("stream-origins", streamOrigins_)) {
        return failure;
    }
    if (const auto usage = services.find<UsageReporting>("usage-reporting")) {
        usageReporting_ = *usage;
    }
    retryBudgetOptions_.emplace(
        scaleToRetryBudgetShare(options_.retryBudget_, Clock::now() + options_.retryLearningTime_));
    const auto &metrics = environment_->metrics();
    lagAdmission_ = std::make_unique<LagAdmission>(metrics, Clock::now());
    requestCounter_.emplace(metrics.counter("jasminewood_forward_requests_total", "Requests received"));
    retryCounter_.emplace(
        metrics.counter("jasminewood_forward_retries_total", "Attempts beyond the first of a request"));
    timeToHandler_.emplace(metrics.histogram("jasminewood_forward_pickup_seconds",
        "Time from the arrival of a request until it was read and a thread handles it"));
    timeToResponse_.emplace(metrics.histogram("jasminewood_forward_answer_seconds", "Time until an answer begins"));
    estimateError_.emplace(metrics.histogram("jasminewood_forward_first_token_error_seconds",
        "Estimated minus actual time to the first token of attempts with a prompt", {}, estimateErrorBuckets()));
    waitingRequests_.emplace(metrics.gauge(
        "jasminewood_forward_waiting_requests", "Late requests that wait in this process for room at an engine"));
    const auto server = http::Server::start(
        options_.server_,
        [this](const http::Request &request) {
            return handleRequest(request);
        },
        [this](const http::UnservedRequest &request) {
            recordUnserved(request);
        },
        [this] {
            const auto table = configuration_->current();
            return connectionLimits(
                table ? table->configuration().callerLimits_ : routes::CallerLimits {}, options_.server_);
        },
        [this](const http::Request &request) {
            return refuseBeforeBody(request);
        });
    if (!server) {
        return server.failure();
    }
    server_ = *server;
    environment_->log().info("listening", {{"address", options_.server_.address_}, {"port", server_->port()}});
    return std::nullopt;
}

auto Frontend::stop() -> void
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

auto Frontend::drain(const StopPeriods &periods) -> bool
{
    const auto schedule = makeStopSchedule(Clock::now(), periods);
    const auto remaining = [](TimePoint until) {
        return std::chrono::ceil<Milliseconds>(until - Clock::now());
    };
    server_->closeAfterResponses();
    stopSchedule_.emplace(schedule);
    stopBegun_ = true;
    {
        auto lock = std::unique_lock(mutex_);
        stopCondition_.wait_until(lock, schedule.refuseFrom_, [this] {
            return stopped_;
        });
    }
    server_->stopAccepting();
    const auto allCompleted = server_->waitUntilIdle(remaining(schedule.requestsEndAt_));
    requestsEnded_ = !allCompleted;
    // To a request in flight its caller now appears disconnected, which ends its wait; see
    // RequestRun::closeForLeftCaller(). One that has been read since is refused. stop() would close their connections
    // before the responses.
    const auto allClosed = server_->closeConnections(remaining(schedule.processEndsAt_));
    return allCompleted && allClosed;
}

auto Frontend::refusesRequests() const -> bool
{
    const auto schedule = stopSchedule();
    return schedule && Clock::now() >= schedule->refuseFrom_;
}

auto Frontend::endsRequests() const -> bool
{
    return requestsEnded_;
}

auto Frontend::stopSchedule() const -> std::optional<StopSchedule>
{
    return stopBegun_ ? stopSchedule_ : std::nullopt;
}

auto Frontend::hasRoom() const -> bool
{
    return connectionCount() < options_.server_.maximumConnections_;
}

auto Frontend::connectionCount() const -> unsigned
{
    return server_->connectionCount();
}

auto Frontend::bodyBytes() const -> std::size_t
{
    return server_->bodyBytes();
}

auto Frontend::releaseConnections(const routing::ConnectionRelease &release) -> std::size_t
{
    return server_->closeAfterResponses(release.connections_, release.openedBefore_);
}

auto Frontend::setUtilisation(double utilisation) -> void
{
    utilisation_ = utilisation;
}

auto Frontend::port() const -> std::uint16_t
{
    return server_->port();
}

auto Frontend::countOutcome(const std::string &outcome, int status) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto key = std::pair(outcome, status);
    auto found = outcomeCounters_.find(key);
    if (found == outcomeCounters_.end()) {
        const auto counter = environment_->metrics().counter("jasminewood_forward_outcomes_total",
            "Requests by their end", {{"outcome", outcome}, {"status", std::to_string(status)}});
        found = outcomeCounters_.emplace(key, counter).first;
    }
    found->second.add();
}

auto Frontend::countRefusedBody(const http::UnservedRequest &request) const -> void
{
    if (!http::isRefusedBody(request.reason_)) {
        return;
    }
    environment_->metrics()
        .counter("jasminewood_http_refused_bodies_total", "Requests whose bodies were refused",
            {{"reason", std::string(http::toString(request.reason_))}})
        .add();
}

auto Frontend::recordUnserved(const http::UnservedRequest &request) const -> void
{
    countRefusedBody(request);
    const auto reason = std::string(http::toString(request.reason_));
    environment_->metrics()
        .counter("jasminewood_forward_unserved_total",
            "Requests without a complete response of an upstream or of this process",
            {{"reason", reason}, {"read", request.requestRead_ ? "whole" : "partly"}})
        .add();
    const auto table = configuration_->current();
    environment_->log().info("connection ended without a complete response",
        {{"reason", reason}, {"target", request.target_}, {"request_read", request.requestRead_},
            {"response_begun", request.responseBegun_}, {"streamed_bytes", std::int64_t(request.streamedBytes_)},
            {"version", table ? table->configuration().version_ : 0}, {"detail", request.detail_}});
}

auto Frontend::countRequest(const std::string &service) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    retryBudgets_.try_emplace(service, *retryBudgetOptions_).first->second.recordRequest(Clock::now());
}

auto Frontend::recordBegan(const std::string &account) -> void
{
    if (usageReporting_ && !account.empty()) {
        usageReporting_->recordBegan(account, BootClock::now());
    }
}

auto Frontend::countResumption(bool originKnown) const -> void
{
    environment_->metrics()
        .counter("jasminewood_forward_resumed_requests_total", "Requests that resume a stream",
            {{"origin", originKnown ? "known" : "unknown"}})
        .add();
}

auto Frontend::countDeadlineClass(const Assignment &assignment) const -> void
{
    if (assignment.expectedFirstToken_) {
        environment_->metrics()
            .counter("jasminewood_forward_deadline_class_total",
                "Attempts with a prompt, by whether their response could begin in time",
                {{"class", deadlines::toString(assignment.deadlineClass_)}})
            .add();
    }
}

auto Frontend::observeFirstTokenEstimate(const Assignment &assignment, TimePoint firstTokenAt) const -> void
{
    if (assignment.expectedFirstToken_) {
        const auto actual = firstTokenAt - assignment.startedAt_;
        estimateError_->observe(std::chrono::duration<double>(*assignment.expectedFirstToken_ - actual).count());
    }
}

auto Frontend::tryAcquireRetry(const std::string &service) -> bool
{
    const auto now = Clock::now();
    const auto routers = upstreams_->pool().routerCount(now);
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!retryBudgets_.try_emplace(service, *retryBudgetOptions_).first->second.tryAcquireRetry(routers, now)) {
            return false;
        }
    }
    retryCounter_->add();
    return true;
}

auto Frontend::refuseBeforeBody(const http::Request &request) -> std::optional<http::BufferedResponse>
{
    auto refusal = RequestRun(*this, request).refuseBeforeBody();
    if (refusal) {
        requestCounter_->add();
    }
    return refusal;
}

auto Frontend::handleRequest(const http::Request &request) -> http::Response
{
    const auto now = Clock::now();
    requestCounter_->add();
    timeToHandler_->observe(std::chrono::duration<double>(now - request.arrival_.steady_).count());
    lagAdmission_->recordRequest(internal::handlingDelay(request, now), now);
    if (auto refusal = refuseUnderLag(request, now)) {
        return std::move(*refusal);
    }
    return std::make_shared<RequestRun>(*this, request)->handle();
}

auto Frontend::recordLag(Clock::duration delay) -> void
{
    lagAdmission_->recordRequest(delay, Clock::now());
}

auto Frontend::refuseUnderLag(const http::Request &request, TimePoint now) -> std::optional<http::Response>
{
    const auto lag = lagAdmission_->lag(now);
    const auto table = lag.count() > 0 ? configuration_->current() : nullptr;
    if (!table) {
        return std::nullopt;
    }
    const auto metadata = protocolAdapter_.parseRequestMetadata_(request);
    const auto *route = table->matchRoute(metadata.host_, request.requestTarget_);
    if (route == nullptr) {
        return std::nullopt;
    }
    const auto decision
        = lagAdmission_->admit({.kind_ = responseKind(*route, metadata),
                                   .target_ = route->targetLatency_,
                                   .elapsed_ = std::chrono::ceil<Milliseconds>(now - request.arrival_.steady_),
                                   .urgency_ = table->enginePriority(*route, table->findAccount(metadata.apiKey_)),
                                   .hash_ = XXH3_64bits(metadata.requestId_.data(), metadata.requestId_.size())},
            upstreams_->pool().routerCount(now) > 1, now);
    const auto *refused = std::get_if<congestion::RefusedForLag>(&decision);
    if (refused == nullptr) {
        return std::nullopt;
    }
    const auto refusal = Refusal {.code_ = "lagging",
        .message_ = "this process cannot pass on the request in time",
        .retryAfter_ = refused->retryAfter_};
    countOutcome("refused", refusal.status_);
    environment_->log().info("refused",
        {{"request", metadata.requestId_}, {"route", route->name_}, {"status", std::int64_t(refusal.status_)},
            {"attempts", 0}, {"passed_on", false}, {"code", refusal.code_}, {"reason", refusal.message_},
            {"lag_ms", lag.count()}, {"version", table->configuration().version_}});
    return internal::refusalResponse(refusal, metadata.requestId_);
}

} // namespace jasminewood::forward
