#include "jasminewood/agent/upstream.h"

#include <algorithm>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_call.h"

namespace jasminewood::agent
{

namespace
{

// Weight of the newest sample in the moving averages.
constexpr double sampleWeight = 0.1;
constexpr auto healthTimeout = Milliseconds(1000);
// Questions to an upstream whose call broke, until it tells whether it restarted.
constexpr auto crashQuestions = 5;
constexpr auto okStatus = std::uint16_t(200);

auto blend(double average, Microseconds sample) -> double
{
    const auto value = static_cast<double>(sample.count());
    return average == 0 ? value : average + sampleWeight * (value - average);
}

auto since(TimePoint start) -> Microseconds
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start);
}

} // namespace

Upstream::Upstream(UpstreamType kind, Milliseconds connectTimeout, Milliseconds idleTimeout)
    : kind_(std::move(kind))
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

auto Upstream::call(const wire::Dispatch &dispatch, http::StreamCall &call, const OutputCallback &onOutput)
    -> CallOutcome
{
    return std::visit(
        [&](const auto &kind) -> CallOutcome {
            return this->call(kind, dispatch, call, onOutput);
        },
        kind_);
}

auto Upstream::call(const EngineUpstream &engine, const wire::Dispatch &dispatch, http::StreamCall &call,
    const OutputCallback &onOutput) -> CallOutcome
{
    const auto crashesBefore = crashes();
    const auto startedBefore = startedAt(engine.baseUrl_);
    auto tokens = std::uint32_t(0);
    auto last = Clock::now();
    const auto outcome = engine::performChat(call,
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
            tokens == 0 ? measureFirst(since(last)) : measureBetween(since(last));
            last = Clock::now();
            return onOutput(text, ++tokens);
        });
    if (!outcome) {
        return broken(engine.baseUrl_, crashesBefore, startedBefore, outcome.failure(), tokens);
    }
    return std::visit(Overloaded {[](const engine::ChatCompleted &finished) -> CallOutcome {
                                      return CallCompleted {.status_ = okStatus,
                                          .contentType_ = "text/event-stream",
                                          .finishReason_ = finished.finishReason_,
                                          .promptTokens_ = finished.usage_.promptTokens_,
                                          .outputTokens_ = finished.usage_.completionTokens_};
                                  },
                          [&](const engine::ChatErrorResponse &refused) -> CallOutcome {
                              onOutput(refused.body_, 0);
                              return CallCompleted {.status_ = static_cast<std::uint16_t>(refused.status_),
                                  .contentType_ = refused.contentType_};
                          }},
        *outcome);
}

auto Upstream::serviceRequest(const std::string &baseUrl, const wire::Dispatch &dispatch) const -> http::ClientRequest
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
        .idleTimeout_ = idleTimeout_};
}

auto Upstream::call(const ServiceUpstream &service, const wire::Dispatch &dispatch, http::StreamCall &call,
    const OutputCallback &onOutput) -> CallOutcome
{
    auto contentType = std::string("application/octet-stream");
    const auto crashesBefore = crashes();
    const auto begun = Clock::now();
    const auto ended = call.perform(
        serviceRequest(service.baseUrl_, dispatch),
        [&](int /*status*/, const std::map<std::string, std::string> &headers) -> void {
            const auto found = headers.find("content-type");
            contentType = found == headers.end() ? contentType : found->second;
            measureFirst(since(begun));
        },
        [&](std::string_view data) -> bool {
            return onOutput(data, 0);
        });
    if (!ended) {
        return broken(service.baseUrl_, crashesBefore, std::nullopt, ended.failure(), 0);
    }
    return CallCompleted {.status_ = static_cast<std::uint16_t>(*ended), .contentType_ = contentType};
}

auto Upstream::startedAt(const std::string &baseUrl) const -> std::optional<std::string>
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (startedAt_) {
            return startedAt_;
        }
    }
    const auto started = engine::fetchStartTime(baseUrl, healthTimeout);
    const auto lock = std::lock_guard(mutex_);
    if (started) {
        startedAt_ = *started;
    }
    return startedAt_;
}

auto Upstream::crashed(const std::string &baseUrl, const std::optional<std::string> &startedBefore) const -> bool
{
    for (auto asked = 0; asked < crashQuestions; ++asked) {
        const auto unhealthy = engine::probeHealth(baseUrl, healthTimeout);
        if (unhealthy && unhealthy->step_ == "connect") {
            const auto lock = std::lock_guard(mutex_);
            startedAt_.reset();
            return true;
        }
        if (unhealthy && unhealthy->step_ == "timeout") {
            return false;
        }
        // An engine that restarts at once answers the probe again.
        const auto started = engine::fetchStartTime(baseUrl, healthTimeout);
        if (!unhealthy && started) {
            const auto lock = std::lock_guard(mutex_);
            const auto restarted = startedBefore && *started != *startedBefore;
            startedAt_ = *started;
            return restarted;
        }
        // The connection reached a process that was just ending, or one that is not ready yet.
    }
    return false;
}

auto Upstream::broken(const std::string &baseUrl, std::uint64_t crashesBefore,
    const std::optional<std::string> &startedBefore, const Failure &failure, std::uint32_t outputTokens) const
    -> CallFailed
{
    // A call that was cancelled here says nothing of the upstream.
    if (failure.step_ == "cancel") {
        return CallFailed {.failure_ = failure, .outputTokens_ = outputTokens};
    }
    const auto gone = crashed(baseUrl, startedBefore);
    const auto began = failure.runState_ != RunState::NotRun;
    return CallFailed {.failure_ = failure,
        .crashId_ = gone && began ? crashName(crashesBefore) : std::string(),
        .outputTokens_ = outputTokens};
}

auto Upstream::crashName(std::uint64_t crashesBefore) const -> std::string
{
    // Calls that began between the same two crashes ended by the same one.
    const auto lock = std::lock_guard(mutex_);
    crashes_ = std::max(crashes_, crashesBefore + 1);
    return toString(environment_->identity().node_) + "/" + std::to_string(crashesBefore + 1);
}

auto Upstream::crashes() const -> std::uint64_t
{
    const auto lock = std::lock_guard(mutex_);
    return crashes_;
}

auto Upstream::latencies() const -> UpstreamLatencies
{
    const auto lock = std::lock_guard(mutex_);
    return UpstreamLatencies {.timeToFirstToken_ = Microseconds(static_cast<std::int64_t>(firstTokenMicros_)),
        .interTokenLatency_ = Microseconds(static_cast<std::int64_t>(betweenTokensMicros_))};
}

auto Upstream::measureFirst(Microseconds elapsed) -> void
{
    const auto lock = std::lock_guard(mutex_);
    firstTokenMicros_ = blend(firstTokenMicros_, elapsed);
}

auto Upstream::measureBetween(Microseconds elapsed) -> void
{
    const auto lock = std::lock_guard(mutex_);
    betweenTokensMicros_ = blend(betweenTokensMicros_, elapsed);
}

} // namespace jasminewood::agent
