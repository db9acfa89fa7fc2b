#pragma once

#include <optional>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/wire/messages.h"

// Splits a byte stream into messages, each preceded by its length.

namespace jasminewood::link::internal
{

constexpr std::size_t lengthPrefixBytes = 4;

// Returns the big-endian length that precedes a message of the given size.
auto lengthPrefix(std::size_t size) -> std::string;

// Collects bytes as they arrive and returns complete messages.
class MessageBuffer
{
public:
    auto append(std::string_view bytes) -> void;

    // Removes and returns the first message, or returns nullopt if it is not complete. Fails with step "decode";
    // nothing after the failure can be decoded.
    auto takeMessage() -> Result<std::optional<wire::Message>>;

private:
    // Releases the memory of messages that have been returned.
    auto discardConsumed() -> void;

    std::string bytes_;
    std::size_t consumedBytes_ = 0;
};

} // namespace jasminewood::link::internal
