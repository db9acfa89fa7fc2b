#include "error_responses.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jasminewood::forward::internal
{

namespace
{

auto errorBody(const nlohmann::json &error) -> std::string
{
    constexpr int noIndent = -1;
    const auto body = nlohmann::json {{"error", error}};
    return body.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto refusalResponse(const Refusal &refusal, const std::string &requestId) -> http::BufferedResponse
{
    auto headers = std::vector<http::HeaderField> {{.name_ = "Content-Type", .value_ = "application/json"}};
    if (refusal.retryAfter_.count() > 0) {
        headers.push_back({.name_ = "Retry-After",
            .value_ = fmt::format("{:.3f}", std::chrono::duration<double>(refusal.retryAfter_).count())});
    }
    return http::BufferedResponse {.status_ = refusal.status_,
        .headers_ = headers,
        .body_ = errorBody({{"code", refusal.code_}, {"message", refusal.message_}, {"run_state", "not_run"},
            {"retry_after_ms", refusal.retryAfter_.count()}, {"request_id", requestId}})};
}

auto failureResponse(int status, const Failure &failure, const std::string &requestId) -> http::Response
{
    return http::BufferedResponse {.status_ = status,
        .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}},
        .body_ = errorBody({{"code", "upstream_failed"}, {"message", failure.reason_}, {"step", failure.step_},
            {"peer", failure.peer_}, {"run_state", std::string(toString(failure.runState_))},
            {"request_id", requestId}})};
}

} // namespace jasminewood::forward::internal
