#include "api_error.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace jasminewood::router::internal
{

namespace
{

constexpr auto millisPerSecond = 1000;

} // namespace

auto errorJson(const std::string &requestId, const Failure &failure) -> std::string
{
    auto error = nlohmann::json {{"message", toString(failure)}, {"type", "jasminewood_error"}, {"code", failure.step_},
        {"step", failure.step_}, {"peer", failure.peer_}, {"run_state", std::string(toString(failure.runState_))},
        {"retry_after_ms", nullptr}, {"request_id", requestId}};
    if (failure.retryAfter_) {
        error["retry_after_ms"] = failure.retryAfter_->count();
    }
    return nlohmann::json {{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto httpStatusFor(const Failure &failure) -> int
{
    if (failure.step_ == "quarantine") {
        return 422;
    }
    return failure.runState_ == RunState::NotRun ? 503 : 502;
}

auto errorResponse(int status, const std::string &requestId, const Failure &failure) -> http::BufferedResponse
{
    auto headers = std::vector<http::HeaderField>();
    headers.push_back({.name_ = "Content-Type", .value_ = "application/json"});
    headers.push_back({.name_ = "X-Request-Id", .value_ = requestId});
    if (failure.retryAfter_) {
        const auto seconds = (failure.retryAfter_->count() + millisPerSecond - 1) / millisPerSecond;
        headers.push_back({.name_ = "Retry-After", .value_ = std::to_string(seconds)});
    }
    return http::BufferedResponse {
        .status_ = status, .headers_ = std::move(headers), .body_ = errorJson(requestId, failure)};
}

auto methodNotAllowed(const std::string &requestId, const std::string &allowed) -> http::BufferedResponse
{
    const auto failure = Failure {.step_ = "classify", .reason_ = "this path needs the method " + allowed};
    return http::BufferedResponse {.status_ = 405,
        .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"},
            {.name_ = "X-Request-Id", .value_ = requestId}, {.name_ = "Allow", .value_ = allowed}},
        .body_ = errorJson(requestId, failure)};
}

auto passThroughResponse(const std::string &requestId, int status, const std::string &contentType,
    const std::string &body) -> http::BufferedResponse
{
    return http::BufferedResponse {.status_ = status,
        .headers_ = {{.name_ = "Content-Type", .value_ = contentType}, {.name_ = "X-Request-Id", .value_ = requestId}},
        .body_ = body};
}

auto upstreamPath(const manifest::Pool &pool, const http::Request &request) -> std::string
{
    const auto rest = request.path_.substr(pool.path_.size());
    const auto path = rest.starts_with('/') ? rest : "/" + rest;
    return request.query_.empty() ? path : path + "?" + request.query_;
}

} // namespace jasminewood::router::internal
