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

// State of one call of parse(), shared by the reader and handler callbacks of inih.
struct ParserState
{
    std::string_view remainingText_;
    // Number of lines passed to inih, which is the number of its current line.
    int line_ = 0;
    bool lineIndented_ = false;
    std::vector<PendingSection> sections_;
    // First error that inih itself does not detect.
    std::optional<std::string> errorReason_;
    int errorLine_ = 0;
};

auto recordFirstError(ParserState &state, const std::string &reason) -> void
{
    if (!state.errorReason_) {
        state.errorReason_ = reason;
        state.errorLine_ = state.line_;
    }
}

auto parseArgument(std::string_view text) -> std::optional<std::string_view>
{
    if (!text.starts_with('"')) {
        return text.find_first_of(" \t\"") == std::string_view::npos ? std::optional(text) : std::nullopt;
    }
    if (text.size() < 2 || text.find('"', 1) != text.size() - 1) {
        return std::nullopt;
    }
    return text.substr(1, text.size() - 2);
}

// Headings are parsed here and not by inih, which reports neither empty sections nor the start of a second section of
// the same name, and truncates headings to 49 bytes.
auto parseHeading(ParserState &state, std::string_view line) -> void
{
    const auto closingBracket = line.find(']');
    const auto content
        = trim(line.substr(1, closingBracket == std::string_view::npos ? closingBracket : closingBracket - 1));
    const auto separator = content.find_first_of(" \t");
    const auto kind = content.substr(0, separator);
    const auto argumentText
        = separator == std::string_view::npos ? std::string_view() : trim(content.substr(separator));
    const auto argument = parseArgument(argumentText);
    const auto remainder
        = closingBracket == std::string_view::npos ? std::string_view() : trim(line.substr(closingBracket + 1));
    const auto hasTrailingText = !remainder.empty() && !remainder.starts_with(';') && !remainder.starts_with('#');
    if (closingBracket == std::string_view::npos || kind.empty() || kind.find('"') != std::string_view::npos
        || !argument || hasTrailingText) {
        recordFirstError(state, "a section heading must be [kind], [kind name] or [kind \"name\"]");
    }
    state.sections_.push_back(PendingSection {.name_ = std::string(kind),
        .argument_ = std::string(argument.value_or("")),
        .line_ = state.line_,
        .entries_ = {}});
}

auto isContinuation(const ParserState &state) -> bool
{
    return state.lineIndented_ && !state.sections_.empty() && !state.sections_.back().entries_.empty();
}

auto nextLine(ParserState &state) -> std::string_view
{
    const auto end = state.remainingText_.find('\n');
    const auto line = state.remainingText_.substr(0, end);
    state.remainingText_ = end == std::string_view::npos ? std::string_view() : state.remainingText_.substr(end + 1);
    ++state.line_;
    return line;
}

// Called by inih for each line. Returns exactly one whole line, so that the line numbers of inih match those of the
// parser state.
auto onReadLine(char *target, int size, void *context) -> char *
{
    auto &state = *static_cast<ParserState *>(context);
    if (state.remainingText_.empty()) {
        return nullptr;
    }
    auto line = nextLine(state);
    if (line.size() > maximumLineLength || line.size() + 1 >= static_cast<std::size_t>(size)) {
        recordFirstError(state, fmt::format("the line is longer than {} bytes", maximumLineLength));
        line = {};
    }
    if (line.find('\0') != std::string_view::npos) {
        recordFirstError(state, "the line contains a zero byte");
        line = {};
    }
    state.lineIndented_ = line.starts_with(' ') || line.starts_with('\t');
    const auto content = trim(line);
    if (content.starts_with('[') && !isContinuation(state)) {
        parseHeading(state, content);
    }
    *std::copy(line.begin(), line.end(), target) = '\0';
    return target;
}

// Called by inih for each entry and for each continuation line.
auto onEntry(void *context, const char * /*section*/, const char *name, const char *value) -> int
{
    auto &state = *static_cast<ParserState *>(context);
    if (state.sections_.empty()) {
        recordFirstError(state, "an entry stands before the first section");
        return 1;
    }
    auto &entries = state.sections_.back().entries_;
    if (isContinuation(state)) {
        entries.back().value_ += std::string(" ") + value;
        return 1;
    }
    if (*name == '\0') {
        recordFirstError(state, "an entry has no key");
    }
    entries.push_back(PendingEntry {.key_ = name, .value_ = value, .line_ = state.line_});
    return 1;
}

auto buildSection(PendingSection &pending) -> Section
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

// The limits of inih are global variables of the library. They are set once, before the first parse.
auto configureLibrary() -> void
{
    static auto once = std::once_flag();
    std::call_once(once, [] {
        constexpr int lineEndBytes = 3;
        ini_max_line = static_cast<int>(maximumLineLength) + lineEndBytes;
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
    auto state = ParserState {.remainingText_ = text};
    const auto libraryErrorLine = ini_parse_stream(onReadLine, &state, onEntry, &state);
    if (libraryErrorLine < 0) {
        return parseFailure(fileName, state.line_, "out of memory");
    }
    if (state.errorReason_ && (libraryErrorLine == 0 || state.errorLine_ <= libraryErrorLine)) {
        return parseFailure(fileName, state.errorLine_, *state.errorReason_);
    }
    if (libraryErrorLine > 0) {
        return parseFailure(fileName, libraryErrorLine, "the line is neither a section heading nor KEY = VALUE");
    }
    auto sections = std::vector<Section>();
    sections.reserve(state.sections_.size());
    std::transform(state.sections_.begin(), state.sections_.end(), std::back_inserter(sections), buildSection);
    return Document {.sections_ = std::move(sections)};
}

} // namespace jasminewood::ini
