#include "chat_stream.h"

#include <algorithm>

namespace jasminewood::engine::internal
{

namespace
{

constexpr int statusOk = 200;

} // namespace

ChatStream::ChatStream(const TextCallback &onText)
    : onText_(onText)
{
}

auto ChatStream::handleHeaders(int status, const std::string &contentType) -> void
{
    status_ = status;
    contentType_ = contentType;
}

auto ChatStream::handleData(std::string_view data) -> bool
{
    if (status_ != statusOk) {
        errorBody_.append(data.substr(0, maximumErrorBodyBytes - errorBody_.size()));
        return true;
    }
    const auto events = sseParser_.feed(data);
    const auto handled = std::all_of(events.begin(), events.end(), [this](const std::string &event) {
        return handleEvent(event);
    });
    if (handled && sseParser_.failure()) {
        failure_.emplace(*sseParser_.failure());
    }
    return handled && !failure_;
}

auto ChatStream::failure() const -> const Status &
{
    return failure_;
}

auto ChatStream::outcome() const -> Result<ChatOutcome>
{
    if (status_ != statusOk) {
        return ChatOutcome(ChatErrorResponse {.status_ = status_, .contentType_ = contentType_, .body_ = errorBody_});
    }
    if (!doneMarkerReceived_ || finishReason_.empty()) {
        return Failure {.step_ = "read", .reason_ = "the stream ended before the answer was complete"};
    }
    const auto countedUsage = TokenUsage {.promptTokens_ = 0, .completionTokens_ = textChunkCount_};
    return ChatOutcome(ChatCompleted {.finishReason_ = finishReason_, .usage_ = usage_ ? *usage_ : countedUsage});
}

auto ChatStream::handleEvent(const std::string &data) -> bool
{
    if (doneMarkerReceived_) {
        return true;
    }
    if (data == doneMarker) {
        doneMarkerReceived_ = true;
        return true;
    }
    const auto chunk = parseChunk(data);
    if (!chunk) {
        failure_.emplace(chunk.failure());
        return false;
    }
    return handleChunk(*chunk);
}

auto ChatStream::handleChunk(const ChatChunk &chunk) -> bool
{
    if (chunk.usage_) {
        usage_.emplace(*chunk.usage_);
    }
    if (chunk.finishReason_) {
        finishReason_ = *chunk.finishReason_;
    }
    if (chunk.text_.empty()) {
        return true;
    }
    ++textChunkCount_;
    return onText_(chunk.text_);
}

} // namespace jasminewood::engine::internal
