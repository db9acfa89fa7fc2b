#include "response_grammar.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "jasminewood/http/client.h"

namespace jasminewood::http::internal
{

namespace
{

// A status line up to its reason phrase; '#' stands for a digit.
constexpr std::string_view statusLinePattern = "HTTP/1.# ###";
constexpr std::size_t minorVersionOffset = 7;
constexpr std::size_t statusCodeOffset = 9;
constexpr auto lengthName = "Content-Length";
constexpr auto codingName = "Transfer-Encoding";
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

// Returns the error for the byte of the text at the offset; it names no byte if the text ends there.
auto errorAt(GrammarRule rule, std::string_view subject, std::string_view text, std::size_t offset) -> GrammarError
{
    if (offset >= text.size()) {
        return GrammarError {.rule_ = rule, .subject_ = std::string(subject)};
    }
    return GrammarError {.rule_ = rule,
        .subject_ = std::string(subject),
        .invalidByte_ = InvalidByte {.byte_ = static_cast<unsigned char>(text[offset]), .offset_ = offset}};
}

auto fitsPattern(char letter, char pattern) -> bool
{
    return pattern == '#' ? isDigit(letter) : letter == pattern;
}

// Returns whether the first digit of a status code is one of the five classes of responses.
auto isResponseClass(char digit) -> bool
{
    return digit >= '1' && digit <= '5';
}

auto ruleName(GrammarRule rule) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 10> {"HTTP version", "status code", "reason phrase",
        "protocol switch that was not requested", "field name", "field value", "folded line", "Content-Length",
        "Transfer-Encoding", "Content-Length beside Transfer-Encoding"};
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

// Returns the number that the text states, if it is one decimal number without a sign.
auto parseLength(std::string_view text) -> std::optional<std::int64_t>
{
    auto length = std::int64_t(0);
    const auto isDecimal = !text.empty() && std::all_of(text.begin(), text.end(), &isDigit);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return isDecimal && parsed.ec == std::errc() ? std::optional(length) : std::nullopt;
}

// Returns the one length that a list of lengths states; nothing if an entry is malformed or differs from the others.
auto parseLengthList(std::string_view list) -> std::optional<std::int64_t>
{
    auto common = std::optional<std::int64_t>();
    for (auto start = std::size_t(0); start <= list.size();) {
        const auto end = std::min(list.find(',', start), list.size());
        const auto length = parseLength(trimBlanks(list.substr(start, end - start)));
        if (!length || (common && *common != *length)) {
            return std::nullopt;
        }
        common = length;
        start = end + 1;
    }
    return common;
}

auto valuesOf(const std::vector<HeaderField> &fields, std::string_view name) -> std::vector<std::string_view>
{
    auto values = std::vector<std::string_view>();
    for (const auto &field : fields) {
        if (isSameFieldName(field.name_, name)) {
            values.push_back(field.value_);
        }
    }
    return values;
}

// Returns whether the fields state one length, however often.
auto isOneLength(const std::vector<std::string_view> &values) -> bool
{
    const auto first = parseLengthList(values.front());
    return first && std::all_of(values.begin(), values.end(), [&first](std::string_view value) {
        return parseLengthList(value) == first;
    });
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
    const auto start = line.substr(0, statusLinePattern.size());
    const auto misfit = std::mismatch(start.begin(), start.end(), statusLinePattern.begin(), &fitsPattern).first;
    const auto fittingBytes = std::size_t(misfit - start.begin());
    if (fittingBytes < statusLinePattern.size()) {
        const auto rule = fittingBytes < statusCodeOffset ? GrammarRule::HttpVersion : GrammarRule::StatusCode;
        return errorAt(rule, line, line, fittingBytes);
    }
    if (!isResponseClass(line[statusCodeOffset])) {
        return errorAt(GrammarRule::StatusCode, line, line, statusCodeOffset);
    }
    const auto rest = line.substr(statusLinePattern.size());
    if (!rest.empty() && rest.front() != ' ') {
        return errorAt(GrammarRule::StatusCode, line, line, statusLinePattern.size());
    }
    const auto invalid = std::find_if_not(rest.begin(), rest.end(), &isTextCharacter);
    if (invalid != rest.end()) {
        const auto offset = statusLinePattern.size() + std::size_t(invalid - rest.begin());
        return errorAt(GrammarRule::ReasonPhrase, line, line, offset);
    }
    auto status = 0;
    std::from_chars(line.data() + statusCodeOffset, line.data() + statusLinePattern.size(), status);
    return StatusLine {.minorVersion_ = line[minorVersionOffset] - '0', .status_ = status};
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

auto checkFraming(const StatusLine &statusLine, const std::vector<HeaderField> &fields) -> std::optional<GrammarError>
{
    const auto lengths = valuesOf(fields, lengthName);
    const auto codings = valuesOf(fields, codingName);
    if (!lengths.empty() && !codings.empty()) {
        return GrammarError {.rule_ = GrammarRule::LengthAndCoding, .subject_ = codingName};
    }
    if (!lengths.empty() && !isOneLength(lengths)) {
        return GrammarError {.rule_ = GrammarRule::ContentLength, .subject_ = lengthName};
    }
    // No request of this client asks for another coding, and HTTP/1.0 has none.
    const auto isChunked
        = codings.size() == 1 && isSameFieldName(codings.front(), "chunked") && statusLine.minorVersion_ > 0;
    if (!codings.empty() && !isChunked) {
        return GrammarError {.rule_ = GrammarRule::TransferEncoding, .subject_ = codingName};
    }
    return std::nullopt;
}

auto hasFraming(const std::vector<HeaderField> &fields) -> bool
{
    return !valuesOf(fields, lengthName).empty() || !valuesOf(fields, codingName).empty();
}

} // namespace jasminewood::http::internal
