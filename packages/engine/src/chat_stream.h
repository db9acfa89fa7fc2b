#pragma once

#include "jasminewood/engine/chat_call.h"
#include "jasminewood/engine/sse_parser.h"

namespace jasminewood::engine::internal
{

// What has been read of one answer.
class ChatStream
{
public:
    explicit ChatStream(const TextCallback &onText);

    auto takeHeaders(int status, const std::string &contentType) -> void;

    // Takes the next bytes of the body; returns false to cancel the call.
    auto takeData(std::string_view data) -> bool;

    // The failure that made takeData() return false, if it was not the callback's wish.
    auto fault() const -> const Status &;

    // The outcome at the end of the body; fails if the stream is not complete.
    auto outcome() const -> Result<ChatOutcome>;

private:
    auto takeEvent(const std::string &data) -> bool;

    auto takeChunk(const ChatChunk &chunk) -> bool;

    const TextCallback &onText_;
    SseParser reader_;
    int status_ = 0;
    std::string contentType_;
    std::string refusal_;
    std::string finishReason_;
    std::optional<TokenUsage> usage_;
    std::uint32_t textChunks_ = 0;
    bool done_ = false;
    Status fault_;
};

} // namespace jasminewood::engine::internal
