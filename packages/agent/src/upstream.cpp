#include "jasminewood/agent/upstream.h"

#include <algorithm>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/engine/chat_request.h"
#include "jasminewood/engine/sse_reader.h"

namespace jasminewood::agent
{

namespace
{

// Weight of the newest sample in the moving averages.
constexpr double sampleWeight = 0.1;
constexpr auto healthTimeout = Milliseconds(1000);
constexpr auto firstErrorStatus = 400;

auto blend(double average, Microseconds sample) -> double
{
    const auto value = static_cast<double>(sample.count());
    return average == 0 ? value : average + sampleWeight * (value - average);
}

auto since(TimePoint start) -> Microseconds
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start);
}

// Returns the body for the engine: streamed, with the tier as priority, and continued after what was delivered before.
auto engineBody(const wire::Dispatch &dispatch) -> Result<std::string>
{
    const auto streamed = engine::withStream(dispatch.body_);
    const auto prioritised = streamed ? engine::withPriority(*streamed, dispatch.tier_) : streamed;
    return prioritised ? engine::withResume(*prioritised, dispatch.resumeText_) : prioritised;
}

auto ranBut(const std::string &peer, const std::string &reason) -> Failure
{
    return Failure {.step_ = "receive", .peer_ = peer, .reason_ = reason, .runState_ = RunState::Ran};
}

} // namespace

Upstream::Upstream(UpstreamKind kind, Milliseconds connectTimeout, Milliseconds idleTimeout)
    : kind_(std::move(kind))
    , connectTimeout_(connectTimeout)
    , idleTimeout_(idleTimeout)
{
}

auto Upstream::start(const kernel::Registry &services) -> Status
{
    return services.require("environment", environment_);
}

auto Upstream::stop() -> void
{
}

auto Upstream::call(const wire::Dispatch &dispatch, http::StreamCall &call, const OutputHandler &onOutput)
    -> CallOutcome
{
    return std::visit(
        [&](const auto &kind) -> CallOutcome {
            return this->call(kind, dispatch, call, onOutput);
        },
        kind_);
}

auto Upstream::request(const std::string &baseUrl, const wire::Dispatch &dispatch, std::string body) const
    -> http::ClientRequest
{
    auto headers = std::vector<http::Header>();
    headers.push_back({.name_ = "Content-Type", .value_ = dispatch.contentType_});
    headers.push_back({.name_ = "X-Request-Id", .value_ = dispatch.attempt_.request_});
    if (!dispatch.idempotencyKey_.empty()) {
        headers.push_back({.name_ = "Idempotency-Key", .value_ = dispatch.idempotencyKey_});
    }
    return http::ClientRequest {.method_ = dispatch.method_,
        .url_ = baseUrl + dispatch.path_,
        .headers_ = std::move(headers),
        .body_ = std::move(body),
        .connectTimeout_ = connectTimeout_,
        .timeout_ = Milliseconds(0),
        .idleTimeout_ = idleTimeout_};
}

auto Upstream::call(const EngineUpstream &engine, const wire::Dispatch &dispatch, http::StreamCall &call,
    const OutputHandler &onOutput) -> CallOutcome
{
    const auto body = engineBody(dispatch);
    if (!body) {
        return CallBroken {.failure_ = body.reason()};
    }
    const auto crashesBefore = crashes();
    auto reader = engine::SseReader();
    auto errorBody = std::string();
    auto finishReason = std::string();
    auto tokens = std::uint32_t(0);
    auto done = false;
    auto fault = Status();
    auto status = 0;
    auto last = Clock::now();
    const auto onEvent = [&](const std::string &data) -> bool {
        if (data == engine::doneMarker) {
            done = true;
            return true;
        }
        const auto chunk = engine::parseChunk(data);
        if (!chunk) {
            fault.emplace(chunk.reason());
            return false;
        }
        finishReason = chunk->finishReason_.value_or(finishReason);
        if (chunk->text_.empty()) {
            return true;
        }
        tokens == 0 ? measureFirst(since(last)) : measureBetween(since(last));
        last = Clock::now();
        return onOutput(chunk->text_, ++tokens);
    };
    const auto ended = call.perform(
        request(engine.baseUrl_, dispatch, *body),
        [&](int received, const std::map<std::string, std::string> & /*headers*/) -> void {
            status = received;
        },
        [&](std::string_view data) -> bool {
            if (status >= firstErrorStatus) {
                errorBody.append(data);
                return true;
            }
            for (const auto &event : reader.feed(data)) {
                if (!onEvent(event)) {
                    return false;
                }
            }
            return true;
        });
    if (fault || reader.fault()) {
        return broken(
            engine.baseUrl_, crashesBefore, ranBut(engine.baseUrl_, (fault ? fault : reader.fault())->reason_), tokens);
    }
    if (!ended) {
        return broken(engine.baseUrl_, crashesBefore, ended.reason(), tokens);
    }
    if (status >= firstErrorStatus) {
        onOutput(errorBody, 0);
        return CallComplete {.status_ = static_cast<std::uint16_t>(status), .contentType_ = "application/json"};
    }
    if (!done) {
        return broken(
            engine.baseUrl_, crashesBefore, ranBut(engine.baseUrl_, "the engine's stream has no end"), tokens);
    }
    return CallComplete {.status_ = static_cast<std::uint16_t>(status),
        .contentType_ = "text/event-stream",
        .finishReason_ = finishReason,
        .outputTokens_ = tokens};
}

auto Upstream::call(const ServiceUpstream &service, const wire::Dispatch &dispatch, http::StreamCall &call,
    const OutputHandler &onOutput) -> CallOutcome
{
    auto contentType = std::string("application/octet-stream");
    const auto crashesBefore = crashes();
    const auto begun = Clock::now();
    const auto ended = call.perform(
        request(service.baseUrl_, dispatch, dispatch.body_),
        [&](int /*status*/, const std::map<std::string, std::string> &headers) -> void {
            const auto found = headers.find("content-type");
            contentType = found == headers.end() ? contentType : found->second;
            measureFirst(since(begun));
        },
        [&](std::string_view data) -> bool {
            return onOutput(data, 0);
        });
    if (!ended) {
        return broken(service.baseUrl_, crashesBefore, ended.reason(), 0);
    }
    return CallComplete {.status_ = static_cast<std::uint16_t>(*ended), .contentType_ = contentType};
}

auto Upstream::broken(const std::string &baseUrl, std::uint64_t crashesBefore, const Failure &failure,
    std::uint32_t outputTokens) const -> CallBroken
{
    // A call that was cancelled here says nothing of the upstream.
    if (failure.step_ == "cancel") {
        return CallBroken {.failure_ = failure, .outputTokens_ = outputTokens};
    }
    const auto alive = http::fetch(http::ClientRequest {.url_ = baseUrl + "/health", .timeout_ = healthTimeout});
    const auto refused = !alive && alive.reason().step_ == "connect";
    const auto began = failure.runState_ != RunState::NotRun;
    return CallBroken {.failure_ = failure,
        .crash_ = refused && began ? crashName(crashesBefore) : std::string(),
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

auto Upstream::times() const -> UpstreamTimes
{
    const auto lock = std::lock_guard(mutex_);
    return UpstreamTimes {.firstToken_ = Microseconds(static_cast<std::int64_t>(firstTokenMicros_)),
        .betweenTokens_ = Microseconds(static_cast<std::int64_t>(betweenTokensMicros_))};
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
