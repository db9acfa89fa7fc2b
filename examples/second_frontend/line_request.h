#pragma once

#include <compare>
#include <string>
#include <variant>

// The lines that the program reads:
//
//     chat ACCOUNT CLASS MODEL PROMPT     queues a chat
//     book ACCOUNT KEY TEXT               makes a booking that runs at most once for each key
//     run                                 lets the upstreams work until their queues are empty

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

// A line of no known form.
struct UnknownLine
{
    const std::string expected_;

    auto operator<=>(const UnknownLine &) const = default;
};

using LineRequest = std::variant<ChatLine, BookingLine, RunLine, UnknownLine>;

auto parseLine(const std::string &line) -> LineRequest;

} // namespace jasminewood::second_frontend
