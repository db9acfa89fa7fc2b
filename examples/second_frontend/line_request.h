#pragma once

#include <compare>
#include <string>
#include <variant>

// The input lines of the program:
//
//     chat ACCOUNT CLASS MODEL PROMPT     queues a chat request
//     book ACCOUNT KEY TEXT               makes a booking that runs at most once for each key
//     run                                 runs all queued attempts

namespace jasminewood::second_frontend
{

struct ChatLine
{
    const std::string account_;
    const std::string requestClass_;
    const std::string model_;
    const std::string prompt_;

    auto operator<=>(const ChatLine &) const = default;
};

struct BookingLine
{
    const std::string account_;
    const std::string key_;
    const std::string text_;

    auto operator<=>(const BookingLine &) const = default;
};

struct RunLine
{
    auto operator<=>(const RunLine &) const = default;
};

// A malformed line.
struct MalformedLine
{
    // The expected form, for the error text.
    const std::string expected_;

    auto operator<=>(const MalformedLine &) const = default;
};

using LineRequest = std::variant<ChatLine, BookingLine, RunLine, MalformedLine>;

auto parseLine(const std::string &line) -> LineRequest;

} // namespace jasminewood::second_frontend
