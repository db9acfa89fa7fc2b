#include "jasminewood/engine/chat_chunk.h"

#include <algorithm>
#include <limits>

#include "json.h"

namespace jasminewood::engine
{

namespace
{

using internal::Json;
using internal::member;
using internal::stringOrEmpty;

auto tokenCount(const Json &value) -> std::uint32_t
{
    return std::uint32_t(internal::unsignedUpTo(value, std::numeric_limits<std::uint32_t>::max()).value_or(0));
}

auto parseUsage(const Json &usage) -> std::optional<TokenUsage>
{
    if (!usage.is_object()) {
        return std::nullopt;
    }
    return TokenUsage {.promptTokens_ = tokenCount(member(usage, "prompt_tokens")),
        .completionTokens_ = tokenCount(member(usage, "completion_tokens"))};
}

auto makeUsageJson(const TokenUsage &usage) -> Json
{
    return {{"prompt_tokens", usage.promptTokens_}, {"completion_tokens", usage.completionTokens_},
        {"total_tokens", std::uint64_t(usage.promptTokens_) + usage.completionTokens_}};
}

auto makeMetadataJson(const CompletionMetadata &metadata, const char *object) -> Json
{
    return {{"id", metadata.id_}, {"object", object}, {"created", metadata.created_}, {"model", metadata.model_}};
}

auto makeChunkJson(const CompletionMetadata &metadata, const Json &delta, const Json &finishReason) -> Json
{
    auto json = makeMetadataJson(metadata, "chat.completion.chunk");
    json["choices"] = Json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}}});
    return json;
}

auto serialise(const Json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns the message of an error that an engine sends in place of a chunk: {"error": {"message": ...}},
// {"error": "..."} or {"object": "error", "message": ...}.
auto errorMessage(const Json &payload) -> std::optional<std::string>
{
    const auto &error = member(payload, "error");
    if (error.is_object()) {
        return stringOrEmpty(member(error, "message"));
    }
    if (!error.is_null()) {
        return error.is_string() ? stringOrEmpty(error) : serialise(error);
    }
    if (member(payload, "object") == "error") {
        return stringOrEmpty(member(payload, "message"));
    }
    return std::nullopt;
}

} // namespace

auto parseChunk(std::string_view data) -> Result<ChatChunk>
{
    const auto payload = internal::parseObject(data);
    if (!payload) {
        return Failure {.step_ = "read", .reason_ = "a chunk is not a JSON object"};
    }
    if (const auto error = errorMessage(*payload)) {
        return Failure {.step_ = "engine", .reason_ = *error};
    }
    const auto &choices = member(*payload, "choices");
    if (!choices.is_array()) {
        return Failure {.step_ = "read", .reason_ = "a chunk has no \"choices\""};
    }
    const auto choice = choices.empty() ? Json() : choices.front();
    const auto &finish = member(choice, "finish_reason");
    return ChatChunk {.text_ = stringOrEmpty(member(member(choice, "delta"), "content")),
        .finishReason_ = finish.is_string() ? std::make_optional(stringOrEmpty(finish)) : std::nullopt,
        .usage_ = parseUsage(member(*payload, "usage"))};
}

auto buildRoleChunk(const CompletionMetadata &metadata) -> std::string
{
    return serialise(makeChunkJson(metadata, {{"role", "assistant"}, {"content", ""}}, nullptr));
}

auto buildChunk(const CompletionMetadata &metadata, const ChatChunk &chunk) -> std::string
{
    const auto delta = chunk.text_.empty() ? Json::object() : Json {{"content", chunk.text_}};
    auto json = makeChunkJson(metadata, delta, chunk.finishReason_ ? Json(*chunk.finishReason_) : Json());
    if (chunk.usage_) {
        json["usage"] = makeUsageJson(*chunk.usage_);
    }
    return serialise(json);
}

auto buildCompletion(const CompletionMetadata &metadata, std::string_view text, std::string_view finishReason,
    const TokenUsage &usage) -> std::string
{
    auto json = makeMetadataJson(metadata, "chat.completion");
    const auto message = Json {{"role", "assistant"}, {"content", text}};
    json["choices"] = Json::array({{{"index", 0}, {"message", message}, {"finish_reason", finishReason}}});
    json["usage"] = makeUsageJson(usage);
    return serialise(json);
}

auto completeUtf8Length(std::string_view text) -> std::size_t
{
    constexpr std::size_t longestCharacter = 4;
    for (auto tail = std::size_t(1); tail <= std::min(longestCharacter, text.size()); ++tail) {
        const auto byte = static_cast<unsigned char>(text[text.size() - tail]);
        if ((byte & 0xC0U) == 0x80U) {
            continue;
        }
        const auto length = byte < 0xC0U ? 1U : byte < 0xE0U ? 2U : byte < 0xF0U ? 3U : 4U;
        return length > tail ? text.size() - tail : text.size();
    }
    return text.size();
}

} // namespace jasminewood::engine
