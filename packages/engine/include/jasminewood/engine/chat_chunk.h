#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"

// Parses the chunks of a streamed OpenAI chat completion and builds the responses to callers. All functions are pure.
//
//     const auto chunk = engine::parseChunk(data);
//     const auto completion = engine::buildCompletion(metadata, text, "stop", usage);

namespace jasminewood::engine
{

// Data of the event that ends a stream.
constexpr std::string_view doneMarker = "[DONE]";

struct TokenUsage
{
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t completionTokens_ = 0;

    auto operator<=>(const TokenUsage &) const = default;
};

struct ChatChunk
{
    // The new text; empty in chunks with only the role, the finish reason or the usage.
    const std::string text_;
    // For example "stop" or "length"; set in the last chunk that has a choice.
    const std::optional<std::string> finishReason_;
    const std::optional<TokenUsage> usage_;

    auto operator<=>(const ChatChunk &) const = default;
};

// Members that all chunks of a completion have in common.
struct CompletionMetadata
{
    // For example "chatcmpl-REQUEST".
    const std::string id_;
    const std::string model_;
    // Seconds since 1970.
    const std::int64_t created_ = 0;

    auto operator<=>(const CompletionMetadata &) const = default;
};

// Parses the data of an event other than doneMarker. Fails with step "read" if it is not a chunk, and with step
// "engine" and the engine's message if it is an error.
auto parseChunk(std::string_view data) -> Result<ChatChunk>;

// Returns the data of the first event for the caller, which contains the role.
auto buildRoleChunk(const CompletionMetadata &metadata) -> std::string;

// Returns the data of an event for the caller. parseChunk() is the inverse.
auto buildChunk(const CompletionMetadata &metadata, const ChatChunk &chunk) -> std::string;

// Returns the body of a response that is not streamed.
auto buildCompletion(const CompletionMetadata &metadata, std::string_view text, std::string_view finishReason,
    const TokenUsage &usage) -> std::string;

// Returns the length in bytes of the longest prefix of the text that does not end within a UTF-8 character. The build
// functions replace incomplete characters by U+FFFD, so only this prefix must be passed to them; hold back the
// remaining bytes for the next chunk.
auto completeUtf8Length(std::string_view text) -> std::size_t;

} // namespace jasminewood::engine
