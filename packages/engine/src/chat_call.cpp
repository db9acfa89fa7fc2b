#include "jasminewood/engine/chat_call.h"

#include <utility>
#include <vector>

#include <fmt/format.h>

#include "chat_stream.h"
#include "jasminewood/engine/chat_request.h"

namespace jasminewood::engine
{

namespace
{

auto makeBody(const ChatCallRequest &request) -> Result<std::string>
{
    const auto resumed = withResumedOutput(request.body_, request.resumeText_, request.resumeTokens_);
    if (!resumed) {
        return resumed.failure();
    }
    const auto prioritised = withPriority(*resumed, request.tier_);
    return prioritised ? withStreaming(*prioritised) : prioritised;
}

auto makeHttpRequest(const ChatCallRequest &request, const std::string &body) -> http::ClientRequest
{
    auto headers = std::vector<http::HeaderField>();
    headers.push_back({.name_ = "Content-Type", .value_ = "application/json"});
    headers.push_back({.name_ = "Accept", .value_ = "text/event-stream"});
    if (!request.requestId_.empty()) {
        headers.push_back({.name_ = "X-Request-Id", .value_ = request.requestId_});
    }
    return http::ClientRequest {.method_ = "POST",
        .url_ = request.engineUrl_ + request.path_,
        .headers_ = std::move(headers),
        .body_ = body,
        .connectTimeout_ = request.connectTimeout_,
        .timeout_ = Milliseconds(0),
        .idleTimeout_ = request.idleTimeout_,
        .ownConnection_ = true};
}

// Returns the failure with run state MayHaveRun, because the engine had already responded.
auto makeEngineFailure(const std::string &engine, const Failure &failure) -> Failure
{
    return Failure {.step_ = failure.step_,
        .peer_ = engine,
        .reason_ = failure.reason_,
        .runState_ = RunState::MayHaveRun,
        .retryAfter_ = failure.retryAfter_};
}

} // namespace

auto performChat(http::StreamCall &call, const ChatCallRequest &request, const TextCallback &onText)
    -> Result<ChatOutcome>
{
    const auto body = makeBody(request);
    if (!body) {
        return body.failure();
    }
    auto stream = internal::ChatStream(onText);
    const auto onHeaders = [&stream](int status, const std::map<std::string, std::string> &headers) {
        const auto type = headers.find("content-type");
        stream.handleHeaders(status, type == headers.end() ? "" : type->second);
    };
    const auto onData = [&stream](std::string_view data) -> bool {
        return stream.handleData(data);
    };
    const auto status = call.perform(makeHttpRequest(request, *body), onHeaders, onData);
    if (stream.failure()) {
        return makeEngineFailure(request.engineUrl_, *stream.failure());
    }
    if (!status) {
        return status.failure();
    }
    const auto outcome = stream.outcome();
    return outcome ? outcome : Result<ChatOutcome>(makeEngineFailure(request.engineUrl_, outcome.failure()));
}

auto probeHealth(const std::string &engineUrl, Milliseconds timeout) -> Status
{
    const auto url = engineUrl + "/health";
    const auto response = http::fetch({.url_ = url, .connectTimeout_ = timeout, .timeout_ = timeout});
    if (!response) {
        return response.failure();
    }
    if (response->status_ != 200) {
        return Failure {.step_ = "probe", .peer_ = engineUrl, .reason_ = fmt::format("status {}", response->status_)};
    }
    return std::nullopt;
}

auto fetchStartTime(const std::string &engineUrl, Milliseconds timeout) -> Result<std::string>
{
    constexpr auto gauge = std::string_view("\nprocess_start_time_seconds ");
    const auto response
        = http::fetch({.url_ = engineUrl + "/metrics", .connectTimeout_ = timeout, .timeout_ = timeout});
    if (!response) {
        return response.failure();
    }
    const auto text = "\n" + response->body_;
    const auto gaugeOffset = text.find(gauge);
    if (response->status_ != 200 || gaugeOffset == std::string::npos) {
        return Failure {
            .step_ = "probe", .peer_ = engineUrl, .reason_ = "the metrics have no process_start_time_seconds"};
    }
    const auto valueOffset = gaugeOffset + gauge.size();
    return text.substr(valueOffset, text.find_first_of(" \r\n", valueOffset) - valueOffset);
}

} // namespace jasminewood::engine
