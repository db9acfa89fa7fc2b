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
// Longest body, output or document, in bytes.
constexpr std::size_t maximumBodyBytes = 4U << 20U;
// Longest name, identity or content type, in bytes.
constexpr std::size_t maximumNameBytes = 256;
// Most entries of a map or a list.
constexpr std::size_t maximumEntries = 16384;
// Longest time span. The bound keeps sums of a span and a point in time within their range.
constexpr auto maximumDuration = std::chrono::hours(24);

// Returns why the message breaks a limit of the format, with step "encode", or nothing. decode() refuses such a
// message.
auto validate(const Message &message) -> Status;

// Returns the encoded message. Precondition: validate() finds nothing, otherwise the peer refuses the message.
auto encode(const Message &message) -> std::string;

// Returns the message, or a Failure with step "decode" for anything but one whole message of this version. The memory
// used is bounded by the bytes present, never by a length that they state.
auto decode(std::string_view bytes) -> Result<Message>;

} // namespace jasminewood::wire
