#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/core/tier.h"
#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/http/client.h"

// Streamed chat completion calls to a model engine over the OpenAI-compatible HTTP API.
//
//     auto stream = http::StreamCall();
//     const auto outcome = engine::performChat(stream, {.engineUrl_ = "http://127.0.0.1:8000", .body_ = body},
//         [](std::string_view text) -> bool {
//             return forward(text);
//         });

namespace jasminewood::engine
{

struct ChatCallRequest
{
    // For example "http://10.0.0.8:8000".
    const std::string engineUrl_;
    const std::string path_ = "/v1/chat/completions";
    // The caller's body. The members for streaming, priority and resumption are set before it is sent.
    const std::string body_;
    const Tier tier_ = lowestTier;
    // Output that has already been delivered to the caller; the engine continues after it.
    const std::string resumeText_;
    // Output tokens in resumeText_, which count against the caller's limit.
    const std::uint32_t resumeTokens_ = 0;
    // Sent as X-Request-Id unless empty.
    const std::string requestId_;
    const Milliseconds connectTimeout_ = Milliseconds(2'000);
    // Timeout if no byte arrives from the engine; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(30'000);

    auto operator<=>(const ChatCallRequest &) const = default;
};

// The engine has sent a complete response.
struct ChatCompleted
{
    const std::string finishReason_;
    // Usage that the engine reported. Without a report, completionTokens_ is the number of chunks with text.
    const TokenUsage usage_;

    auto operator<=>(const ChatCompleted &) const = default;
};

// The engine has responded with a status other than 200, before any output.
struct ChatErrorResponse
{
    const int status_ = 0;
    const std::string contentType_;
    // The first maximumErrorBodyBytes of the body.
    const std::string body_;

    auto operator<=>(const ChatErrorResponse &) const = default;
};

using ChatOutcome = std::variant<ChatCompleted, ChatErrorResponse>;

constexpr std::size_t maximumErrorBodyBytes = 64U << 10U;

// Called with the next piece of output text. Returning false cancels the call.
using TextCallback = std::function<auto(std::string_view text)->bool>;

// Performs the call. onText runs on the calling thread; call.cancel() ends the call from any thread. A stream is
// complete only if it has a finish reason and the end marker. Fails with the steps of http::StreamCall, with "engine"
// if the engine reports an error in the stream, with "read" if the stream is malformed or ends too early, and with the
// steps of chat_request.h if the body cannot be modified. The run state is NotRun only if nothing reached the engine.
auto performChat(http::StreamCall &call, const ChatCallRequest &request, const TextCallback &onText)
    -> Result<ChatOutcome>;

// Sends "GET /health" to the engine and returns no failure if it is healthy. Fails with step "probe" for a status other
// than 200, and with the steps of http::fetch.
auto probeHealth(const std::string &engineUrl, Milliseconds timeout) -> Status;

// Returns the start time of the engine process from the gauge process_start_time_seconds of "GET /metrics", which
// Prometheus client libraries export by default. It changes when the engine restarts. Fails as probeHealth() does, and
// if the gauge is missing.
auto fetchStartTime(const std::string &engineUrl, Milliseconds timeout) -> Result<std::string>;

} // namespace jasminewood::engine
