#include "chat_answer.h"

#include <chrono>
#include <utility>

#include "api_error.h"
#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_chunk.h"

namespace jasminewood::router::internal
{

namespace
{

auto headOf(const std::string &requestId, const std::string &model) -> engine::CompletionMetadata
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return engine::CompletionMetadata {.id_ = "chatcmpl-" + requestId,
        .model_ = model,
        .created_ = std::chrono::duration_cast<std::chrono::seconds>(now).count()};
}

// The engine's own answer to a body that it does not accept.
auto engineRefusal(const ResponseCompleted &completed) -> Failure
{
    return Failure {.step_ = "engine",
        .reason_ = "the engine answered with status " + std::to_string(completed.status_),
        .runState_ = RunState::Ran};
}

auto dataEvent(const std::string &data) -> std::string
{
    return "data: " + data + "\n\n";
}

} // namespace

auto chatResponse(const std::string &requestId, const std::string &model, const std::string &text,
    const ResponseCompleted &completed) -> http::BufferedResponse
{
    return http::BufferedResponse {.headers_
        = {{.name_ = "Content-Type", .value_ = "application/json"}, {.name_ = "X-Request-Id", .value_ = requestId}},
        .body_ = engine::buildCompletion(headOf(requestId, model), text, completed.finishReason_,
            engine::TokenUsage {
                .promptTokens_ = completed.promptTokens_, .completionTokens_ = completed.outputTokens_})};
}

ChatStream::ChatStream(const std::string &requestId, const std::string &model)
    : requestId_(requestId)
    , head_(headOf(requestId, model))
{
}

auto ChatStream::events(const ResponseEvent &step) -> std::string
{
    const auto opening = opened_ ? std::string() : dataEvent(engine::buildRoleChunk(head_));
    opened_ = true;
    return opening
        + std::visit(
            Overloaded {[this](const ResponseChunk &output) -> std::string {
                            return textEvent(output.text_);
                        },
                [this](const ResponseCompleted &completed) -> std::string {
                    ended_ = true;
                    if (completed.status_ >= firstErrorStatus) {
                        return errorEvent(engineRefusal(completed));
                    }
                    return dataEvent(engine::buildChunk(
                               head_, engine::ChatChunk {.text_ = pending_, .finishReason_ = completed.finishReason_}))
                        + dataEvent(std::string(engine::doneMarker));
                },
                [this](const ResponseFailed &broken) -> std::string {
                    ended_ = true;
                    return errorEvent(broken.failure_);
                }},
            step);
}

auto ChatStream::errorEvent(const Failure &failure) const -> std::string
{
    return "event: error\n" + dataEvent(errorJson(requestId_, failure));
}

auto ChatStream::textEvent(const std::string &text) -> std::string
{
    pending_ += text;
    const auto whole = engine::completeUtf8Length(pending_);
    if (whole == 0) {
        return {};
    }
    auto event = dataEvent(engine::buildChunk(head_, engine::ChatChunk {.text_ = pending_.substr(0, whole)}));
    pending_.erase(0, whole);
    return event;
}

auto ChatStream::ended() const -> bool
{
    return ended_;
}

} // namespace jasminewood::router::internal
