#include "chat_request.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "jasminewood/testbench/expected_output.h"
#include "json_response.h"

namespace jasminewood::testbench::internal
{

namespace
{

using nlohmann::json;

auto contentOf(const json &message) -> std::string
{
    const auto &content = message.at("content");
    if (content.is_string()) {
        return content.get<std::string>();
    }
    auto text = std::string();
    for (const auto &contentPart : content) {
        text += contentPart.value("text", "");
    }
    return text;
}

auto maximumTokensOf(const json &body) -> std::optional<std::size_t>
{
    for (const auto *name : {"max_completion_tokens", "max_tokens"}) {
        if (body.contains(name) && body[name].is_number_unsigned()) {
            return body[name].get<std::size_t>();
        }
    }
    return std::nullopt;
}

auto endTokenOf(const json &body, const std::string &message, std::size_t first) -> std::size_t
{
    const auto maximum = maximumTokensOf(body);
    if (!requestedTokenCount(message) && maximum) {
        return first + *maximum;
    }
    return expectedTokenCount(message, maximum);
}

auto parse(const http::Request &request) -> ChatRequest
{
    const auto body = json::parse(request.body_.text());
    auto prompt = std::string();
    auto lastUserMessage = std::string();
    for (const auto &message : body.at("messages")) {
        const auto role = message.at("role").get<std::string>();
        const auto content = contentOf(message);
        prompt += role + ":" + content + "\n";
        lastUserMessage = role == "user" ? content : lastUserMessage;
    }
    const auto &lastMessage = body.at("messages").back();
    const auto continuesMessage = body.value("continue_final_message", false) && lastMessage.at("role") == "assistant";
    const auto resumed = continuesMessage ? contentOf(lastMessage) : "";
    const auto first = countTokens(resumed);
    const auto lastSpace = resumed.rfind(' ');
    return ChatRequest {.requestId_ = headerOf(request, "x-request-id"),
        .model_ = body.value("model", ""),
        .prompt_ = std::move(prompt),
        .lastUserMessage_ = lastUserMessage,
        .priority_ = body.value("priority", std::int64_t(0)),
        .stream_ = body.value("stream", false),
        .includeUsage_ = body.value("stream_options", json::object()).value("include_usage", false),
        .firstToken_ = first,
        .endToken_ = endTokenOf(body, lastUserMessage, first),
        .partialToken_ = lastSpace == std::string::npos ? resumed : resumed.substr(lastSpace + 1)};
}

} // namespace

auto parseChatRequest(const http::Request &request) -> Result<ChatRequest>
{
    try {
        return parse(request);
    } catch (const json::exception &jsonError) {
        return Failure {.step_ = "parse", .reason_ = jsonError.what()};
    }
}

} // namespace jasminewood::testbench::internal
