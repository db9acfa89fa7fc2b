#include "response_grammar.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace jasminewood::http::internal
{

namespace
{

constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::size_t versionBytes = versionPrefix.size() + 1;
constexpr std::size_t statusCodeStart = versionBytes + 1;
constexpr std::size_t statusCodeEnd = statusCodeStart + 3;
// Longer subjects are cut in messages, in bytes.
constexpr std::size_t maximumSubjectBytes = 64;

auto isDigit(char letter) -> bool
{
    return letter >= '0' && letter <= '9';
}

auto isBlank(char letter) -> bool
{
    return letter == ' ' || letter == '\t';
}

auto isTokenCharacter(char letter) -> bool
{
    constexpr auto symbols = std::string_view("!#$%&'*+-.^_`|~");
    return isDigit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
        || symbols.find(letter) != std::string_view::npos;
}

// Returns whether the byte may stand in a reason phrase or in the value of a field.
auto isTextCharacter(char letter) -> bool
{
    const auto byte = static_cast<unsigned char>(letter);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

auto trimBlanks(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

// Returns the error for the byte of the text at the offset, or for its missing if the text ends there.
auto errorAt(GrammarRule rule, std::string_view subject, std::string_view text, std::size_t offset) -> GrammarError
{
    if (offset >= text.size()) {
        return GrammarError {.rule_ = rule, .subject_ = std::string(subject)};
    }
    return GrammarError {.rule_ = rule,
        .subject_ = std::string(subject),
        .invalidByte_ = InvalidByte {.byte_ = static_cast<unsigned char>(text[offset]), .offset_ = offset}};
}

// Returns the offset of the first byte that breaks the version, which a space must follow; versionBytes + 1 if none
// does.
auto versionMismatch(std::string_view line) -> std::size_t
{
    const auto prefix = line.substr(0, versionPrefix.size());
    const auto [inLine, inPrefix] = std::mismatch(prefix.begin(), prefix.end(), versionPrefix.begin());
    auto offset = std::size_t(inLine - prefix.begin());
    if (offset == versionPrefix.size() && line.size() > offset && isDigit(line[offset])) {
        ++offset;
    }
    if (offset == versionBytes && line.size() > offset && line[offset] == ' ') {
        ++offset;
    }
    return offset;
}

// Returns the offset of the first byte that breaks the status code; statusCodeEnd if none does.
auto statusCodeMismatch(std::string_view line) -> std::size_t
{
    auto offset = statusCodeStart;
    // The first digit is the class of the response, from 1 to 5.
    if (line.size() <= offset || line[offset] < '1' || line[offset] > '5') {
        return offset;
    }
    while (offset < statusCodeEnd && offset < line.size() && isDigit(line[offset])) {
        ++offset;
    }
    return offset;
}

auto ruleName(GrammarRule rule) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 7> {"HTTP version", "status code", "reason phrase",
        "protocol switch that was not requested", "field name", "field value", "folded line"};
    return names.at(std::size_t(rule));
}

// Returns the text with all bytes other than printable ASCII escaped, cut after maximumSubjectBytes.
auto printable(std::string_view text) -> std::string
{
    auto shown = std::string();
    for (const auto letter : text.substr(0, maximumSubjectBytes)) {
        const auto isPrintable = letter >= ' ' && letter <= '~';
        shown += isPrintable ? std::string(1, letter) : fmt::format("\\x{:02x}", static_cast<unsigned char>(letter));
    }
    return text.size() > maximumSubjectBytes ? shown + "..." : shown;
}

} // namespace

auto toString(const GrammarError &error) -> std::string
{
    const auto subject = printable(error.subject_);
    if (!error.invalidByte_) {
        return fmt::format("malformed response: {} ({})", ruleName(error.rule_), subject);
    }
    return fmt::format("malformed response: {}: byte 0x{:02x} at offset {} ({})", ruleName(error.rule_),
        error.invalidByte_->byte_, error.invalidByte_->offset_, subject);
}

auto parseStatusLine(std::string_view line) -> std::variant<StatusLine, GrammarError>
{
    if (const auto offset = versionMismatch(line); offset < statusCodeStart) {
        return errorAt(GrammarRule::HttpVersion, line, line, offset);
    }
    if (const auto offset = statusCodeMismatch(line); offset < statusCodeEnd) {
        return errorAt(GrammarRule::StatusCode, line, line, offset);
    }
    if (line.size() > statusCodeEnd && line[statusCodeEnd] != ' ') {
        return errorAt(GrammarRule::StatusCode, line, line, statusCodeEnd);
    }
    const auto invalid = std::find_if_not(line.begin() + statusCodeEnd, line.end(), &isTextCharacter);
    if (invalid != line.end()) {
        return errorAt(GrammarRule::ReasonPhrase, line, line, std::size_t(invalid - line.begin()));
    }
    auto status = 0;
    std::from_chars(line.data() + statusCodeStart, line.data() + statusCodeEnd, status);
    return StatusLine {.minorVersion_ = line[versionPrefix.size()] - '0', .status_ = status};
}

auto parseFieldLine(std::string_view line) -> std::variant<HeaderField, GrammarError>
{
    const auto lineName = line.substr(0, line.find(':'));
    if (!line.empty() && isBlank(line.front())) {
        return GrammarError {.rule_ = GrammarRule::LineFolding};
    }
    const auto nameEnd = std::size_t(std::find_if_not(line.begin(), line.end(), &isTokenCharacter) - line.begin());
    if (nameEnd == 0 || nameEnd == line.size() || line[nameEnd] != ':') {
        return errorAt(GrammarRule::FieldName, lineName, line, nameEnd);
    }
    const auto value = trimBlanks(line.substr(nameEnd + 1));
    const auto invalid = std::find_if_not(value.begin(), value.end(), &isTextCharacter);
    if (invalid != value.end()) {
        return errorAt(GrammarRule::FieldValue, lineName, value, std::size_t(invalid - value.begin()));
    }
    return HeaderField {.name_ = std::string(lineName), .value_ = std::string(value)};
}

} // namespace jasminewood::http::internal
