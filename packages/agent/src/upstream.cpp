#include "jasminewood/agent/upstream.h"

#include <algorithm>
#include <string>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_call.h"

namespace jasminewood::agent
{

namespace
{

// Weight of the newest sample in the moving averages.
constexpr double sampleWeight = 0.1;
constexpr auto probeTimeout = Milliseconds(1000);
// Maximum number of times that an upstream is probed after a failed call to find out whether it has restarted.
constexpr auto maximumCrashProbes = 5;
constexpr auto okStatus = std::uint16_t(200);

auto updatedAverage(double average, Microseconds sample) -> double
{
    const auto value = static_cast<double>(sample.count());
    return average == 0 ? value : average + sampleWeight * (value - average);
}

auto refusedContinuation(const EngineUpstream &engine, const engine::ChatErrorResponse &errorResponse) -> Failure
{
    return {.step_ = "engine",
        .peer_ = engine.baseUrl_,
        .reason_ = "status " + std::to_string(errorResponse.status_) + " in place of the rest of the output",
        .runState_ = RunState::MayHaveRun};
}

auto elapsedSince(TimePoint start) -> Microseconds
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start);
}

} // namespace

Upstream::Upstream(UpstreamTarget target, Milliseconds connectTimeout, Milliseconds idleTimeout)
    : target_(std::move(target))
    , connectTimeout_(connectTimeout)
    , idleTimeout_(idleTimeout)
{
}

auto Upstream::start(const kernel::ServiceRegistry &services) -> Status
{
    return services.require("environment", environment_);
}

auto Upstream::stop() -> void
{
}

auto Upstream::call(const wire::Dispatch &dispatch, http::StreamCall &streamCall, const OutputCallback &onOutput)
    -> CallOutcome
{
    return std::visit(
        [&](const auto &upstream) -> CallOutcome {
            return this->call(upstream, dispatch, streamCall, onOutput);
        },
        target_);
}

auto Upstream::call(const EngineUpstream &engine, const wire::Dispatch &dispatch, http::StreamCall &streamCall,
    const OutputCallback &onOutput) -> CallOutcome
{
    const auto crashCountBefore = crashCount();
    const auto startTimeBefore = engineStartTime(engine.baseUrl_);
    auto outputTokens = std::uint32_t(0);
    auto lastOutputAt = Clock::now();
    const auto outcome = engine::performChat(streamCall,
        engine::ChatCallRequest {.engineUrl_ = engine.baseUrl_,
            .path_ = dispatch.path_,
            .body_ = dispatch.body_,
            .tier_ = dispatch.tier_,
            .resumeText_ = dispatch.resumeText_,
            .resumeTokens_ = dispatch.resumeTokens_,
            .requestId_ = dispatch.attempt_.requestId_,
            .connectTimeout_ = connectTimeout_,
            .idleTimeout_ = idleTimeout_},
        [&](std::string_view text) -> bool {
            outputTokens == 0 ? recordTimeToFirstToken(elapsedSince(lastOutputAt))
                              : recordInterTokenLatency(elapsedSince(lastOutputAt));
            lastOutputAt = Clock::now();
            return onOutput(text, ++outputTokens);
        });
    if (!outcome) {
        return handleFailedCall(engine.baseUrl_, crashCountBefore, startTimeBefore, outcome.failure(), outputTokens);
    }
    return std::visit(Overloaded {[](const engine::ChatCompleted &completed) -> CallOutcome {
                                      return CallCompleted {.status_ = okStatus,
                                          .contentType_ = "text/event-stream",
                                          .finishReason_ = completed.finishReason_,
                                          .promptTokens_ = completed.usage_.promptTokens_,
                                          .outputTokens_ = completed.usage_.completionTokens_};
                                  },
                          [&](const engine::ChatErrorResponse &errorResponse) -> CallOutcome {
                              // The caller has the beginning of the output, so the error cannot be its response.
                              if (!dispatch.resumeText_.empty()) {
                                  return CallFailed {.failure_ = refusedContinuation(engine, errorResponse)};
                              }
                              onOutput(errorResponse.body_, 0);
                              return CallCompleted {.status_ = static_cast<std::uint16_t>(errorResponse.status_),
                                  .contentType_ = errorResponse.contentType_};
                          }},
        *outcome);
}

auto Upstream::makeServiceRequest(const std::string &baseUrl, const wire::Dispatch &dispatch) const
    -> http::ClientRequest
{
    auto headers = std::vector<http::HeaderField>();
    headers.push_back({.name_ = "Content-Type", .value_ = dispatch.contentType_});
    headers.push_back({.name_ = "X-Request-Id", .value_ = dispatch.attempt_.requestId_});
    if (!dispatch.idempotencyKey_.empty()) {
        headers.push_back({.name_ = "Idempotency-Key", .value_ = dispatch.idempotencyKey_});
    }
    return http::ClientRequest {.method_ = dispatch.method_,
        .url_ = baseUrl + dispatch.path_,
        .headers_ = std::move(headers),
        .body_ = dispatch.body_,
        .connectTimeout_ = connectTimeout_,
        .timeout_ = Milliseconds(0),
        .idleTimeout_ = idleTimeout_,
        .ownConnection_ = true};
}

auto Upstream::call(const ServiceUpstream &service, const wire::Dispatch &dispatch, http::StreamCall &streamCall,
    const OutputCallback &onOutput) -> CallOutcome
{
    auto contentType = std::string("application/octet-stream");
    const auto crashCountBefore = crashCount();
    const auto callStart = Clock::now();
    const auto status = streamCall.perform(
        makeServiceRequest(service.baseUrl_, dispatch),
        [&](int /*status*/, const std::map<std::string, std::string> &headers) -> void {
            const auto found = headers.find("content-type");
            contentType = found == headers.end() ? contentType : found->second;
            recordTimeToFirstToken(elapsedSince(callStart));
        },
        [&](std::string_view data) -> bool {
            return onOutput(data, 0);
        });
    if (!status) {
        return handleFailedCall(service.baseUrl_, crashCountBefore, std::nullopt, status.failure(), 0);
    }
    return CallCompleted {.status_ = static_cast<std::uint16_t>(*status), .contentType_ = contentType};
}

auto Upstream::engineStartTime(const std::string &baseUrl) const -> std::optional<std::string>
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (engineStartTime_) {
            return engineStartTime_;
        }
    }
    const auto startTime = engine::fetchStartTime(baseUrl, probeTimeout);
    const auto lock = std::lock_guard(mutex_);
    if (startTime) {
        engineStartTime_ = *startTime;
    }
    return engineStartTime_;
}

auto Upstream::detectCrash(const std::string &baseUrl, const std::optional<std::string> &startTimeBefore) const -> bool
{
    for (auto probes = 0; probes < maximumCrashProbes; ++probes) {
        const auto probeFailure = engine::probeHealth(baseUrl, probeTimeout);
        if (probeFailure && probeFailure->step_ == "connect") {
            const auto lock = std::lock_guard(mutex_);
            engineStartTime_.reset();
            return true;
        }
        if (probeFailure && probeFailure->step_ == "timeout") {
            return false;
        }
        // An engine that was restarted immediately passes the probe, but has another start time.
        const auto startTime = engine::fetchStartTime(baseUrl, probeTimeout);
        if (!probeFailure && startTime) {
            const auto lock = std::lock_guard(mutex_);
            const auto restarted = startTimeBefore && *startTime != *startTimeBefore;
            engineStartTime_ = *startTime;
            return restarted;
        }
        // The probe reached a process that is exiting or that is not ready yet; probe again.
    }
    return false;
}

auto Upstream::handleFailedCall(const std::string &baseUrl, std::uint64_t crashCountBefore,
    const std::optional<std::string> &startTimeBefore, const Failure &failure, std::uint32_t outputTokens) const
    -> CallFailed
{
    // The agent cancelled the call itself, which does not indicate a crash.
    if (failure.step_ == "cancel") {
        return CallFailed {.failure_ = failure, .outputTokens_ = outputTokens};
    }
    const auto crashDetected = detectCrash(baseUrl, startTimeBefore);
    const auto mayHaveRun = failure.runState_ != RunState::NotRun;
    return CallFailed {.failure_ = failure,
        .crashId_ = crashDetected && mayHaveRun ? recordCrash(crashCountBefore) : std::string(),
        .outputTokens_ = outputTokens};
}

auto Upstream::recordCrash(std::uint64_t crashCountBefore) const -> std::string
{
    // Calls that started with the same crash count failed because of the same crash.
    const auto lock = std::lock_guard(mutex_);
    crashCount_ = std::max(crashCount_, crashCountBefore + 1);
    return toString(environment_->identity().node_) + "/" + std::to_string(crashCountBefore + 1);
}

auto Upstream::crashCount() const -> std::uint64_t
{
    const auto lock = std::lock_guard(mutex_);
    return crashCount_;
}

auto Upstream::latencies() const -> UpstreamLatencies
{
    const auto lock = std::lock_guard(mutex_);
    return UpstreamLatencies {
        .timeToFirstToken_ = Microseconds(static_cast<std::int64_t>(averageTimeToFirstTokenMicros_)),
        .interTokenLatency_ = Microseconds(static_cast<std::int64_t>(averageInterTokenLatencyMicros_))};
}

auto Upstream::recordTimeToFirstToken(Microseconds elapsed) -> void
{
    const auto lock = std::lock_guard(mutex_);
    averageTimeToFirstTokenMicros_ = updatedAverage(averageTimeToFirstTokenMicros_, elapsed);
}

auto Upstream::recordInterTokenLatency(Microseconds elapsed) -> void
{
    const auto lock = std::lock_guard(mutex_);
    averageInterTokenLatencyMicros_ = updatedAverage(averageInterTokenLatencyMicros_, elapsed);
}

} // namespace jasminewood::agent
