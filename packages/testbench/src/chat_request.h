#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/http/server.h"

// The fields of a chat completion request that the fake engine uses.

namespace jasminewood::testbench::internal
{

struct ChatRequest
{
    const std::string requestId_;
    const std::string model_;
    // All messages joined into one text, the input of the prefix cache.
    const std::string prompt_;
    const std::string lastUserMessage_;
    const std::int64_t priority_ = 0;
    const bool stream_ = false;
    const bool includeUsage_ = false;
    // The tokens to generate, from firstToken_ up to but excluding endToken_, as indexes into the complete response.
    const std::size_t firstToken_ = 0;
    const std::size_t endToken_ = 0;
    // The beginning of the first token, if the text to continue ends within that token.
    const std::string partialToken_;

    auto operator<=>(const ChatRequest &) const = default;
};

// Fails with step "parse" if the body is not a chat completion request.
auto parseChatRequest(const http::Request &request) -> Result<ChatRequest>;

} // namespace jasminewood::testbench::internal
