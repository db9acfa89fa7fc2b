#include "line_request.h"

#include <sstream>

namespace jasminewood::second_frontend
{

namespace
{

// Returns the rest of the line without leading whitespace.
auto restOfLine(std::istringstream &words) -> std::string
{
    auto text = std::string();
    std::getline(words >> std::ws, text);
    return text;
}

auto parseChatLine(std::istringstream &words) -> LineRequest
{
    auto account = std::string();
    auto requestClass = std::string();
    auto model = std::string();
    words >> account >> requestClass >> model;
    const auto prompt = restOfLine(words);
    if (prompt.empty()) {
        return MalformedLine {.expected_ = "chat ACCOUNT CLASS MODEL PROMPT"};
    }
    return ChatLine {.account_ = account, .requestClass_ = requestClass, .model_ = model, .prompt_ = prompt};
}

auto parseBookingLine(std::istringstream &words) -> LineRequest
{
    auto account = std::string();
    auto key = std::string();
    words >> account >> key;
    const auto text = restOfLine(words);
    if (text.empty()) {
        return MalformedLine {.expected_ = "book ACCOUNT KEY TEXT"};
    }
    return BookingLine {.account_ = account, .key_ = key, .text_ = text};
}

} // namespace

auto parseLine(const std::string &line) -> LineRequest
{
    auto words = std::istringstream(line);
    auto verb = std::string();
    words >> verb;
    if (verb == "chat") {
        return parseChatLine(words);
    }
    if (verb == "book") {
        return parseBookingLine(words);
    }
    if (verb == "run" && restOfLine(words).empty()) {
        return RunLine {};
    }
    return MalformedLine {.expected_ = "chat, book or run"};
}

} // namespace jasminewood::second_frontend
