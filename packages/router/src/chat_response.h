#pragma once

#include <string>

#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/http/server.h"
#include "jasminewood/router/request_execution.h"

// Responses of chat completions calls.

namespace jasminewood::router::internal
{

// Responses with this or a higher status are errors of the engine and not model output.
constexpr int firstErrorStatus = 400;

// Returns the response of a non-streaming call.
auto chatResponse(const std::string &requestId, const std::string &model, const std::string &text,
    const ResponseCompleted &completed) -> http::BufferedResponse;

// Encodes the server-sent events of one streaming response. Not thread-safe.
class ChatEventStream
{
public:
    ChatEventStream(const std::string &requestId, const std::string &model);

    // Returns the server-sent events for the next event of the response. ResponseFailed yields "event: error" without
    // [DONE], so that a caller cannot mistake it for the end of a complete response.
    auto nextEvents(const ResponseEvent &event) -> std::string;

    // Returns whether the last event ended the response.
    auto ended() const -> bool;

private:
    auto textEvent(const std::string &text) -> std::string;
    auto errorEvent(const Failure &failure) const -> std::string;

    const std::string requestId_;
    const engine::CompletionMetadata completionMetadata_;
    // First bytes of a UTF-8 character whose remaining bytes have not arrived.
    std::string incompleteCharacter_;
    bool firstChunkSent_ = false;
    bool ended_ = false;
};

} // namespace jasminewood::router::internal
