#include "jasminewood/ini/document.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <ini.h>

#include "jasminewood/ini/scalar.h"

namespace jasminewood::ini
{

namespace
{

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

struct PendingEntry
{
    std::string key_;
    std::string value_;
    int line_;
};

struct PendingSection
{
    std::string name_;
    std::string argument_;
    int line_;
    std::vector<PendingEntry> entries_;
};

// State of one parse, shared by inih's reader and handler callbacks.
struct Parse
{
    std::string_view rest_;
    // Number of lines handed to inih, which is the number of the line it works on.
    int line_ = 0;
    bool indented_ = false;
    std::vector<PendingSection> sections_;
    // First error that inih itself does not know of.
    std::optional<std::string> reason_;
    int reasonLine_ = 0;
};

auto noteError(Parse &parse, const std::string &reason) -> void
{
    if (!parse.reason_) {
        parse.reason_ = reason;
        parse.reasonLine_ = parse.line_;
    }
}

auto unquoted(std::string_view text) -> std::optional<std::string_view>
{
    if (!text.starts_with('"')) {
        return text.find_first_of(" \t\"") == std::string_view::npos ? std::optional(text) : std::nullopt;
    }
    if (text.size() < 2 || text.find('"', 1) != text.size() - 1) {
        return std::nullopt;
    }
    return text.substr(1, text.size() - 2);
}

// Headings are read here and not taken from inih, which reports neither empty sections nor the start of a second
// section of the same name, and shortens headings to 49 bytes.
auto openSection(Parse &parse, std::string_view line) -> void
{
    const auto close = line.find(']');
    const auto content = trim(line.substr(1, close == std::string_view::npos ? close : close - 1));
    const auto blank = content.find_first_of(" \t");
    const auto kind = content.substr(0, blank);
    const auto second = blank == std::string_view::npos ? std::string_view() : trim(content.substr(blank));
    const auto argument = unquoted(second);
    const auto after = close == std::string_view::npos ? std::string_view() : trim(line.substr(close + 1));
    const auto trailing = !after.empty() && !after.starts_with(';') && !after.starts_with('#');
    if (close == std::string_view::npos || kind.empty() || kind.find('"') != std::string_view::npos || !argument
        || trailing) {
        noteError(parse, "a section heading must be [kind], [kind name] or [kind \"name\"]");
    }
    parse.sections_.push_back(PendingSection {.name_ = std::string(kind),
        .argument_ = std::string(argument.value_or("")),
        .line_ = parse.line_,
        .entries_ = {}});
}

auto isContinuation(const Parse &parse) -> bool
{
    return parse.indented_ && !parse.sections_.empty() && !parse.sections_.back().entries_.empty();
}

auto takeLine(Parse &parse) -> std::string_view
{
    const auto end = parse.rest_.find('\n');
    const auto line = parse.rest_.substr(0, end);
    parse.rest_ = end == std::string_view::npos ? std::string_view() : parse.rest_.substr(end + 1);
    ++parse.line_;
    return line;
}

// Called by inih for each line: hands over exactly one whole line, so that its line numbers and ours stay equal.
auto readLine(char *target, int size, void *state) -> char *
{
    auto &parse = *static_cast<Parse *>(state);
    if (parse.rest_.empty()) {
        return nullptr;
    }
    auto line = takeLine(parse);
    if (line.size() > maximumLineLength || line.size() + 1 >= static_cast<std::size_t>(size)) {
        noteError(parse, fmt::format("the line is longer than {} bytes", maximumLineLength));
        line = {};
    }
    if (line.find('\0') != std::string_view::npos) {
        noteError(parse, "the line contains a zero byte");
        line = {};
    }
    parse.indented_ = line.starts_with(' ') || line.starts_with('\t');
    const auto content = trim(line);
    if (content.starts_with('[') && !isContinuation(parse)) {
        openSection(parse, content);
    }
    *std::copy(line.begin(), line.end(), target) = '\0';
    return target;
}

// Called by inih for each entry and for each continuation line.
auto takeEntry(void *state, const char * /*section*/, const char *name, const char *value) -> int
{
    auto &parse = *static_cast<Parse *>(state);
    if (parse.sections_.empty()) {
        noteError(parse, "an entry stands before the first section");
        return 1;
    }
    auto &entries = parse.sections_.back().entries_;
    if (isContinuation(parse)) {
        entries.back().value_ += std::string(" ") + value;
        return 1;
    }
    if (*name == '\0') {
        noteError(parse, "an entry has no key");
    }
    entries.push_back(PendingEntry {.key_ = name, .value_ = value, .line_ = parse.line_});
    return 1;
}

auto finishedSection(PendingSection &pending) -> Section
{
    auto entries = std::vector<Entry>();
    entries.reserve(pending.entries_.size());
    for (auto &entry : pending.entries_) {
        entries.push_back(
            Entry {.key_ = std::move(entry.key_), .value_ = std::move(entry.value_), .line_ = entry.line_});
    }
    return Section {.name_ = std::move(pending.name_),
        .argument_ = std::move(pending.argument_),
        .line_ = pending.line_,
        .entries_ = std::move(entries)};
}

// The limits of inih are variables of the library; they are set once, before the first parse.
auto configureLibrary() -> void
{
    static auto once = std::once_flag();
    std::call_once(once, [] {
        constexpr int roomForLineEnd = 3;
        ini_max_line = static_cast<int>(maximumLineLength) + roomForLineEnd;
        ini_allow_multiline = true;
    });
}

auto parseFailure(const std::string &fileName, int line, const std::string &reason) -> Failure
{
    return Failure {.step_ = "parse", .peer_ = fmt::format("{}:{}", fileName, line), .reason_ = reason};
}

} // namespace

auto heading(const Section &section) -> std::string
{
    return section.argument_.empty() ? section.name_ : section.name_ + " " + section.argument_;
}

auto parse(std::string_view text, const std::string &fileName) -> Result<Document>
{
    configureLibrary();
    if (text.starts_with(byteOrderMark)) {
        text.remove_prefix(byteOrderMark.size());
    }
    auto state = Parse {.rest_ = text};
    const auto wrongLine = ini_parse_stream(readLine, &state, takeEntry, &state);
    if (wrongLine < 0) {
        return parseFailure(fileName, state.line_, "out of memory");
    }
    if (state.reason_ && (wrongLine == 0 || state.reasonLine_ <= wrongLine)) {
        return parseFailure(fileName, state.reasonLine_, *state.reason_);
    }
    if (wrongLine > 0) {
        return parseFailure(fileName, wrongLine, "the line is neither a section heading nor KEY = VALUE");
    }
    auto sections = std::vector<Section>();
    sections.reserve(state.sections_.size());
    std::transform(state.sections_.begin(), state.sections_.end(), std::back_inserter(sections), finishedSection);
    return Document {.sections_ = std::move(sections)};
}

} // namespace jasminewood::ini
