#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "jasminewood/http/server.h"
#include "response_grammar.h"

// Reads the heads of one response line by line: those of interim responses, the final one and the trailer.

namespace jasminewood::http::internal
{

// Not thread-safe.
class ResponseHeadReader
{
public:
    // Reads the next line, with its terminator (CRLF or LF). An error is final: no further line may be read.
    auto read(std::string_view line) -> std::optional<GrammarError>;

    // Returns whether the final head has been read to its end.
    auto isComplete() const -> bool;

    // Returns the status of the head that was begun last; 0 if there is none yet.
    auto status() const -> int;

    // Returns the fields of the head that was begun last, without those of the trailer.
    auto fields() const -> const std::vector<HeaderField> &;

    // Returns whether the body, if the request's method allows one, ends with the connection. Valid once the final head
    // is complete.
    auto bodyEndsWithConnection() const -> bool;

private:
    enum class Position : std::uint8_t
    {
        StatusLine,
        Fields,
        // Behind the final head.
        Trailer,
    };

    auto readStatusLine(std::string_view line) -> std::optional<GrammarError>;
    auto readFieldLine(std::string_view line) -> std::optional<GrammarError>;
    auto endHead() -> std::optional<GrammarError>;

    Position position_ = Position::StatusLine;
    // Of the head that was begun last.
    std::optional<StatusLine> statusLine_;
    std::vector<HeaderField> fields_;
};

} // namespace jasminewood::http::internal
