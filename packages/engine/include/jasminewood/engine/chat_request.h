#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"
#include "jasminewood/core/tier.h"

// Parses and modifies the JSON body of an OpenAI chat completions request: the router parses it, the agent modifies it.
// All functions are pure and preserve unknown members of the body.
//
//     const auto request = engine::parseChatRequest(body);
//     if (!request) {
//         sendBadRequest(request.failure().reason_);
//     }

namespace jasminewood::engine
{

constexpr std::size_t maximumBodyBytes = 4U << 20U;
constexpr std::size_t maximumMessages = 4096;
// Longest model name, in bytes; equals the limit of names in messages between processes.
constexpr std::size_t maximumModelBytes = 256;
constexpr std::uint32_t maximumOutputTokens = 1'000'000;
// Deepest nesting of the body. JSON is serialised recursively, so a deeply nested hostile body would exhaust the stack.
constexpr int maximumNestingDepth = 64;
// Length of the prompt prefix that is hashed for prefix affinity, in bytes.
constexpr std::size_t hashedPrefixBytes = 1024;

struct ChatRequest
{
    const std::string model_;
    const bool stream_ = false;
    // "max_completion_tokens" or, without it, "max_tokens".
    const std::optional<std::uint32_t> maximumOutputTokens_;
    // XXH3-64 of the first hashedPrefixBytes of the concatenated messages with their roles.
    const std::uint64_t prefixHash_ = 0;
    // Text of the last message with the role "user"; empty if there is none.
    const std::string lastUserMessage_;

    auto operator<=>(const ChatRequest &) const = default;
};

// Parses and validates a body. Fails with step "validate" and a reason for the caller that names the invalid member.
// More than one choice ("n") is rejected, because a stream can be resumed at another engine for one choice only.
auto parseChatRequest(std::string_view body) -> Result<ChatRequest>;

// Makes the engine continue after the text that was already delivered to the caller: adds it as a final assistant
// message, or appends it to the caller's final message if the caller requested its continuation. Lowers a limit on
// output tokens by the delivered tokens, to at least 1. Returns the body unchanged if the text is empty. Fails with
// step "resume" if the body is not a chat request or the text is not UTF-8.
auto withResumedOutput(std::string_view body, std::string_view deliveredText, std::uint32_t deliveredTokens)
    -> Result<std::string>;

// Sets "priority" to the tier; engines schedule lower values first. Fails with step "priority" if the body is not a
// JSON object.
auto withPriority(std::string_view body, Tier tier) -> Result<std::string>;

// Requests a streamed response whose last chunk reports the usage. Fails with step "stream" if the body is not a JSON
// object.
auto withStreaming(std::string_view body) -> Result<std::string>;

} // namespace jasminewood::engine
