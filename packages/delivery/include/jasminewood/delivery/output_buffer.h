#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"
#include "jasminewood/delivery/digest.h"

// An agent's copy of the output of one attempt, so that a router can attach again from any offset.
//
//     auto buffer = delivery::OutputBuffer();
//     if (const auto failure = buffer.append(data)) { ... }
//     send(Frame{.offset_ = offset, .data_ = std::string(buffer.from(offset))});

namespace jasminewood::delivery
{

// Largest output of an attempt; the same as the largest message, so that any output fits into one stored answer.
constexpr std::size_t maximumOutputBytes = std::size_t(8) * 1024 * 1024;

// The end of an output as announced to the router.
struct OutputTrailer
{
    const std::uint64_t length_ = 0;
    // XXH3-64 over all bytes.
    const std::uint64_t digest_ = 0;

    auto operator<=>(const OutputTrailer &) const = default;
};

// Keeps the whole output of one attempt. Not thread-safe.
class OutputBuffer
{
public:
    explicit OutputBuffer(std::size_t limit = maximumOutputBytes);

    // Adds output at the end. Fails with step "buffer output" and run state Ran if the limit would be exceeded; the
    // buffer is then unchanged.
    auto append(std::string_view data) -> Status;

    // Returns the output from the offset on; empty if the offset is at or beyond the end. Valid until the next
    // append().
    auto outputFrom(std::uint64_t offset) const -> std::string_view;

    auto length() const -> std::uint64_t;

    // Returns the length and digest of the output so far.
    auto trailer() const -> OutputTrailer;

private:
    std::size_t limit_;
    std::string bytes_;
    OutputDigest digest_;
};

} // namespace jasminewood::delivery
