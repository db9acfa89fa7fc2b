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

// One chat completion at a model engine, streamed by the OpenAI HTTP interface.
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
    // The caller's body; stream, priority and resume members are set in it.
    const std::string body_;
    const Tier tier_ = lowestTier;
    // Output that the caller already has; the engine continues after it.
    const std::string resumeText_;
    // Output tokens of that text, which count against the caller's limit.
    const std::uint32_t resumeTokens_ = 0;
    // Sent as X-Request-Id if it is not empty.
    const std::string requestId_;
    const Milliseconds connectTimeout_ = Milliseconds(2'000);
    // Longest time without a byte from the engine; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(30'000);

    auto operator<=>(const ChatCallRequest &) const = default;
};

// The engine has sent the whole answer.
struct ChatCompleted
{
    const std::string finishReason_;
    // As the engine reports it; otherwise completionTokens_ counts the chunks with text.
    const TokenUsage usage_;

    auto operator<=>(const ChatCompleted &) const = default;
};

// The engine has answered with a status other than 200, before any output.
struct ChatErrorResponse
{
    const int status_ = 0;
    const std::string contentType_;
    // At most maximumRefusalBytes of the body.
    const std::string body_;

    auto operator<=>(const ChatErrorResponse &) const = default;
};

using ChatOutcome = std::variant<ChatCompleted, ChatErrorResponse>;

constexpr std::size_t maximumErrorBodyBytes = 64U << 10U;

// Takes the next output text; returning false cancels the call.
using TextCallback = std::function<auto(std::string_view text)->bool>;

// Performs the call; onText runs in the calling task, and the stream call's cancel() ends it from any task. Only a
// stream with a finish reason and its end marker is finished. Fails with the steps of http::StreamCall, with "engine"
// if the engine reports an error in the stream, with "read" if the stream is malformed or ends too early, and with the
// steps of chat_request.h if the body cannot be changed. The run state is NotRun only if nothing reached the engine.
auto performChat(http::StreamCall &call, const ChatCallRequest &request, const TextCallback &onText)
    -> Result<ChatOutcome>;

// Asks "GET /health" of the engine at this URL; nothing means healthy. Fails with step "probe" for another status than
// 200 and with the steps of http::fetch.
auto probeHealth(const std::string &engineUrl, Milliseconds timeout) -> Status;

// Returns the start time of the engine's process as "GET /metrics" states it in process_start_time_seconds, the usual
// gauge of Prometheus clients. Two runs of an engine differ in it. Fails as probe() does, and if the gauge is missing.
auto fetchStartTime(const std::string &engineUrl, Milliseconds timeout) -> Result<std::string>;

} // namespace jasminewood::engine
