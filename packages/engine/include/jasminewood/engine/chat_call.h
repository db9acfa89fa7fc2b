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
//     auto call = engine::ChatCall();
//     const auto outcome = call.perform({.engine_ = "127.0.0.1:8000", .body_ = body}, [](std::string_view text) {
//         return forward(text);
//     });

namespace jasminewood::engine
{

struct ChatCallRequest
{
    // The engine's "IP:PORT".
    const std::string engine_;
    const std::string path_ = "/v1/chat/completions";
    // The caller's body; stream, priority and resume members are set in it.
    const std::string body_;
    const Tier tier_ = lowestTier;
    // Output that the caller already has; the engine continues after it.
    const std::string resumeText_;
    // Longest time without a byte from the engine; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(30'000);

    auto operator<=>(const ChatCallRequest &) const = default;
};

// The engine has sent the whole answer.
struct ChatFinished
{
    const std::string finishReason_;
    // As the engine reports it; otherwise completionTokens_ counts the chunks with text.
    const TokenUsage usage_;

    auto operator<=>(const ChatFinished &) const = default;
};

// The engine has answered with a status other than 200, before any output.
struct ChatRefused
{
    const int status_ = 0;
    const std::string contentType_;
    // At most maximumRefusalBytes of the body.
    const std::string body_;

    auto operator<=>(const ChatRefused &) const = default;
};

using ChatOutcome = std::variant<ChatFinished, ChatRefused>;

constexpr std::size_t maximumRefusalBytes = 64U << 10U;

// Takes the next output text; returning false cancels the call.
using TextCallback = std::function<auto(std::string_view text)->bool>;

// One call; perform() is used once and by one task, cancel() by any.
class ChatCall
{
public:
    // Performs the call; onText runs in the calling task. Only a stream with a finish reason and its end marker is
    // finished. Fails with the steps of http::StreamCall, with "engine" if the engine reports an error in the stream,
    // with "read" if the stream is malformed or ends too early, and with the steps of chat_request.h if the body cannot
    // be changed. The run state is NotRun only if nothing reached the engine.
    auto perform(const ChatCallRequest &request, const TextCallback &onText) -> Result<ChatOutcome>;

    // Ends the call at once, also if perform() starts later.
    auto cancel() -> void;

private:
    http::StreamCall call_;
};

// Asks "GET /health" of the engine at "IP:PORT"; nothing means healthy. Fails with step "probe" for another status than
// 200 and with the steps of http::fetch.
auto probe(const std::string &engine, Milliseconds timeout) -> Status;

} // namespace jasminewood::engine
