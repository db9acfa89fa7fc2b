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

constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::size_t versionBytes = versionPrefix.size() + 1;
constexpr std::size_t statusCodeStart = versionBytes + 1;
constexpr std::size_t statusCodeEnd = statusCodeStart + 3;
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

auto fieldsNamed(const std::vector<HeaderField> &fields, std::string_view name) -> std::vector<std::string_view>
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

auto checkFraming(const StatusLine &statusLine, const std::vector<HeaderField> &fields) -> std::optional<GrammarError>
{
    const auto lengths = fieldsNamed(fields, lengthName);
    const auto codings = fieldsNamed(fields, codingName);
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
    return !fieldsNamed(fields, lengthName).empty() || !fieldsNamed(fields, codingName).empty();
}

} // namespace jasminewood::http::internal
