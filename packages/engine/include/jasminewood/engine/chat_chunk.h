#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"

// Chunks of a streamed OpenAI chat completion, and the answers that callers receive. All functions are pure.
//
//     const auto chunk = engine::parseChunk(data);
//     const auto answer = engine::buildAnswer(head, text, "stop", usage);

namespace jasminewood::engine
{

// Payload of the event that ends a stream.
constexpr std::string_view doneMarker = "[DONE]";

struct TokenUsage
{
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t completionTokens_ = 0;

    auto operator<=>(const TokenUsage &) const = default;
};

struct ChatChunk
{
    // The new text; empty in chunks that carry only the role, the end or the usage.
    const std::string text_;
    // For example "stop" or "length"; set in the last chunk with a choice.
    const std::optional<std::string> finishReason_;
    const std::optional<TokenUsage> usage_;

    auto operator<=>(const ChatChunk &) const = default;
};

// What all chunks of an answer have in common.
struct CompletionMetadata
{
    // For example "chatcmpl-REQUEST".
    const std::string id_;
    const std::string model_;
    // Seconds since 1970.
    const std::int64_t created_ = 0;

    auto operator<=>(const CompletionMetadata &) const = default;
};

// Reads the data payload of an event other than doneMarker. Fails with step "read" if it is no chunk, and with step
// "engine" and the engine's message if it reports an error in the stream.
auto parseChunk(std::string_view data) -> Result<ChatChunk>;

// Returns the payload of the first event for the caller, which names the role.
auto buildRoleChunk(const CompletionMetadata &head) -> std::string;

// Returns the payload of an event for the caller. parseChunk() gives the same chunk again.
auto buildChunk(const CompletionMetadata &head, const ChatChunk &chunk) -> std::string;

// Returns the body of a whole answer that is not streamed.
auto buildCompletion(const CompletionMetadata &head, std::string_view text, std::string_view finishReason,
    const TokenUsage &usage) -> std::string;

// Length of the longest beginning of the text that does not end within a UTF-8 character. The builders need whole
// characters; others come out as U+FFFD. A caller of them keeps the rest for the next chunk.
auto completeUtf8Length(std::string_view text) -> std::size_t;

} // namespace jasminewood::engine
