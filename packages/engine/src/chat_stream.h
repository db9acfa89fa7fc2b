#pragma once

#include "jasminewood/engine/chat_call.h"
#include "jasminewood/engine/sse_parser.h"

namespace jasminewood::engine::internal
{

// Accumulates one response of an engine: the parsed stream, or the body of an error response.
class ChatStream
{
public:
    explicit ChatStream(const TextCallback &onText);

    auto handleHeaders(int status, const std::string &contentType) -> void;

    // Processes the next bytes of the body. Returns false if the call must be cancelled.
    auto handleData(std::string_view data) -> bool;

    // Returns the failure for which handleData() returned false; empty if the callback cancelled the call.
    auto failure() const -> const Status &;

    // Returns the outcome at the end of the body. Fails if the stream is not complete.
    auto outcome() const -> Result<ChatOutcome>;

private:
    auto handleEvent(const std::string &data) -> bool;

    auto handleChunk(const ChatChunk &chunk) -> bool;

    const TextCallback &onText_;
    SseParser sseParser_;
    int status_ = 0;
    std::string contentType_;
    std::string errorBody_;
    std::string finishReason_;
    std::optional<TokenUsage> usage_;
    std::uint32_t textChunkCount_ = 0;
    bool doneMarkerReceived_ = false;
    Status failure_;
};

} // namespace jasminewood::engine::internal
