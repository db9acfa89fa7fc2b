#pragma once

#include <string>

#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/http/server.h"
#include "jasminewood/router/request_execution.h"

// Answers of chat completions calls.

namespace jasminewood::router::internal
{

// Statuses from here on are the engine's own errors and no output of a model.
constexpr int firstErrorStatus = 400;

// Returns the whole answer of a call that is not streamed.
auto chatResponse(const std::string &requestId, const std::string &model, const std::string &text,
    const ResponseCompleted &completed) -> http::BufferedResponse;

// The server-sent events of one streamed answer. Used by one task.
class ChatStream
{
public:
    ChatStream(const std::string &requestId, const std::string &model);

    // Returns the events for the next step. Broken yields "event: error" and no [DONE], so that a caller cannot take it
    // for the end of a whole answer.
    auto events(const ResponseEvent &step) -> std::string;

    // Whether the last step was the end.
    auto ended() const -> bool;

private:
    auto textEvent(const std::string &text) -> std::string;
    auto errorEvent(const Failure &failure) const -> std::string;

    const std::string requestId_;
    const engine::CompletionMetadata head_;
    // The beginning of a character whose rest has not arrived.
    std::string pending_;
    bool opened_ = false;
    bool ended_ = false;
};

} // namespace jasminewood::router::internal
