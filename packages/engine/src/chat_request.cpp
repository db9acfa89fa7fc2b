#include "jasminewood/engine/chat_request.h"

#include <fmt/format.h>
#include <xxhash.h>

#include "json.h"

namespace jasminewood::engine
{

namespace
{

using internal::Json;
using internal::member;
using internal::parseObject;
using internal::stringOrEmpty;

auto validationFailure(const std::string &reason) -> Failure
{
    return Failure {.step_ = "validate", .reason_ = reason};
}

// Returns the text of a message whose content is a string or a list of parts.
auto messageText(const Json &message) -> std::string
{
    const auto &content = member(message, "content");
    if (!content.is_array()) {
        return stringOrEmpty(content);
    }
    auto text = std::string();
    for (const auto &part : content) {
        text += stringOrEmpty(member(part, "text"));
    }
    return text;
}

auto describeMessageProblem(const Json &message) -> std::string
{
    if (!message.is_object() || stringOrEmpty(member(message, "role")).empty()) {
        return "has no \"role\"";
    }
    const auto &content = member(message, "content");
    if (!content.is_string() && !content.is_array() && !content.is_null()) {
        return "has \"content\" that is neither a string nor a list of parts";
    }
    return {};
}

auto checkMessages(const Json &messages) -> Status
{
    if (!messages.is_array() || messages.empty()) {
        return validationFailure("\"messages\" must be a list with at least one message");
    }
    if (messages.size() > maximumMessages) {
        return validationFailure(
            fmt::format("\"messages\" has {} messages, more than {}", messages.size(), maximumMessages));
    }
    for (auto index = std::size_t(0); index < messages.size(); ++index) {
        if (const auto problem = describeMessageProblem(messages[index]); !problem.empty()) {
            return validationFailure(fmt::format("\"messages\"[{}] {}", index, problem));
        }
    }
    return std::nullopt;
}

auto checkModel(const Json &model) -> Status
{
    const auto name = stringOrEmpty(model);
    if (name.empty()) {
        return validationFailure("\"model\" must be a string that is not empty");
    }
    if (name.size() > maximumModelBytes) {
        return validationFailure(fmt::format("\"model\" is longer than {} bytes", maximumModelBytes));
    }
    return std::nullopt;
}

auto checkOptions(const Json &body) -> Status
{
    const auto &stream = member(body, "stream");
    if (!stream.is_boolean() && !stream.is_null()) {
        return validationFailure("\"stream\" must be a boolean");
    }
    const auto &choices = member(body, "n");
    if (!choices.is_null() && choices != 1) {
        return validationFailure("\"n\" must be 1");
    }
    for (const auto *name : {"max_completion_tokens", "max_tokens"}) {
        const auto &limit = member(body, name);
        if (!limit.is_null() && internal::unsignedUpTo(limit, maximumOutputTokens).value_or(0) == 0) {
            return validationFailure(fmt::format("\"{}\" must be an integer from 1 to {}", name, maximumOutputTokens));
        }
    }
    return std::nullopt;
}

auto outputTokenLimit(const Json &body) -> std::optional<std::uint32_t>
{
    for (const auto *name : {"max_completion_tokens", "max_tokens"}) {
        if (const auto limit = internal::unsignedUpTo(member(body, name), maximumOutputTokens)) {
            return std::uint32_t(*limit);
        }
    }
    return std::nullopt;
}

auto prefixHash(const Json &messages) -> std::uint64_t
{
    auto prefix = std::string();
    for (const auto &message : messages) {
        if (prefix.size() >= hashedPrefixBytes) {
            break;
        }
        prefix += stringOrEmpty(member(message, "role")) + '\n' + messageText(message) + '\n';
    }
    return XXH3_64bits(prefix.data(), std::min(prefix.size(), hashedPrefixBytes));
}

auto lastUserMessage(const Json &messages) -> std::string
{
    for (auto message = messages.rbegin(); message != messages.rend(); ++message) {
        if (member(*message, "role") == "user") {
            return messageText(*message);
        }
    }
    return {};
}

// Serialises the body. Fails for text that is not UTF-8, for which the library throws.
auto serialise(const Json &body, const char *step) -> Result<std::string>
{
    try {
        return body.dump();
    } catch (const Json::exception &error) {
        return Failure {.step_ = step, .reason_ = error.what()};
    }
}

auto notAnObject(const char *step) -> Failure
{
    return Failure {.step_ = step, .reason_ = "the body is not a JSON object"};
}

// Returns whether the caller requested that its final message, a text from the assistant, be continued.
auto continuesFinalMessage(const Json &body) -> bool
{
    const auto &last = member(body, "messages").back();
    return member(body, "continue_final_message") == true && member(last, "role") == "assistant"
        && member(last, "content").is_string();
}

} // namespace

auto parseChatRequest(std::string_view body) -> Result<ChatRequest>
{
    if (body.size() > maximumBodyBytes) {
        return validationFailure(fmt::format("the body is longer than {} bytes", maximumBodyBytes));
    }
    const auto parsed = parseObject(body);
    if (!parsed) {
        return validationFailure(
            fmt::format("the body is not a JSON object nested at most {} deep", maximumNestingDepth));
    }
    const auto &messages = member(*parsed, "messages");
    for (const auto &failure : {checkModel(member(*parsed, "model")), checkMessages(messages), checkOptions(*parsed)}) {
        if (failure) {
            return *failure;
        }
    }
    return ChatRequest {.model_ = stringOrEmpty(member(*parsed, "model")),
        .stream_ = member(*parsed, "stream") == true,
        .maximumOutputTokens_ = outputTokenLimit(*parsed),
        .prefixHash_ = prefixHash(messages),
        .lastUserMessage_ = lastUserMessage(messages)};
}

auto withResumedOutput(std::string_view body, std::string_view deliveredText, std::uint32_t deliveredTokens)
    -> Result<std::string>
{
    constexpr auto step = "resume";
    if (deliveredText.empty()) {
        return std::string(body);
    }
    auto parsed = parseObject(body);
    if (!parsed) {
        return notAnObject(step);
    }
    if (!member(*parsed, "messages").is_array() || member(*parsed, "messages").empty()) {
        return Failure {.step_ = step, .reason_ = "the body has no messages"};
    }
    auto &messages = (*parsed)["messages"];
    if (continuesFinalMessage(*parsed)) {
        auto &content = messages.back()["content"];
        content = stringOrEmpty(content) + std::string(deliveredText);
    } else {
        messages.push_back({{"role", "assistant"}, {"content", deliveredText}});
    }
    for (const auto *name : {"max_tokens", "max_completion_tokens"}) {
        if (member(*parsed, name).is_number_unsigned()) {
            const auto tokenLimit = (*parsed)[name].get<std::uint64_t>();
            (*parsed)[name] = tokenLimit > deliveredTokens ? tokenLimit - deliveredTokens : 1;
        }
    }
    (*parsed)["continue_final_message"] = true;
    (*parsed)["add_generation_prompt"] = false;
    return serialise(*parsed, step);
}

auto withPriority(std::string_view body, Tier tier) -> Result<std::string>
{
    constexpr auto step = "priority";
    auto parsed = parseObject(body);
    if (!parsed) {
        return notAnObject(step);
    }
    (*parsed)["priority"] = tier;
    return serialise(*parsed, step);
}

auto withStreaming(std::string_view body) -> Result<std::string>
{
    constexpr auto step = "stream";
    auto parsed = parseObject(body);
    if (!parsed) {
        return notAnObject(step);
    }
    (*parsed)["stream"] = true;
    auto &options = (*parsed)["stream_options"];
    if (!options.is_object()) {
        options = Json::object();
    }
    options["include_usage"] = true;
    return serialise(*parsed, step);
}

} // namespace jasminewood::engine
