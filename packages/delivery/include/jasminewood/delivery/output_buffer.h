#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminewood/core/result.h"
#include "jasminewood/delivery/digest.h"

// Buffers the output of one attempt at its agent, so that a router can attach again at any offset.
//
//     auto buffer = delivery::OutputBuffer();
//     if (const auto failure = buffer.append(data)) { ... }
//     send(Frame{.offset_ = offset, .data_ = std::string(buffer.outputFrom(offset))});

namespace jasminewood::delivery
{

// Maximum output of an attempt. Equals the maximum message size, so that any output fits into one message, for example
// as the response in Voided.
constexpr std::size_t maximumOutputBytes = std::size_t(8) * 1024 * 1024;

// Length and digest of a complete output, as sent to the router.
struct OutputTrailer
{
    const std::uint64_t length_ = 0;
    // XXH3-64 over all bytes.
    const std::uint64_t digest_ = 0;

    auto operator<=>(const OutputTrailer &) const = default;
};

// Holds the whole output of one attempt. Not thread-safe.
class OutputBuffer
{
public:
    explicit OutputBuffer(std::size_t limit = maximumOutputBytes);

    // Appends output. Fails with step "buffer output" and run state Ran if the limit would be exceeded; the buffer is
    // then unchanged.
    auto append(std::string_view data) -> Status;

    // Returns the output starting at the offset; empty if the offset is at or beyond the end. The view is valid until
    // the next append().
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
