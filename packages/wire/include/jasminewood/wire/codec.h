#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"
#include "jasminewood/wire/messages.h"

// The msgpack encoding of messages; docs/wire-format.md describes it.
//
//     const auto bytes = wire::encode(wire::Drain {});
//     const auto message = wire::decode(bytes);
//     if (!message) {
//         log(message.failure());
//     }
//
// All functions are pure and may be called from any thread.

namespace jasminewood::wire
{

// Longest encoded message, in bytes.
constexpr std::size_t maximumMessageBytes = 8U << 20U;
// Longest body, output or document (such as a manifest), in bytes.
constexpr std::size_t maximumBodyBytes = 4U << 20U;
// Longest name, identifier or content type, in bytes.
constexpr std::size_t maximumNameBytes = 256;
// Largest number of entries in a map or a list.
constexpr std::size_t maximumEntries = 16384;
// Longest duration. The bound keeps the sum of a duration and a point in time within its range.
constexpr auto maximumDuration = std::chrono::hours(24);

// Returns a failure with step "encode" if the message exceeds a limit of the format, else nullopt. decode() rejects
// messages that exceed a limit.
auto validate(const Message &message) -> Status;

// Returns the encoded message. Precondition: validate() returns nullopt; otherwise the peer rejects the message.
auto encode(const Message &message) -> std::string;

// Returns the message, or a Failure with step "decode" for anything but one complete message of this version. Memory
// use is bounded by the number of bytes present, not by length fields in them.
auto decode(std::string_view bytes) -> Result<Message>;

} // namespace jasminewood::wire
