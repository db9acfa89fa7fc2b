#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/result.h"

// Incremental parser of server-sent events (WHATWG HTML, section "Server-sent events").
//
//     auto parser = engine::SseParser();
//     for (const auto &data : parser.feed(bytes)) { ... }

namespace jasminewood::engine
{

// Longest line and longest data of one event, in bytes.
constexpr std::size_t maximumEventBytes = 1U << 20U;

// Parses one stream. The events do not depend on how the bytes are split across calls. Not thread-safe.
class SseParser
{
public:
    // Parses the next bytes and returns the data of the events that they complete. Events without data, comments and
    // all other fields are ignored. Returns no further events after a failure.
    auto feed(std::string_view bytes) -> std::vector<std::string>;

    // Returns a failure with step "read" if a line or an event's data exceeded maximumEventBytes.
    auto failure() const -> const Status &;

private:
    // Processes the current line. Returns true if it is the empty line that completes an event with data.
    auto completeLine() -> bool;

    auto parseField() -> void;

    // Records a failure if a line or data of this size exceeds maximumEventBytes.
    auto checkLimit(std::size_t bytes) -> void;

    std::string line_;
    std::string data_;
    bool hasData_ = false;
    bool atFirstLine_ = true;
    bool afterCarriageReturn_ = false;
    Status failure_;
};

} // namespace jasminewood::engine
