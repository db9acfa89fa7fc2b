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

auto ChatStream::takeHeaders(int status, const std::string &contentType) -> void
{
    status_ = status;
    contentType_ = contentType;
}

auto ChatStream::takeData(std::string_view data) -> bool
{
    if (status_ != statusOk) {
        refusal_.append(data.substr(0, maximumErrorBodyBytes - refusal_.size()));
        return true;
    }
    const auto events = reader_.feed(data);
    const auto taken = std::all_of(events.begin(), events.end(), [this](const std::string &event) {
        return takeEvent(event);
    });
    if (taken && reader_.failure()) {
        fault_.emplace(*reader_.failure());
    }
    return taken && !fault_;
}

auto ChatStream::fault() const -> const Status &
{
    return fault_;
}

auto ChatStream::outcome() const -> Result<ChatOutcome>
{
    if (status_ != statusOk) {
        return ChatOutcome(ChatErrorResponse {.status_ = status_, .contentType_ = contentType_, .body_ = refusal_});
    }
    if (!done_ || finishReason_.empty()) {
        return Failure {.step_ = "read", .reason_ = "the stream ended before the answer was complete"};
    }
    const auto counted = TokenUsage {.promptTokens_ = 0, .completionTokens_ = textChunks_};
    return ChatOutcome(ChatCompleted {.finishReason_ = finishReason_, .usage_ = usage_ ? *usage_ : counted});
}

auto ChatStream::takeEvent(const std::string &data) -> bool
{
    if (done_) {
        return true;
    }
    if (data == doneMarker) {
        done_ = true;
        return true;
    }
    const auto chunk = parseChunk(data);
    if (!chunk) {
        fault_.emplace(chunk.failure());
        return false;
    }
    return takeChunk(*chunk);
}

auto ChatStream::takeChunk(const ChatChunk &chunk) -> bool
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
    ++textChunks_;
    return onText_(chunk.text_);
}

} // namespace jasminewood::engine::internal
