#include "refusal.h"

#include <fmt/format.h>

#include "response_writer.h"

namespace jasminewood::http::internal
{

namespace
{

// After the response to a head or a body that exceeds its limit, up to this multiple of the limit is read and
// discarded, so that the caller can read the response.
constexpr std::size_t discardFactor = 16;

auto noMemoryResponse() -> BufferedResponse
{
    constexpr auto retryAfterSeconds = "1";
    const auto error = errorResponse(503, "there is no memory for the request", RunState::NotRun);
    auto headers = error.headers_;
    headers.push_back({.name_ = "Retry-After", .value_ = retryAfterSeconds});
    return BufferedResponse {.status_ = error.status_, .headers_ = headers, .body_ = error.body_};
}

} // namespace

auto refusalFor(EndReason reason, std::size_t maximumBodyBytes) -> Refusal
{
    if (reason == EndReason::BodyStalled) {
        return {.reason_ = reason};
    }
    const auto response = reason == EndReason::BodyTooSlow
        ? errorResponse(408, "the body arrives too slowly", RunState::NotRun)
        : noMemoryResponse();
    return {.reason_ = reason, .response_ = response, .discardedBytes_ = maximumBodyBytes};
}

auto oversizedBodyRefusal(std::size_t maximumBodyBytes) -> Refusal
{
    const auto message = fmt::format("the body exceeds the limit of {} bytes", maximumBodyBytes);
    return {.reason_ = EndReason::BodyTooLarge,
        .response_ = errorResponse(413, message, RunState::NotRun),
        .discardedBytes_ = maximumBodyBytes * discardFactor};
}

auto oversizedHeadRefusal(std::size_t maximumHeadBytes) -> Refusal
{
    const auto message = fmt::format("the head exceeds the limit of {} bytes", maximumHeadBytes);
    return {.reason_ = EndReason::HeadTooLarge,
        .response_ = errorResponse(431, message, RunState::NotRun),
        .discardedBytes_ = maximumHeadBytes * discardFactor};
}

auto malformedRefusal(const std::string &reason) -> Refusal
{
    const auto message = fmt::format("malformed request: {}", reason);
    return {.reason_ = EndReason::ConnectionFailed,
        .response_ = errorResponse(400, message, RunState::NotRun),
        .detail_ = message};
}

} // namespace jasminewood::http::internal
