#include "line_request.h"

#include <sstream>

namespace jasminewood::second_frontend
{

namespace
{

// The rest of the line without the blanks before it.
auto rest(std::istringstream &words) -> std::string
{
    auto text = std::string();
    std::getline(words >> std::ws, text);
    return text;
}

auto chatLine(std::istringstream &words) -> LineRequest
{
    auto account = std::string();
    auto requestClass = std::string();
    auto model = std::string();
    words >> account >> requestClass >> model;
    const auto prompt = rest(words);
    if (prompt.empty()) {
        return UnknownLine {.expected_ = "chat ACCOUNT CLASS MODEL PROMPT"};
    }
    return ChatLine {.account_ = account, .requestClass_ = requestClass, .model_ = model, .prompt_ = prompt};
}

auto bookingLine(std::istringstream &words) -> LineRequest
{
    auto account = std::string();
    auto key = std::string();
    words >> account >> key;
    const auto text = rest(words);
    if (text.empty()) {
        return UnknownLine {.expected_ = "book ACCOUNT KEY TEXT"};
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
        return chatLine(words);
    }
    if (verb == "book") {
        return bookingLine(words);
    }
    if (verb == "run" && rest(words).empty()) {
        return RunLine {};
    }
    return UnknownLine {.expected_ = "chat, book or run"};
}

} // namespace jasminewood::second_frontend
