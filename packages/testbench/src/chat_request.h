#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/http/server.h"

// The part of a chat completion request that the fake engine understands.

namespace jasminewood::testbench::internal
{

struct ChatRequest
{
    const std::string requestId_;
    const std::string model_;
    // All messages in one text, which the prefix cache sees.
    const std::string prompt_;
    const std::string lastUserMessage_;
    const std::int64_t priority_ = 0;
    const bool stream_ = false;
    const bool includeUsage_ = false;
    // The tokens to produce, as indexes into the whole answer.
    const std::size_t firstToken_ = 0;
    const std::size_t endToken_ = 0;
    // The start of the first token that the text to continue already holds.
    const std::string partialToken_;

    auto operator<=>(const ChatRequest &) const = default;
};

// Fails with step "parse" if the body is not a chat completion request.
auto parseChatRequest(const http::Request &request) -> Result<ChatRequest>;

} // namespace jasminewood::testbench::internal
