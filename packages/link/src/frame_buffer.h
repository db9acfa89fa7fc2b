#pragma once

#include <optional>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/wire/messages.h"

// Length prefixes of messages.

namespace jasminewood::link::internal
{

constexpr std::size_t prefixBytes = 4;

// The big-endian length that stands before a message.
auto lengthPrefix(std::size_t size) -> std::string;

// Collects bytes as they arrive and yields whole messages.
class FrameBuffer
{
public:
    auto append(std::string_view bytes) -> void;

    // Takes the first message if it is complete. Fails with step "decode"; the stream cannot be read on then.
    auto take() -> Result<std::optional<wire::Message>>;

private:
    auto dropTaken() -> void;

    std::string bytes_;
    std::size_t taken_ = 0;
};

} // namespace jasminewood::link::internal
