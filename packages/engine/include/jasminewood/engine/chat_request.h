#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"
#include "jasminewood/core/tier.h"

// The JSON body of an OpenAI chat completions call: what the router reads in it and what the agent changes. All
// functions are pure, and all keep members of the body that they do not know.
//
//     const auto request = engine::parseChatRequest(body);
//     if (!request) {
//         answerBadRequest(request.reason().reason_);
//     }

namespace jasminewood::engine
{

constexpr std::size_t maximumBodyBytes = 4U << 20U;
constexpr std::size_t maximumMessages = 4096;
// Longest model name, in bytes: the limit of names between processes.
constexpr std::size_t maximumModelBytes = 256;
constexpr std::uint32_t maximumOutputTokens = 1'000'000;
// Deepest nesting of the body. JSON is written recursively, so that the depth of a hostile body would exhaust the
// stack.
constexpr int maximumNestingDepth = 64;
// Length of the prompt's beginning that prefix affinity looks at, in bytes.
constexpr std::size_t hashedPrefixBytes = 1024;

struct ChatRequest
{
    const std::string model_;
    const bool stream_ = false;
    // "max_completion_tokens" or, without it, "max_tokens".
    const std::optional<std::uint32_t> maximumOutputTokens_;
    // XXH3-64 of the first promptPrefixBytes of all messages, with their roles.
    const std::uint64_t prefixHash_ = 0;
    // Text of the last message of the role "user"; empty if there is none.
    const std::string lastUserMessage_;

    auto operator<=>(const ChatRequest &) const = default;
};

// Reads a body. Fails with step "validate" and a reason for the caller that names the member at fault. More than one
// choice ("n") is refused, as a stream can be continued elsewhere for one choice only.
auto parseChatRequest(std::string_view body) -> Result<ChatRequest>;

// Lets the engine continue after the text that the caller already has: adds it as a final assistant message, or to the
// caller's own one if that is to be continued. The body is kept if the text is empty. Fails with step "resume" if the
// body is not a chat request or the text is not UTF-8. A limit on output tokens is lowered by the delivered tokens, to
// 1 at least.
auto withResumedOutput(std::string_view body, std::string_view deliveredText, std::uint32_t deliveredTokens)
    -> Result<std::string>;

// Sets "priority" to the tier: engines run smaller numbers first. Fails with step "priority" if the body is no object.
auto withPriority(std::string_view body, Tier tier) -> Result<std::string>;

// Asks for a stream whose last chunk reports the usage. Fails with step "stream" if the body is no object.
auto withStreaming(std::string_view body) -> Result<std::string>;

} // namespace jasminewood::engine
