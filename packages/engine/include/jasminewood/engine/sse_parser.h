#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/result.h"

// Incremental reader of server-sent events (WHATWG HTML, section "Server-sent events").
//
//     auto reader = engine::SseReader();
//     for (const auto &data : reader.feed(bytes)) { ... }

namespace jasminewood::engine
{

// Longest line and longest payload of one event, in bytes.
constexpr std::size_t maximumEventBytes = 1U << 20U;

// Reads one stream. The events do not depend on how the bytes are split over calls. Not thread-safe.
class SseParser
{
public:
    // Takes the next bytes and returns the data payloads of the events that they complete. Events without data,
    // comments and all other fields are passed over. After a fault nothing more is returned.
    auto feed(std::string_view bytes) -> std::vector<std::string>;

    // The failure with step "read" if a line or a payload was too long, else nothing.
    auto failure() const -> const Status &;

private:
    // Ends the current line; returns whether it was the empty line that completes an event with data.
    auto endLine() -> bool;

    auto takeField() -> void;

    // Records the fault if the line or the payload has grown beyond the limit.
    auto checkLimit(std::size_t bytes) -> void;

    std::string line_;
    std::string data_;
    bool hasData_ = false;
    bool firstLine_ = true;
    bool afterCarriageReturn_ = false;
    Status fault_;
};

} // namespace jasminewood::engine
