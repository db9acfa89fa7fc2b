#include "section_reader.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "jasminewood/ini/scalar.h"

namespace jasminewood::manifest::internal
{

auto quoted(std::string_view text) -> std::string
{
    return fmt::format("\"{}\"", text);
}

SectionReader::SectionReader(
    const ini::Section &section, const std::string &file, std::vector<ini::ConfigError> &errors)
    : section_(&section)
    , file_(&file)
    , errors_(&errors)
{
}

auto SectionReader::name() const -> const std::string &
{
    return section_->argument_;
}

auto SectionReader::line() const -> int
{
    return section_->line_;
}

auto SectionReader::text(const std::string &key) -> std::string
{
    const auto *entry = require(key, "a value");
    return entry == nullptr ? "" : entry->value_;
}

auto SectionReader::optionalText(const std::string &key) -> std::string
{
    readKeys_.insert(key);
    const auto *entry = find(key);
    return entry == nullptr ? "" : entry->value_;
}

auto SectionReader::integer(const std::string &key, Range range, std::optional<std::int64_t> defaultValue)
    -> std::int64_t
{
    readKeys_.insert(key);
    const auto *entry = find(key);
    if (defaultValue && entry == nullptr) {
        return *defaultValue;
    }
    const auto number = entry == nullptr ? std::nullopt : ini::parseInteger(entry->value_);
    if (number && *number >= range.min_ && *number <= range.max_) {
        return *number;
    }
    addValueError(key, fmt::format("a number from {} to {}", range.min_, range.max_));
    return range.min_;
}

auto SectionReader::yesNo(const std::string &key, std::optional<bool> defaultValue) -> bool
{
    const auto position = defaultValue ? std::optional<std::size_t>(*defaultValue ? 1 : 0) : std::nullopt;
    return choice(key, {"no", "yes"}, position) == 1;
}

auto SectionReader::choice(const std::string &key, const std::vector<std::string> &choices,
    std::optional<std::size_t> defaultValue) -> std::size_t
{
    readKeys_.insert(key);
    const auto *entry = find(key);
    if (defaultValue && entry == nullptr) {
        return *defaultValue;
    }
    const auto found = entry == nullptr ? choices.end() : std::find(choices.begin(), choices.end(), entry->value_);
    if (found != choices.end()) {
        return static_cast<std::size_t>(found - choices.begin());
    }
    addValueError(key, fmt::format("one of {}", fmt::join(choices, ", ")));
    return 0;
}

auto SectionReader::list(const std::string &key) -> std::vector<std::string>
{
    if (require(key, "a list with commas") == nullptr) {
        return {};
    }
    return optionalList(key);
}

auto SectionReader::optionalList(const std::string &key) -> std::vector<std::string>
{
    auto items = ini::parseList(optionalText(key));
    auto seen = std::set<std::string>();
    for (const auto &item : items) {
        if (!seen.insert(item).second) {
            addError(key, "each part once", quoted(item) + " twice");
        }
    }
    return items;
}

auto SectionReader::has(const std::string &key) const -> bool
{
    return find(key) != nullptr;
}

auto SectionReader::addError(const std::string &key, const std::string &expected, const std::string &found) -> void
{
    const auto *entry = find(key);
    addErrorAtLine(entry == nullptr ? section_->line_ : entry->line_, key, expected, found);
}

auto SectionReader::finish() -> void
{
    auto lines = std::map<std::string, int>();
    for (const auto &entry : section_->entries_) {
        const auto [first, isNew] = lines.emplace(entry.key_, entry.line_);
        if (!readKeys_.contains(entry.key_)) {
            addErrorAtLine(entry.line_, entry.key_, "a known key", quoted(entry.key_));
        } else if (!isNew) {
            addErrorAtLine(
                entry.line_, entry.key_, "each key once", fmt::format("a duplicate of line {}", first->second));
        }
    }
}

auto SectionReader::find(const std::string &key) const -> const ini::Entry *
{
    const auto &entries = section_->entries_;
    const auto found = std::find_if(entries.begin(), entries.end(), [&key](const ini::Entry &entry) -> bool {
        return entry.key_ == key;
    });
    return found == entries.end() ? nullptr : &*found;
}

auto SectionReader::require(const std::string &key, const std::string &expected) -> const ini::Entry *
{
    readKeys_.insert(key);
    const auto *entry = find(key);
    if (entry == nullptr || ini::trim(entry->value_).empty()) {
        addValueError(key, expected);
        return nullptr;
    }
    return entry;
}

auto SectionReader::addValueError(const std::string &key, const std::string &expected) -> void
{
    const auto *entry = find(key);
    if (entry == nullptr) {
        addError(key, expected, "nothing (the key is required)");
    } else {
        addError(key, expected, entry->value_.empty() ? "an empty value" : quoted(entry->value_));
    }
}

auto SectionReader::addErrorAtLine(
    int line, const std::string &key, const std::string &expected, const std::string &found) -> void
{
    errors_->push_back(ini::ConfigError {.file_ = *file_,
        .line_ = line,
        .section_ = ini::heading(*section_),
        .key_ = key,
        .expected_ = expected,
        .found_ = found});
}

} // namespace jasminewood::manifest::internal
