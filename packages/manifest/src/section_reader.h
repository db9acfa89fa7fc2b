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

// Returns the text in quotation marks, for use in errors.
auto quoted(std::string_view text) -> std::string;

// Reads the keys of one section and collects all errors. A key without a default value is required. If a value is
// missing or invalid, an error is added and an empty value or the minimum is returned. The section, the file name and
// the errors must outlive the reader.
class SectionReader
{
public:
    SectionReader(const ini::Section &section, const std::string &file, std::vector<ini::ConfigError> &errors);

    auto name() const -> const std::string &;
    auto line() const -> int;

    auto text(const std::string &key) -> std::string;
    auto optionalText(const std::string &key) -> std::string;
    auto integer(const std::string &key, Range range, std::optional<std::int64_t> defaultValue = std::nullopt)
        -> std::int64_t;
    auto yesNo(const std::string &key, std::optional<bool> defaultValue = std::nullopt) -> bool;
    // Returns the index of the value among the choices; 0 if the value is invalid.
    auto choice(const std::string &key, const std::vector<std::string> &choices,
        std::optional<std::size_t> defaultValue = std::nullopt) -> std::size_t;
    // A required list has at least one item.
    auto list(const std::string &key) -> std::vector<std::string>;
    auto optionalList(const std::string &key) -> std::vector<std::string>;

    // Returns whether the section has the key.
    auto has(const std::string &key) const -> bool;

    // Adds an error at the line of the key, or at the heading if the key is missing.
    auto addError(const std::string &key, const std::string &expected, const std::string &found) -> void;

    // Adds errors for keys that were not read, which are unknown, and for keys that occur twice. Must be called after
    // all keys were read.
    auto finish() -> void;

private:
    auto find(const std::string &key) const -> const ini::Entry *;
    auto require(const std::string &key, const std::string &expected) -> const ini::Entry *;
    // Adds the error that the key is missing or that its value is not the expected one.
    auto addValueError(const std::string &key, const std::string &expected) -> void;
    auto addErrorAtLine(int line, const std::string &key, const std::string &expected, const std::string &found)
        -> void;

    const ini::Section *section_;
    const std::string *file_;
    std::vector<ini::ConfigError> *errors_;
    std::set<std::string> readKeys_;
};

} // namespace jasminewood::manifest::internal
