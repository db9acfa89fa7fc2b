#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/result.h"

// INI text as sections and entries with their line numbers. Comments start with ';' or '#' at the start of a line, or
// with ';' after a space. An indented line continues the value above it and is joined to it by one space.
//
//     const auto document = ini::parse("[class quote]\ntier = 0\n", "manifest.ini");
//     document->sections_.front().argument_ == "quote";

namespace jasminewood::ini
{

// Maximum length of a line in bytes without its line end. Longer lines are errors, since inih would read them as two
// lines.
constexpr std::size_t maximumLineLength = 4000;

struct Entry
{
    const std::string key_;
    const std::string value_;
    // Line number of the key, counted from 1.
    const int line_ = 0;

    auto operator<=>(const Entry &) const = default;
};

// [kind], [kind argument] or [kind "argument"]. A section that occurs twice in the text occurs twice in the document.
struct Section
{
    const std::string name_;
    // Empty if the heading has no argument.
    const std::string argument_;
    const int line_ = 0;
    const std::vector<Entry> entries_;

    auto operator<=>(const Section &) const = default;
};

struct Document
{
    // Sections in the order of the text.
    const std::vector<Section> sections_;

    auto operator<=>(const Document &) const = default;
};

// Returns the heading of a section without brackets, for example "class quote".
auto heading(const Section &section) -> std::string;

// Parses the whole text. A syntax error fails with step "parse" and peer "FILE:LINE" of the first invalid line. An
// entry before the first section is an error. Thread-safe.
auto parse(std::string_view text, const std::string &fileName) -> Result<Document>;

} // namespace jasminewood::ini
