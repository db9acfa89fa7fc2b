#pragma once

#include <string>

#include "jasminewood/engine/chat_chunk.h"
#include "jasminewood/http/server.h"
#include "jasminewood/router/request_run.h"

// Answers of chat completions calls.

namespace jasminewood::router::internal
{

// Statuses from here on are the engine's own errors and no output of a model.
constexpr int firstErrorStatus = 400;

// Returns the whole answer of a call that is not streamed.
auto chatResponse(const std::string &requestId, const std::string &model, const std::string &text,
    const Completed &completed) -> http::WholeResponse;

// The server-sent events of one streamed answer. Used by one task.
class ChatEventStream
{
public:
    ChatEventStream(const std::string &requestId, const std::string &model);

    // Returns the events for the next step. Broken yields "event: error" and no [DONE], so that a caller cannot take it
    // for the end of a whole answer.
    auto nextEvents(const RunStep &step) -> std::string;

    // Whether the last step was the end.
    auto ended() const -> bool;

private:
    auto textEvent(const std::string &text) -> std::string;
    auto errorEvent(const Failure &failure) const -> std::string;

    const std::string requestId_;
    const engine::AnswerHead answerHead_;
    // The beginning of a character whose rest has not arrived.
    std::string incompleteCharacter_;
    bool firstChunkSent_ = false;
    bool ended_ = false;
};

} // namespace jasminewood::router::internal
