#include "stream_origin_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

namespace jasminewood::forward::internal
{

namespace
{

constexpr auto format = std::string_view("1");
// Of agreed versions with a base version. Those of format 1 have none, unless there is a single version.
constexpr auto formatWithBase = std::string_view("2");
constexpr auto emptyName = std::string_view("*");
// Keys of the store have at most 200 bytes, of which the prefix and a sequence number need some.
constexpr std::size_t maximumKeyPartBytes = 80;
constexpr std::size_t maximumNameBytes = 1'024;
constexpr std::size_t maximumValueBytes = 1'048'576;
constexpr int hexadecimal = 16;

auto malformed(const std::string &reason) -> Failure
{
    return {.step_ = "decode", .reason_ = reason};
}

auto isPlain(char character) -> bool
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_'
        || character == '.';
}

auto encodeName(const std::string &name) -> std::string
{
    auto encoded = std::string();
    for (const auto character : name) {
        encoded += isPlain(character) ? std::string(1, character)
                                      : fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return name.empty() ? std::string(emptyName) : encoded;
}

template <typename Number>
auto parseNumber(std::string_view text, int base) -> std::optional<Number>
{
    auto number = Number();
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

auto decodeName(std::string_view text) -> std::optional<std::string>
{
    constexpr std::size_t encodedBytes = 3;
    auto name = std::string();
    if (text == emptyName) {
        return name;
    }
    while (!text.empty()) {
        const auto isEncoded = text.front() == '%' && text.size() >= encodedBytes;
        const auto byte
            = isEncoded ? parseNumber<std::uint8_t>(text.substr(1, encodedBytes - 1), hexadecimal) : std::nullopt;
        if (!byte && !isPlain(text.front())) {
            return std::nullopt;
        }
        name += byte ? char(*byte) : text.front();
        text.remove_prefix(byte ? encodedBytes : 1);
    }
    return name.empty() || name.size() > maximumNameBytes ? std::nullopt : std::optional(name);
}

auto split(std::string_view text, char separator) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>();
    for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator)) {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

// Returns the lines of a value, each as its words; empty if the value is too long or does not end with a line feed.
auto splitLines(const std::string &value) -> std::vector<std::vector<std::string_view>>
{
    auto lines = std::vector<std::vector<std::string_view>>();
    if (value.size() > maximumValueBytes || !value.ends_with('\n')) {
        return lines;
    }
    for (const auto line : split(std::string_view(value).substr(0, value.size() - 1), '\n')) {
        lines.push_back(split(line, ' '));
    }
    return lines;
}

// Appends the streams of one line.
auto parseStreamsOfLine(const std::vector<std::string_view> &words, std::vector<routing::StreamRecord> &records)
    -> Status
{
    constexpr std::size_t wordsBeforeStreams = 3;
    const auto service = words.size() > wordsBeforeStreams ? decodeName(words[1]) : std::nullopt;
    const auto version = words.size() > wordsBeforeStreams ? decodeName(words[2]) : std::nullopt;
    if (!service || !version || words.front() != format) {
        return malformed("a line of streams does not begin with format, service and version");
    }
    for (auto index = wordsBeforeStreams; index < words.size(); ++index) {
        const auto stream = parseNumber<routing::StreamId>(words[index], hexadecimal);
        if (!stream || records.size() >= maximumStreamsOfEntry) {
            return malformed(stream ? "too many streams" : "a stream is no hexadecimal number");
        }
        records.push_back({.stream_ = *stream, .origin_ = {.service_ = *service, .version_ = *version}});
    }
    return std::nullopt;
}

} // namespace

auto isWritable(const std::string &version) -> bool
{
    return version.size() <= maximumNameBytes;
}

auto keyPart(const std::string &name) -> std::string
{
    const auto isUsual
        = !name.empty() && name.size() <= maximumKeyPartBytes && std::all_of(name.begin(), name.end(), &isPlain);
    return isUsual ? name : fmt::format("~{:016x}", XXH3_64bits(name.data(), name.size()));
}

auto versionsText(const std::set<std::string> &versions) -> std::string
{
    return fmt::format("{}", fmt::join(versions, ","));
}

auto formatVersions(const ServiceVersions &versions) -> std::string
{
    const auto &agreed = versions.agreed_;
    auto text = fmt::format(
        "{} {} {} {}", formatWithBase, agreed.era_, encodeName(versions.service_), encodeName(agreed.base_));
    for (const auto &version : agreed.versions_) {
        text += " " + encodeName(version);
    }
    return text + "\n";
}

auto parseVersions(const std::string &value) -> Result<ServiceVersions>
{
    constexpr std::size_t wordsBeforeBase = 3;
    const auto lines = splitLines(value);
    const auto hasBase = lines.size() == 1 && lines.front().front() == formatWithBase;
    const auto wordsBeforeVersions = wordsBeforeBase + (hasBase ? 1 : 0);
    if (lines.size() != 1 || lines.front().size() <= wordsBeforeVersions
        || lines.front().size() > wordsBeforeVersions + maximumVersionsOfEntry
        || (!hasBase && lines.front().front() != format)) {
        return malformed("not one line of format, era, service, base version and versions");
    }
    const auto &words = lines.front();
    const auto era = parseNumber<std::uint64_t>(words[1], 10);
    const auto service = decodeName(words[2]);
    if (!era || !service) {
        return malformed("the era or the service cannot be read");
    }
    auto versions = std::set<std::string>();
    for (auto index = wordsBeforeVersions; index < words.size(); ++index) {
        const auto version = decodeName(words[index]);
        if (!version) {
            return malformed("a version cannot be read");
        }
        versions.insert(*version);
    }
    const auto only = versions.size() == 1 ? *versions.begin() : routing::unrecordedVersion;
    const auto base = hasBase ? decodeName(words[wordsBeforeBase]) : std::optional(only);
    if (!base || (*base != routing::unrecordedVersion && !versions.contains(*base))) {
        return malformed("the base version is not one of the versions");
    }
    return ServiceVersions {.service_ = *service, .agreed_ = {.era_ = *era, .versions_ = versions, .base_ = *base}};
}

auto formatStreams(const std::vector<routing::StreamRecord> &records) -> std::string
{
    auto lines = std::map<routing::StreamOrigin, std::string>();
    for (const auto &record : records) {
        lines[record.origin_] += fmt::format(" {:016x}", record.stream_);
    }
    auto text = std::string();
    for (const auto &[origin, streams] : lines) {
        text += fmt::format("{} {} {}{}\n", format, encodeName(origin.service_), encodeName(origin.version_), streams);
    }
    return text;
}

auto parseStreams(const std::string &value) -> Result<std::vector<routing::StreamRecord>>
{
    const auto lines = splitLines(value);
    auto records = std::vector<routing::StreamRecord>();
    for (const auto &words : lines) {
        if (const auto failure = parseStreamsOfLine(words, records)) {
            return *failure;
        }
    }
    return records.empty() ? Result<std::vector<routing::StreamRecord>>(malformed("no streams")) : records;
}

} // namespace jasminewood::forward::internal
