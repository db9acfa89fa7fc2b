#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/ini/config_error.h"
#include "jasminewood/ini/document.h"

namespace jasminewood::manifest::internal
{

// Bounds are inclusive.
struct Range
{
    std::int64_t min_;
    std::int64_t max_;
};

// Returns the text in quotation marks, as it stands in faults.
auto quoted(std::string_view text) -> std::string;

// Reads the keys of one section and notes every fault. A key without a fallback is required; if it is missing or wrong,
// the fault is noted and an empty value returned. The section, the file name and the faults must outlive the reader.
class SectionReader
{
public:
    SectionReader(const ini::Section &section, const std::string &file, std::vector<ini::ConfigError> &faults);

    auto name() const -> const std::string &;
    auto line() const -> int;

    auto text(const std::string &key) -> std::string;
    auto optionalText(const std::string &key) -> std::string;
    auto integer(const std::string &key, Range range, std::optional<std::int64_t> fallback = std::nullopt)
        -> std::int64_t;
    auto yesNo(const std::string &key, std::optional<bool> fallback = std::nullopt) -> bool;
    // Returns the position of the value among the choices, or 0.
    auto choice(const std::string &key, const std::vector<std::string> &choices,
        std::optional<std::size_t> fallback = std::nullopt) -> std::size_t;
    // A required list has at least one part.
    auto list(const std::string &key) -> std::vector<std::string>;
    auto optionalList(const std::string &key) -> std::vector<std::string>;

    // Whether the section has the key.
    auto has(const std::string &key) const -> bool;

    // Notes a fault at the line of the key, or at the heading if the key is missing.
    auto fault(const std::string &key, const std::string &expected, const std::string &found) -> void;

    // Notes keys that were never asked for and keys that occur twice. Call it after all keys were read.
    auto finish() -> void;

private:
    auto find(const std::string &key) const -> const ini::Entry *;
    auto require(const std::string &key, const std::string &expected) -> const ini::Entry *;
    // Notes that the key is missing or its value is not the expected one.
    auto faultOfValue(const std::string &key, const std::string &expected) -> void;
    auto note(int line, const std::string &key, const std::string &expected, const std::string &found) -> void;

    const ini::Section *section_;
    const std::string *file_;
    std::vector<ini::ConfigError> *faults_;
    std::set<std::string> asked_;
};

} // namespace jasminewood::manifest::internal
