#include "chat_response.h"

#include <chrono>
#include <utility>

#include "api_error.h"
#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_chunk.h"

namespace jasminewood::router::internal
{

namespace
{

auto makeCompletionMetadata(const std::string &requestId, const std::string &model) -> engine::CompletionMetadata
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return engine::CompletionMetadata {.id_ = "chatcmpl-" + requestId,
        .model_ = model,
        .created_ = std::chrono::duration_cast<std::chrono::seconds>(now).count()};
}

// The failure for a response in which the engine rejected the request body.
auto engineFailure(const ResponseCompleted &completed) -> Failure
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
        .body_ = engine::buildCompletion(makeCompletionMetadata(requestId, model), text, completed.finishReason_,
            engine::TokenUsage {
                .promptTokens_ = completed.promptTokens_, .completionTokens_ = completed.outputTokens_})};
}

ChatEventStream::ChatEventStream(const std::string &requestId, const std::string &model)
    : requestId_(requestId)
    , completionMetadata_(makeCompletionMetadata(requestId, model))
{
}

auto ChatEventStream::nextEvents(const ResponseEvent &event) -> std::string
{
    const auto firstChunk = firstChunkSent_ ? std::string() : dataEvent(engine::buildRoleChunk(completionMetadata_));
    firstChunkSent_ = true;
    return firstChunk
        + std::visit(Overloaded {[this](const ResponseChunk &output) -> std::string {
                                     return textEvent(output.text_);
                                 },
                         [this](const ResponseCompleted &completed) -> std::string {
                             ended_ = true;
                             if (completed.status_ >= firstErrorStatus) {
                                 return errorEvent(engineFailure(completed));
                             }
                             return dataEvent(engine::buildChunk(completionMetadata_,
                                        engine::ChatChunk {
                                            .text_ = incompleteCharacter_, .finishReason_ = completed.finishReason_}))
                                 + dataEvent(std::string(engine::doneMarker));
                         },
                         [this](const ResponseFailed &broken) -> std::string {
                             ended_ = true;
                             return errorEvent(broken.failure_);
                         }},
            event);
}

auto ChatEventStream::errorEvent(const Failure &failure) const -> std::string
{
    return "event: error\n" + dataEvent(errorJson(requestId_, failure));
}

auto ChatEventStream::textEvent(const std::string &text) -> std::string
{
    incompleteCharacter_ += text;
    const auto completeLength = engine::completeUtf8Length(incompleteCharacter_);
    if (completeLength == 0) {
        return {};
    }
    auto event = dataEvent(engine::buildChunk(
        completionMetadata_, engine::ChatChunk {.text_ = incompleteCharacter_.substr(0, completeLength)}));
    incompleteCharacter_.erase(0, completeLength);
    return event;
}

auto ChatEventStream::ended() const -> bool
{
    return ended_;
}

} // namespace jasminewood::router::internal
